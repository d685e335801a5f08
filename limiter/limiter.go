// Package limiter limits the teams to their rates at this daemon.
//
//	request -> Take -> a token granted by the owner, else one of the local share
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
	// requestInterval is the time between token requests. Grants follow a change in demand
	// within a second.
	requestInterval = 150 * time.Millisecond
	// grantTTL is how long granted tokens are valid. Over the 5 s window of the bound on
	// a team's requests, it can raise the owner's share of the rate by 8 %, within the
	// bound's tolerance of 10 %.
	grantTTL = 400 * time.Millisecond
	// requestTimeout bounds one token request.
	requestTimeout = 300 * time.Millisecond
	// minRequestInterval is the minimum time between two token requests for lack of tokens.
	minRequestInterval = 10 * time.Millisecond
	// forecastWindow is the period whose expected requests a token request covers.
	forecastWindow = 250 * time.Millisecond
	// maxOverdraft is the number of requests that all hosts together may let through before
	// their local shares have accrued the tokens, so that a local share of less than one
	// request is usable. It is below the bound's allowance of 20 requests.
	maxOverdraft = 8.0
	// demandDecayTime is the time over which a team's demand is averaged: two intervals
	// between token requests.
	demandDecayTime = 300 * time.Millisecond
	// idleTimeout is the time after which a team without requests is left out of token
	// requests.
	idleTimeout = 10 * time.Second
)

// OwnerClient sends token requests to the owner and records its responses.
type OwnerClient interface {
	Owner() broker.Owner
	RequestTokens(ctx context.Context, owner broker.Owner, request *broker.TokenRequest) (*broker.TokenResponse, error)
	RecordResponse(epoch catkinrun.Revision, response *broker.TokenResponse)
}

// Members counts the hosts among which the local shares are divided.
type Members interface {
	Count() int
}

// Limiter lets requests through while their team has tokens at this daemon.
type Limiter struct {
	snapshots  broker.SnapshotSource
	members    Members
	client     OwnerClient
	clock      catkinrun.Clock
	log        logrus.FieldLogger
	host       string
	requestNow chan struct{}

	startedAt time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	granted chan struct{} // closed and replaced when a response has arrived
}

// New returns a limiter for the daemon of a host.
func New(snapshots broker.SnapshotSource, members Members, client OwnerClient, clock catkinrun.Clock, log logrus.FieldLogger, host string) *Limiter {
	return &Limiter{
		snapshots: snapshots, members: members, client: client, clock: clock, log: log, host: host,
		startedAt: clock.Now(), requestNow: make(chan struct{}, 1), buckets: make(map[string]*bucket), granted: make(chan struct{}),
	}
}

// Take spends one token of a team for a request. It waits at most queueTimeout for the
// token, and fails with *catkinrun.Refusal.
func (l *Limiter) Take(ctx context.Context, name string, queueTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	l.recordArrival(name)
	for {
		retryAfter, granted, ok := l.tryTake(name)
		if ok {
			return nil
		}
		select {
		case l.requestNow <- struct{}{}:
		default:
		}
		select {
		case <-granted:
		case <-ctx.Done():
			return l.refuse(name, retryAfter)
		}
	}
}

func (l *Limiter) refuse(name string, retryAfter time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[name]; ok {
		b.waiting = max(0, b.waiting-1)
	}
	return &catkinrun.Refusal{
		Status: 429, Reason: catkinrun.ReasonRate, Outcome: catkinrun.OutcomeNotRun, RetryAfter: retryAfter, Detail: "the team is above its rate",
	}
}

func (l *Limiter) recordArrival(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[name]
	if !ok {
		b = newBucket(l.startedAt, l.clock.Now()) // the local share has accrued since the daemon's start
		l.buckets[name] = b
	}
	b.arrivals++
	b.waiting++
	b.lastArrivalAt = l.clock.Now()
}

// tryTake takes a token if there is one. Otherwise it returns the time in which the team's
// rate accrues one, and a channel that is closed when the owner next responds.
func (l *Limiter) tryTake(name string) (retryAfter time.Duration, granted <-chan struct{}, ok bool) {
	team, declared := l.snapshots.Snapshot().Team(name)
	count := float64(l.members.Count())
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if !declared || b == nil {
		return time.Second, l.granted, false
	}
	now := l.clock.Now()
	localShare := 0.0
	if count > 0 {
		localShare = (1 - broker.OwnerShare) / count
	}
	b.refill(now, localShare*team.Rate, localShare*team.Burst)
	if team.Rate > 0 && !b.take(now, min(1, maxOverdraft/max(1, count))) {
		return time.Duration(float64(time.Second) / max(team.Rate, 1)), l.granted, false
	}
	b.waiting = max(0, b.waiting-1)
	return 0, nil, true
}

// Serve requests tokens from the owner until ctx ends. It implements suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	for {
		l.RequestTokens(ctx)
		if err := l.clock.Wait(ctx, minRequestInterval); err != nil {
			return err
		}
		waitCtx, cancel := context.WithTimeout(ctx, requestInterval-minRequestInterval)
		select {
		case <-l.requestNow:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// RequestTokens sends one token request, even if no team needs tokens, since the request
// counts as a vote for the owner.
func (l *Limiter) RequestTokens(ctx context.Context) {
	owner := l.client.Owner()
	if owner.Epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sentAt := l.clock.Now()
	response, err := l.client.RequestTokens(ctx, owner, l.buildRequest(owner, sentAt))
	l.client.RecordResponse(owner.Epoch, response)
	if err != nil {
		l.log.WithError(err).WithField("owner", owner.Host).Debug("limiter: token request to the owner failed")
		return
	}
	l.applyResponse(response, sentAt)
}

func (l *Limiter) buildRequest(owner broker.Owner, now time.Time) *broker.TokenRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := &broker.TokenRequest{Host: l.host, Epoch: owner.Epoch}
	for name, b := range l.buckets {
		if now.Sub(b.lastArrivalAt) > idleTimeout {
			b.clearDemand()
			continue
		}
		request.Teams = append(request.Teams, b.teamRequest(name, owner.Epoch, now))
	}
	return request
}

func (l *Limiter) applyResponse(response *broker.TokenResponse, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, grant := range response.Grants {
		if b, ok := l.buckets[grant.Team]; ok {
			b.addGrant(grant.Tokens, response.Epoch, sentAt.Add(grantTTL))
		}
	}
	close(l.granted)
	l.granted = make(chan struct{})
}
