package limiter

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun/broker"
)

// asks makes one Ask per broker with the chosen teams in use here.
func (l *Limiter) asks(choose func(*bucket) bool) map[string]*broker.Ask {
	snapshot, _ := l.replica.Current()
	term, current := l.replica.Term()
	identity := l.replica.Identity()
	if !current || !l.replica.Member() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	asks := make(map[string]*broker.Ask)
	for team, b := range l.buckets {
		l.checkLocked(team, b, snapshot, term)
		owner := snapshot.Owner(team)
		if owner.Host == "" || !choose(b) {
			continue
		}
		b.measure(l.clock.Now())
		b.lacking = false
		b.askedAt = l.clock.Now()
		ask, ok := asks[owner.Host]
		if !ok {
			ask = &broker.Ask{Host: identity.Host, Incarnation: identity.Incarnation}
			asks[owner.Host] = ask
		}
		ask.Wants = append(ask.Wants, l.wantLocked(team, b))
	}
	l.sequence++
	for _, ask := range asks {
		ask.Sequence = l.sequence
		for _, want := range ask.Wants {
			l.buckets[want.Team].sequence = l.sequence
		}
	}
	return asks
}

// wantLocked makes a team's line; an idle team's share is given up first.
func (l *Limiter) wantLocked(team string, b *bucket) broker.Want {
	want := broker.Want{Team: team, Epoch: b.epoch, Demand: b.demand, Waiting: b.waiting}
	if b.share.Rate == 0 {
		want.Returned = b.useUp()
	}
	if b.demand == 0 {
		b.drop()
	}
	want.Held = b.share
	return want
}

// ask sends an Ask and takes its answer, unless a later Ask has been sent.
func (l *Limiter) ask(ctx context.Context, host string, ask *broker.Ask) {
	ctx, cancel := context.WithTimeout(ctx, 2*l.limits.Interval)
	defer cancel()
	term, _ := l.replica.Term()
	answer, err := l.sharer.Share(ctx, host, ask)
	if err != nil {
		l.log.WithError(err).WithField("broker", host).Debug("limiter: broker does not answer")
		return
	}
	l.Accept(host, term, *answer)
}

// Accept applies an answer that was asked for in a term of currency.
func (l *Limiter) Accept(host string, term uint64, answer broker.Answer) {
	snapshot, _ := l.replica.Current()
	if now, current := l.replica.Term(); !current || now != term {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, grant := range answer.Grants {
		owner := snapshot.Owner(grant.Team)
		b, ok := l.buckets[grant.Team]
		if !ok || b.sequence != answer.Sequence || owner.Since != grant.Epoch || owner.Host != host {
			continue
		}
		l.checkLocked(grant.Team, b, snapshot, term)
		l.acceptLocked(host, b, grant)
	}
}

func (l *Limiter) acceptLocked(host string, b *bucket, grant broker.Grant) {
	if b.demand == 0 && b.arrivals == 0 && b.waiting == 0 {
		delete(l.buckets, grant.Team) // the broker knows that the share is given up
		return
	}
	b.epoch = grant.Epoch
	b.voidAt = time.Time{}
	b.granted = true
	b.space(grant, l.limits.Interval)
	if grant.Share.Rate < b.share.Rate {
		b.spacing = 0
		l.wakeLocked(b) // the next Ask frees the difference for other hosts
	}
	b.set(l.clock.Now(), grant.Share, grant.Tokens)
	l.log.WithFields(logrus.Fields{
		"team": grant.Team, "broker": host, "rate": grant.Share.Rate, "burst": grant.Share.Burst,
	}).Debug("limiter: share taken")
}
