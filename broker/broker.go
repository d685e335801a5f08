// Package broker divides the rate and burst of each team that this daemon owns
// among the daemons that see the team's traffic.
//
// The sum of the shares that may be in use never exceeds the team's rate and
// burst. With every bucket filled at its share's rate, a new share starting
// empty, and a reduced one truncated, no window lets through more than
// rate x window + burst. docs/design/rates.md has the argument.
package broker

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/replicator"
)

// Limits are the broker's times.
type Limits struct {
	Proof time.Duration // age up to which a daemon's proof of currency counts
	Grace time.Duration // life of a share whose epoch has ended, unless confirmed
	Idle  time.Duration // after which a silent host's demand counts as nil
}

// Broker keeps the ledgers of the teams that it owns.
type Broker struct {
	replica *replicator.Replica
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	limits  Limits

	mu      sync.Mutex
	ledgers map[string]*ledger
}

// New returns a broker for the teams whose owner is the replica's daemon.
func New(replica *replicator.Replica, clock catkinrun.Clock, log logrus.FieldLogger, limits Limits) *Broker {
	return &Broker{replica: replica, clock: clock, log: log, limits: limits, ledgers: make(map[string]*ledger)}
}

// Share answers an Ask. Teams that this daemon does not own, and hosts that are
// not on the roster, get nothing.
func (b *Broker) Share(_ context.Context, ask *Ask) (*Answer, error) {
	answer := &Answer{Sequence: ask.Sequence}
	snapshot, current := b.replica.Current()
	host, member := snapshot.Host(ask.Host)
	if !current || !member || host.Incarnation != ask.Incarnation {
		return answer, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, want := range ask.Wants {
		if grant, ok := b.grant(snapshot, ask, want); ok {
			answer.Grants = append(answer.Grants, grant)
		}
	}
	return answer, nil
}

func (b *Broker) grant(s *catkinrun.Snapshot, ask *Ask, want Want) (Grant, bool) {
	team, declared := s.Get(catkinrun.KindTeam, want.Team)
	owner := s.Owner(want.Team)
	identity := b.replica.Identity()
	if owner.Host != identity.Host || owner.Incarnation != identity.Incarnation {
		delete(b.ledgers, want.Team)
		return Grant{}, false
	}
	if !declared {
		return Grant{}, false // the ledger stays, since shares of it may be in use
	}
	l := b.ledger(want.Team, owner.Since)
	l.fill(b.clock.Now(), *team.Team)
	b.settle(l, s)
	entry := l.entry(ask.Host, ask.Incarnation)
	if entry == nil || ask.Sequence <= entry.sequence {
		return Grant{}, false
	}
	entry.sequence = ask.Sequence
	entry.heardAt = b.clock.Now()
	entry.demand = want.Demand
	grant := Grant{Team: want.Team, Epoch: owner.Since}
	if !l.ready {
		grant.Share = l.confirm(entry, want)
		return grant, true
	}
	grant.Share, grant.Tokens = l.allocate(entry, want, *team.Team, b.clock.Now().Add(-b.limits.Idle))
	b.log.WithFields(logrus.Fields{
		"team": want.Team, "host": ask.Host, "demand": want.Demand,
		"rate": grant.Share.Rate, "held": want.Held.Rate, "tokens": grant.Tokens,
	}).Debug("broker: share granted")
	return grant, true
}

// ledger returns the ledger of an epoch; that of an older epoch is dropped.
func (b *Broker) ledger(team string, epoch catkinrun.Version) *ledger {
	l, ok := b.ledgers[team]
	if !ok || l.epoch != epoch {
		l = newLedger(epoch)
		b.ledgers[team] = l
	}
	return l
}

// settle makes the ledger ready once nothing granted in an earlier epoch can be
// in use, and frees the shares of hosts that the roster no longer names.
//
// By Proof after the acceptance every current daemon knows the new epoch; by
// Grace after that it has had its old share confirmed here or has dropped it.
func (b *Broker) settle(l *ledger, s *catkinrun.Snapshot) {
	now := b.clock.Now()
	accepted := b.replica.Accepted()
	if age, ok := b.replica.AcceptedFor(l.epoch); ok && age >= b.limits.Proof+b.limits.Grace {
		l.ready = true
	}
	for key, e := range l.entries {
		host, ok := s.Host(key.host)
		if ok && host.Incarnation == key.incarnation {
			l.forget(key, e, now.Add(-b.limits.Idle))
			continue
		}
		if e.goneAt.IsZero() && accepted >= s.RosterVersion() {
			e.goneAt = now
		}
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) >= b.limits.Proof {
			delete(l.entries, key)
		}
	}
}

// Outstanding returns, for each team owned here, the sum of the shares that may
// be in use.
func (b *Broker) Outstanding() map[string]Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := make(map[string]Share, len(b.ledgers))
	for team, l := range b.ledgers {
		sums[team] = l.sum(nil)
	}
	return sums
}
