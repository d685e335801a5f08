// Package limiter limits the teams to their rates at this daemon.
//
//	request -> Take -> a token granted by the owner, or one of the local share if this daemon
//	                   is out of touch with the owner
//	periodically, and at once if a team lacks tokens: token request -> owner -> grants
//
// Granted tokens are valid for a short time after the token request was sent. The next
// token request returns the unused ones.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
)

const (
	// grantTTL is how long granted tokens are valid. Over the 5 s window of the bound on
	// a team's requests, it can raise the rate by 8 %, within the bound's tolerance of 10 %.
	grantTTL = 400 * time.Millisecond
	// forecastWindow is the period whose expected requests a token request covers. It is
	// longer than the time between two token requests.
	forecastWindow = 250 * time.Millisecond
	// maxOverdraft is the number of requests that all hosts together may let through before
	// their local shares have accrued the tokens, so that a local share of less than one
	// request is usable. It is below the bound's allowance of 20 requests.
	maxOverdraft = 8.0
	// demandDecayTime is the time over which a team's demand is averaged: two intervals
	// between token requests.
	demandDecayTime = 300 * time.Millisecond
	// idleTimeout is the time after which the bucket of a team without requests is dropped.
	idleTimeout = 10 * time.Second
)

// Client sends token requests to the owners and records their responses.
type Client interface {
	Assignment() (assignment broker.Assignment, changed <-chan struct{})
	RequestTokens(ctx context.Context, owner broker.Owner, request *broker.TokenRequest) (*broker.TokenResponse, error)
	RecordResponse(owner broker.Owner, response *broker.TokenResponse, err error)
	Standing() broker.Standing
}

// Members counts the hosts among which the local shares are divided.
type Members interface {
	Count() int
}

// Patience is how long a request may wait for a token.
type Patience struct {
	NoAnswer  time.Duration // for the owner's response
	AboveRate time.Duration // after a response without enough tokens
}

// Limiter lets requests through while their team has tokens at this daemon.
type Limiter struct {
	snapshots broker.SnapshotSource
	members   Members
	client    Client
	clock     catkinrun.Clock
	log       logrus.FieldLogger
	host      string

	mu         sync.Mutex
	assignment broker.Assignment
	sessions   map[broker.Owner]*session
	ceded      [broker.ShardCount]time.Time // by shard: until when the owner grants this host's local share
	buckets    map[string]*bucket
	responded  chan struct{} // closed and replaced when a response has arrived
}

// New returns a limiter for the daemon of a host. The local shares are unused at first, since
// an owner may still be granting those that an earlier start of the daemon ceded.
func New(snapshots broker.SnapshotSource, members Members, client Client, clock catkinrun.Clock, log logrus.FieldLogger, host string) *Limiter {
	l := &Limiter{
		snapshots: snapshots, members: members, client: client, clock: clock, log: log, host: host,
		sessions: make(map[broker.Owner]*session), buckets: make(map[string]*bucket), responded: make(chan struct{}),
	}
	for shard := range l.ceded {
		l.ceded[shard] = clock.Now().Add(broker.CedeTTL)
	}
	return l
}

// Take spends one token of a team for a request. It waits for the token no longer than
// patience allows, and fails with *catkinrun.Refusal.
func (l *Limiter) Take(ctx context.Context, team string, patience Patience) error {
	arrivedAt := l.recordArrival(team)
	deadline, answered := arrivedAt.Add(patience.NoAnswer), false
	for {
		result := l.tryTake(team)
		switch {
		case result.taken:
			return nil
		case result.responded == nil:
			return l.refuse(team, true, result.retryAfter)
		}
		if !answered && result.answeredAt.After(arrivedAt) {
			deadline, answered = result.answeredAt.Add(patience.AboveRate), true
		}
		if !l.waitForResponse(ctx, result.responded, deadline) {
			return l.refuse(team, answered, result.retryAfter)
		}
	}
}

// waitForResponse waits until an owner has responded. It returns false if none does in time.
func (l *Limiter) waitForResponse(ctx context.Context, responded <-chan struct{}, deadline time.Time) bool {
	timeout := deadline.Sub(l.clock.Now())
	if timeout <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-responded:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Limiter) refuse(team string, answered bool, retryAfter time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[team]; ok {
		b.waiting = max(0, b.waiting-1)
	}
	refusal := &catkinrun.Refusal{
		Status: 429, Reason: catkinrun.ReasonRate, Outcome: catkinrun.OutcomeNotRun, RetryAfter: retryAfter, Detail: "the team is above its rate",
	}
	if !answered {
		refusal.Detail = "the owner of the team's rate did not respond"
	}
	return refusal
}

// recordArrival counts a request for the team's demand and asks the owner for a token if
// there is none. It returns the time of arrival.
func (l *Limiter) recordArrival(team string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	b, ok := l.buckets[team]
	if !ok {
		b = newBucket(l.ceded[broker.ShardOf(team)], now)
		l.buckets[team] = b
	}
	b.arrivals++
	b.waiting++
	b.lastArrivalAt = now
	if b.granted < 1 {
		if s := l.sessionLocked(broker.ShardOf(team)); s != nil {
			s.wake()
		}
	}
	return now
}

