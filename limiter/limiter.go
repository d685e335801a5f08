// Package limiter holds the teams to their rates at this daemon.
//
//	request -> Take -> even part of the rate, and tokens that the owner dealt
//	every interval, and at once for a team that lacks tokens: Ask -> owner -> tokens
//
// Tokens that the owner dealt are good for a short time, counted from the sending of
// the Ask; those that no request used go back with the next Ask.
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
	// askEvery is the time between Asks; demand that moves is followed within a second.
	askEvery = 150 * time.Millisecond
	// tokenLife is how long dealt tokens are good. With the bound's window of 5 s it
	// stretches the dealt part of a rate by 8 %, inside the slack of 10 %.
	tokenLife = 400 * time.Millisecond
	// askTimeout bounds one Ask.
	askTimeout = 300 * time.Millisecond
	// lackingEvery is the least time between two Asks for lack of tokens.
	lackingEvery = 10 * time.Millisecond
	// ahead is the time whose expected requests an Ask covers.
	ahead = 250 * time.Millisecond
	// overdraft is what all hosts together may take before they have earned it, in
	// requests, so that an even part smaller than one request is of use: below the
	// bound's slack of 20.
	overdraft = 8.0
	// demandMemory is the time over which a team's demand is averaged: two Asks.
	demandMemory = 300 * time.Millisecond
	// idleTime is the time after which a team without requests is forgotten.
	idleTime = 10 * time.Second
)

// Asker sends an Ask to the owner.
type Asker interface {
	Owner() broker.Owner
	Ask(ctx context.Context, owner broker.Owner, ask *broker.Ask) (*broker.Answer, error)
	Answered(epoch catkinrun.Revision, answer *broker.Answer)
}

// Members counts the hosts among which the even part is divided.
type Members interface {
	Count() int
}

// Limiter lets requests through as far as the team's tokens here reach.
type Limiter struct {
	teams   broker.Teams
	members Members
	asker   Asker
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	host    string
	lacking chan struct{}

	startedAt time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	dealt   chan struct{} // closed when an Answer has come
}

// New returns a limiter for the daemon of a host.
func New(teams broker.Teams, members Members, asker Asker, clock catkinrun.Clock, log logrus.FieldLogger, host string) *Limiter {
	return &Limiter{
		teams: teams, members: members, asker: asker, clock: clock, log: log, host: host,
		startedAt: clock.Now(), lacking: make(chan struct{}, 1), buckets: make(map[string]*bucket), dealt: make(chan struct{}),
	}
}

// Take lets one request of a team through, after a wait of at most patience. It fails
// with *catkinrun.Refusal.
func (l *Limiter) Take(ctx context.Context, name string, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	l.arrive(name)
	for {
		wait, dealt, ok := l.tryTake(name)
		if ok {
			return nil
		}
		select {
		case l.lacking <- struct{}{}:
		default:
		}
		select {
		case <-dealt:
		case <-ctx.Done():
			return l.refuse(name, wait)
		}
	}
}

func (l *Limiter) refuse(name string, wait time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[name]; ok {
		b.waiting = max(0, b.waiting-1)
	}
	return &catkinrun.Refusal{
		Status: 429, Reason: catkinrun.ReasonRate, Outcome: catkinrun.NotRun, RetryAfter: wait, Detail: "the team is above its rate",
	}
}

func (l *Limiter) arrive(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[name]
	if !ok {
		b = newBucket(l.startedAt, l.clock.Now()) // the even part has been earned since then
		l.buckets[name] = b
	}
	b.arrivals++
	b.waiting++
	b.usedAt = l.clock.Now()
}

// tryTake takes a token. Otherwise it returns the wait until the even part has earned
// one, and a channel that is closed when the owner has dealt again.
func (l *Limiter) tryTake(name string) (wait time.Duration, dealt <-chan struct{}, ok bool) {
	team, declared := l.teams.Snapshot().Team(name)
	count := float64(l.members.Count())
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if !declared || b == nil {
		return time.Second, l.dealt, false
	}
	now := l.clock.Now()
	even := 0.0
	if count > 0 {
		even = (1 - broker.DealtPart) / count
	}
	b.fill(now, even*team.Rate, even*team.Burst)
	if team.Rate > 0 && !b.take(now, min(1, overdraft/max(1, count))) {
		return time.Duration(float64(time.Second) / max(team.Rate, 1)), l.dealt, false
	}
	b.waiting = max(0, b.waiting-1)
	return 0, nil, true
}

// Serve asks the owner until ctx ends. It implements suture.Service.
func (l *Limiter) Serve(ctx context.Context) error {
	for {
		l.Round(ctx)
		if err := l.clock.Wait(ctx, lackingEvery); err != nil {
			return err
		}
		waiting, cancel := context.WithTimeout(ctx, askEvery-lackingEvery)
		select {
		case <-l.lacking:
		case <-waiting.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Round sends one Ask. It is sent without wants too, since it counts for the owner's
// authority.
func (l *Limiter) Round(ctx context.Context) {
	owner := l.asker.Owner()
	if owner.Epoch == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sentAt := l.clock.Now()
	answer, err := l.asker.Ask(ctx, owner, l.ask(owner, sentAt))
	l.asker.Answered(owner.Epoch, answer)
	if err != nil {
		l.log.WithError(err).WithField("owner", owner.Host).Debug("limiter: owner does not answer")
		return
	}
	l.accept(answer, sentAt)
}

func (l *Limiter) ask(owner broker.Owner, now time.Time) *broker.Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := &broker.Ask{Host: l.host, Epoch: owner.Epoch}
	for name, b := range l.buckets {
		if now.Sub(b.usedAt) > idleTime {
			b.rest()
			continue
		}
		ask.Wants = append(ask.Wants, b.want(name, owner.Epoch, now))
	}
	return ask
}

func (l *Limiter) accept(answer *broker.Answer, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, grant := range answer.Grants {
		if b, ok := l.buckets[grant.Team]; ok {
			b.deal(grant.Tokens, answer.Epoch, sentAt.Add(tokenLife))
		}
	}
	close(l.dealt)
	l.dealt = make(chan struct{})
}
