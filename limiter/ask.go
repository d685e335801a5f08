package limiter

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun/broker"
)

// asks makes one Ask per broker with all teams that are in use here.
func (l *Limiter) asks() map[string]*broker.Ask {
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
		if owner.Host == "" {
			continue
		}
		b.measure(l.limits.Interval)
		ask, ok := asks[owner.Host]
		if !ok {
			ask = &broker.Ask{Host: identity.Host, Incarnation: identity.Incarnation}
			asks[owner.Host] = ask
		}
		ask.Wants = append(ask.Wants, l.wantLocked(team, b))
	}
	for host, ask := range asks {
		l.sequence++
		ask.Sequence = l.sequence
		l.lastAsk[host] = l.sequence
	}
	return asks
}

// wantLocked makes a team's line; an idle team's share is given up first.
func (l *Limiter) wantLocked(team string, b *bucket) broker.Want {
	if b.demand == 0 {
		b.drop()
	}
	return broker.Want{Team: team, Epoch: b.epoch, Held: b.share, Demand: b.demand}
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
	if l.lastAsk[host] != answer.Sequence {
		return
	}
	for _, grant := range answer.Grants {
		owner := snapshot.Owner(grant.Team)
		b, ok := l.buckets[grant.Team]
		if !ok || owner.Since != grant.Epoch || owner.Host != host {
			continue
		}
		l.checkLocked(grant.Team, b, snapshot, term)
		l.acceptLocked(host, b, grant)
	}
}

func (l *Limiter) acceptLocked(host string, b *bucket, grant broker.Grant) {
	if b.demand == 0 && b.arrivals == 0 {
		delete(l.buckets, grant.Team) // the broker knows that the share is given up
		return
	}
	b.epoch = grant.Epoch
	b.voidAt = time.Time{}
	b.granted = true
	b.set(l.clock.Now(), grant.Share, grant.Tokens)
	l.log.WithFields(logrus.Fields{
		"team": grant.Team, "broker": host, "rate": grant.Share.Rate, "burst": grant.Share.Burst,
	}).Debug("limiter: share taken")
}
