// Package limiter holds this daemon's shares of the teams' rates, and asks the
// teams' brokers for them.
//
//	request -> Take -> bucket filled at the share's rate
//	every interval: demands and shares held -> broker -> shares granted
//
// A share lasts while the daemon is current, is on the roster, and knows of no
// newer epoch of the team's owner. While the store is away nobody can become
// owner, so shares hold over.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/replicator"
)

// Sharer sends an Ask to the broker at a host.
type Sharer interface {
	Share(ctx context.Context, host string, ask *broker.Ask) (*broker.Answer, error)
}

// Limits are the limiter's times.
type Limits struct {
	Interval time.Duration // between Asks
	Grace    time.Duration // life of a share whose epoch has ended, unless confirmed
	Wait     time.Duration // longest wait of a request for its token
}

// Limiter lets requests through as far as the shares held allow.
type Limiter struct {
	replica *replicator.Replica
	sharer  Sharer
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	limits  Limits

	mu       sync.Mutex
	sequence uint64
	buckets  map[string]*bucket
	wake     chan struct{}
}

// New returns a limiter that holds no share yet.
func New(replica *replicator.Replica, sharer Sharer, clock catkinrun.Clock, log logrus.FieldLogger, limits Limits) *Limiter {
	return &Limiter{
		replica: replica, sharer: sharer, clock: clock, log: log, limits: limits,
		buckets: make(map[string]*bucket),
		wake:    make(chan struct{}, 1),
	}
}

// Take lets one request of a team through, after a short wait if need be. It
// fails with *catkinrun.Refusal.
func (l *Limiter) Take(ctx context.Context, team string, p catkinrun.Priority) error {
	l.Arrive(team)
	wait, err := l.TryTake(team, p)
	if err == nil || !l.queue(team) {
		return err
	}
	defer l.unqueue(team)
	deadline := l.clock.Now().Add(l.limits.Wait)
	for {
		left := deadline.Sub(l.clock.Now())
		if left <= 0 || l.clock.Wait(ctx, min(max(wait, shortestWait), left, waitStep)) != nil {
			return err
		}
		if wait, err = l.TryTake(team, p); err == nil {
			return nil
		}
	}
}

// queue adds a request to those that wait for a token, unless these use up all that
// the share earns in the time of a wait.
func (l *Limiter) queue(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[team]
	if !ok {
		return false
	}
	room := unknownQueue
	if b.granted && b.share.Rate > 0 {
		room = int(b.share.Rate*l.limits.Wait.Seconds()) + 1
	}
	if b.waiting >= room {
		return false
	}
	b.waiting++
	return true
}

func (l *Limiter) unqueue(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[team]; ok {
		b.waiting--
	}
}

// unknownQueue is the number of requests that may wait for a team's first share.
const unknownQueue = 200

// shortestWait makes sure that a wait ends with some progress.
const shortestWait = time.Millisecond

// waitStep bounds a wait, since a new share may arrive meanwhile.
const waitStep = 20 * time.Millisecond

// Arrive counts a request of a team as demand.
func (l *Limiter) Arrive(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[team]
	if !ok {
		b = &bucket{filledAt: l.clock.Now(), measuredAt: l.clock.Now().Add(-shortestMeasure), demand: firstDemand}
		l.buckets[team] = b
	}
	b.arrivals++
	b.usedAt = l.clock.Now()
	if !b.granted {
		l.wakeLocked(b)
	}
}

// wakeLocked asks for a team soon. A team whose brokers had nothing more to give is
// asked for less and less often.
func (l *Limiter) wakeLocked(b *bucket) {
	if l.clock.Now().Sub(b.askedAt) < b.spacing {
		return
	}
	b.lacking = true
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// TryTake lets one request through or returns the wait until it may try again.
func (l *Limiter) TryTake(team string, p catkinrun.Priority) (time.Duration, error) {
	snapshot, _ := l.replica.Current()
	term, current := l.replica.Term()
	if !current {
		return unknownWait, refuse(catkinrun.ReasonStale, "this host has no current proof of its configuration", unknownWait)
	}
	declared, ok := snapshot.Get(catkinrun.KindTeam, team)
	if !ok {
		return unknownWait, refuse(catkinrun.ReasonRate, "the team is not declared", unknownWait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[team]
	if !ok {
		return unknownWait, refuse(catkinrun.ReasonRate, "no share of the team's rate is here yet", unknownWait)
	}
	l.checkLocked(team, b, snapshot, term)
	b.share.Rate = min(b.share.Rate, declared.Team.Rate)
	b.share.Burst = min(b.share.Burst, declared.Team.Burst)
	wait, ok := b.take(l.clock.Now(), p)
	if !ok {
		l.wakeLocked(b)
		return wait, refuse(catkinrun.ReasonRate, "the team is above its rate", wait)
	}
	return 0, nil
}

// checkLocked drops a share that has become void.
func (l *Limiter) checkLocked(team string, b *bucket, s *catkinrun.Snapshot, term uint64) {
	now := l.clock.Now()
	owner := s.Owner(team)
	if b.epoch != owner.Since && b.voidAt.IsZero() {
		b.voidAt = now.Add(l.limits.Grace)
	}
	host, member := s.Host(l.replica.Identity().Host)
	off := !member || host.Incarnation != l.replica.Identity().Incarnation
	over := !b.voidAt.IsZero() && !now.Before(b.voidAt)
	if off || over || b.term != term {
		b.drop()
		b.epoch = owner.Since
		b.voidAt = time.Time{}
		b.term = term
	}
}

func refuse(reason catkinrun.Reason, detail string, wait time.Duration) error {
	status := 429
	if reason == catkinrun.ReasonStale {
		status = 503
	}
	return &catkinrun.Refusal{Status: status, Reason: reason, Outcome: catkinrun.NotRun, RetryAfter: wait, Detail: detail}
}

// Serve asks the brokers until ctx ends. It implements suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	for {
		l.Round(ctx)
		if err := l.pause(ctx); err != nil {
			return err
		}
	}
}

// wakeStep is the time between two looks for teams that lack tokens.
const wakeStep = 5 * time.Millisecond

// pause waits for the next round, and asks meanwhile for the teams that lack tokens.
func (l *Limiter) pause(ctx context.Context) error {
	until := l.clock.Now().Add(l.limits.Interval)
	for l.clock.Now().Before(until) {
		if err := l.clock.Wait(ctx, wakeStep); err != nil {
			return err
		}
		select {
		case <-l.wake:
			l.send(ctx, l.asks(func(b *bucket) bool { return b.lacking }))
		default:
		}
	}
	return nil
}

// Round asks each broker once for all teams in use here.
func (l *Limiter) Round(ctx context.Context) {
	l.send(ctx, l.asks(func(*bucket) bool { return true }))
}

func (l *Limiter) send(ctx context.Context, messages map[string]*broker.Ask) {
	var asks errgroup.Group
	for host, ask := range messages {
		asks.Go(func() error {
			l.ask(ctx, host, ask)
			return nil
		})
	}
	_ = asks.Wait()
}

// Shares returns the shares held here, by team.
func (l *Limiter) Shares() map[string]broker.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := make(map[string]broker.Share, len(l.buckets))
	for team, b := range l.buckets {
		shares[team] = b.share
	}
	return shares
}