func (l *Limiter) sessionLocked(shard int) *session {
	owner, ok := l.assignment.Owner(shard)
	if !ok {
		return nil
	}
	return l.sessions[owner]
}

// takeResult is the result of an attempt to take a token.
type takeResult struct {
	taken      bool
	answeredAt time.Time       // time of the last response of the team's owner
	retryAfter time.Duration   // time in which the team's rate accrues a token
	responded  <-chan struct{} // closed when an owner next responds; nil if no token can come
}

func (l *Limiter) tryTake(name string) takeResult {
	team, declared := l.snapshots.Snapshot().Team(name)
	count := l.members.Count()
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.buckets[name]
	if !declared || !known {
		return takeResult{retryAfter: time.Second}
	}
	now := l.clock.Now()
	ceded := l.ceded[broker.ShardOf(name)]
	inTouch := now.Before(ceded)
	if team.Rate > 0 && !b.takeGranted(now) && (inTouch || !l.takeLocalLocked(b, team, count, now, ceded)) {
		return takeResult{answeredAt: ceded.Add(-broker.CedeTTL), retryAfter: time.Duration(float64(time.Second) / max(team.Rate, 1)), responded: l.responded}
	}
	b.waiting = max(0, b.waiting-1)
	return takeResult{taken: true}
}

func (l *Limiter) takeLocalLocked(b *bucket, team catkinrun.Team, count int, now, ceded time.Time) bool {
	share := broker.LocalShare(count)
	b.refillLocal(now, ceded, share*team.Rate, share*team.Burst)
	return count > 0 && b.takeLocal(min(1, maxOverdraft/float64(count)))
}

// Serve exchanges token requests with all owners until ctx ends. It implements
// suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := l.updateSessions(func(s *session) {
			sessionCtx, cancel := context.WithCancel(ctx)
			s.end = cancel
			running.Go(func() { s.run(sessionCtx) })
		})
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateSessions makes a session for each owner, starts the new ones and ends those with
// former owners. It returns a channel that is closed when the owners change again.
func (l *Limiter) updateSessions(start func(*session)) (changed <-chan struct{}) {
	assignment, changed := l.client.Assignment()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assignment = assignment
	current := make(map[broker.Owner]*session, len(assignment.Owners))
	for _, owner := range assignment.Owners {
		s, ok := l.sessions[owner]
		if !ok {
			s = newSession(l, owner)
			start(s)
		}
		current[owner] = s
		s.wake()
	}
	for owner, s := range l.sessions {
		if current[owner] == nil {
			s.end()
		}
	}
	l.sessions = current
	return changed
}

// buildRequest builds a token request to an owner. It returns the assignment under which the
// owner should grant the tokens, too.
func (l *Limiter) buildRequest(owner broker.Owner, now time.Time) (*broker.TokenRequest, broker.Assignment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := &broker.TokenRequest{Host: l.host, Generation: l.assignment.Generation}
	owned := l.assignment.OwnedBy(owner)
	for team, b := range l.buckets {
		shard := broker.ShardOf(team)
		if !owned.Has(shard) {
			continue
		}
		if b.idle(now) && now.Before(l.ceded[shard]) {
			delete(l.buckets, team)
		}
		if t := b.teamRequest(team, l.assignment.Epoch(shard), now); t.Tokens > 0 || t.Returned > 0 {
			request.Teams = append(request.Teams, t)
		}
	}
	return request, l.assignment
}

// applyResponse adds the tokens that an owner has granted, and cedes the local shares of the
// shards for which it grants tokens.
func (l *Limiter) applyResponse(response *broker.TokenResponse, assignment broker.Assignment, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cededUntil := l.clock.Now().Add(broker.CedeTTL)
	for shard := range broker.ShardCount {
		if response.Ready.Has(shard) {
			l.ceded[shard] = cededUntil
		}
	}
	for _, grant := range response.Grants {
		if b, ok := l.buckets[grant.Team]; ok {
			b.addGrant(grant.Tokens, assignment.Epoch(broker.ShardOf(grant.Team)), sentAt.Add(grantTTL))
		}
	}
	close(l.responded)
	l.responded = make(chan struct{})
}

// reclaimShares makes the local shares usable at once, because the owner's process has ended
// and nobody else grants them.
func (l *Limiter) reclaimShares(owner broker.Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	owned := l.assignment.OwnedBy(owner)
	for shard := range broker.ShardCount {
		if owned.Has(shard) && now.Before(l.ceded[shard]) {
			l.ceded[shard] = now
		}
	}
}

// hasWaiting reports whether a request waits for a token of an owner.
func (l *Limiter) hasWaiting(owner broker.Owner) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	owned := l.assignment.OwnedBy(owner)
	for team, b := range l.buckets {
		if b.waiting > 0 && owned.Has(broker.ShardOf(team)) {
			return true
		}
	}
	return false
}
