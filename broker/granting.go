package broker

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// updateInterval is the minimum time between two updates of the voters and of the
// fraction that the owner may grant.
const updateInterval = 50 * time.Millisecond

// GrantTokens handles a token request.
func (b *Broker) GrantTokens(_ context.Context, request *TokenRequest) (*TokenResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if request.Assignment != nil {
		b.applyLocked(*request.Assignment)
	}
	if request.Generation > b.assignment.Generation {
		b.superseded = true // the requesting daemon knows a later assignment
	}
	now := b.elapsed()
	response := &TokenResponse{Incarnation: b.self.Incarnation, Generation: b.assignment.Generation, Stamp: now}
	if request.Generation < b.assignment.Generation {
		assignment := b.assignment
		response.Assignment = &assignment
	}
	if request.Candidate {
		response.Failed, response.Host = b.failedLocked(), b.self.Host
		return response, nil
	}
	b.recordSupportLocked(request, now)
	b.updateLocked(now)
	response.Ready = b.authorizeLocked(now)
	if request.Assignment != nil {
		response.Handover = b.handOverLocked(request.Host)
	}
	snapshot := b.snapshots.Snapshot()
	for _, t := range request.Teams {
		team, declared := snapshot.Team(t.Team)
		shard := ShardOf(t.Team)
		if !declared || !response.Ready.Has(shard) || request.Generation < b.assignment.Epoch(shard) {
			continue
		}
		tokens := b.ledgers[shard].take(now, t.Team, team.Rate, team.Burst, t.Returned, t.Tokens)
		response.Grants = append(response.Grants, Grant{Team: t.Team, Tokens: tokens})
	}
	return response, nil
}

// handOverLocked returns the tokens left of the shards that now belong to a host's daemon, and
// forgets them.
func (b *Broker) handOverLocked(host string) []Grant {
	var handover []Grant
	for shard, l := range b.retired {
		if owner, ok := b.assignment.Owner(shard); !ok || owner.Host != host {
			continue
		}
		handover = append(handover, l.remaining()...)
		delete(b.retired, shard)
	}
	return handover
}

// openLedgerLocked returns the ledger with which this daemon begins to grant the tokens of a
// shard. It holds what the former owner has handed over.
func (b *Broker) openLedgerLocked(shard int, now time.Duration) *ledger {
	l := newLedger(now, b.availableLocked(now, now))
	for team, tokens := range b.handedOver {
		if ShardOf(team) == shard {
			l.buckets[team] = &bucket{tokens: float64(tokens), requestedAt: now}
			delete(b.handedOver, team)
		}
	}
	return l
}

// elapsed returns the reading of this daemon's clock that responses carry as their stamp.
func (b *Broker) elapsed() time.Duration { return b.clock.Now().Sub(b.startedAt) }

func (b *Broker) recordSupportLocked(request *TokenRequest, now time.Duration) {
	s, ok := b.supporters[request.Host]
	if !ok || s.incarnation != request.Incarnation {
		s = &supporter{incarnation: request.Incarnation} // a restarted daemon may have voted for others meanwhile
		b.supporters[request.Host] = s
	}
	s.record(request, now)
}

// updateLocked updates the voters, the available fraction of each ledger and the buckets of
// idle teams, if the last update was long enough ago.
func (b *Broker) updateLocked(now time.Duration) {
	if now < b.updatedAt+updateInterval {
		return
	}
	b.updatedAt = now
	b.updateHostsLocked()
	for _, l := range b.ledgers {
		l.update(now, b.availableLocked(now, l.grantingSince))
		l.dropIdle(now)
	}
}

func (b *Broker) updateHostsLocked() {
	members := b.members.Members()
	hosts, eligible := make([]string, 0, len(members)), make([]string, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, m.Host)
		if !m.Leaving {
			eligible = append(eligible, m.Host)
		}
	}
	if len(eligible) == 0 {
		eligible = hosts // the whole fleet is shutting down
	}
	if slices.Equal(hosts, b.hosts) && slices.Equal(eligible, b.eligible) {
		return
	}
	b.hosts, b.eligible, b.voters = hosts, eligible, voters(eligible)
	for host := range b.supporters {
		if _, found := slices.BinarySearch(hosts, host); !found {
			delete(b.supporters, host)
		}
	}
}

// Standing is the part of a daemon in the election of the owners.
type Standing struct {
	Votes       bool   // its requests are votes
	IsVoter     bool   // its host is among the voters of some shard
	Incarnation string // of the daemon
}

// Standing returns the part of this daemon.
func (b *Broker) Standing() Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateLocked(b.elapsed())
	return Standing{Votes: b.mayVoteLocked(), IsVoter: b.isVoterLocked(b.self.Host), Incarnation: b.self.Incarnation}
}

// isVoterLocked reports whether a host is among the voters of some shard.
func (b *Broker) isVoterLocked(host string) bool {
	return slices.ContainsFunc(b.voters[:], func(group []string) bool { return slices.Contains(group, host) })
}

// availableLocked returns the fraction of the rates that this owner may grant until the next
// update: all but the local shares of the hosts that may be using them until then.
func (b *Broker) availableLocked(now, grantingSince time.Duration) float64 {
	using := 0
	for _, host := range b.hosts {
		if s, ok := b.supporters[host]; !ok || !s.cedesAt(now+updateInterval, grantingSince) {
			using++
		}
	}
	return 1 - float64(using)*LocalShare(len(b.hosts))
}

// authorizeLocked returns the shards of which this daemon may grant tokens now.
func (b *Broker) authorizeLocked(now time.Duration) ShardSet {
	owned := b.assignment.OwnedBy(b.self)
	if b.resigned || b.superseded {
		owned = 0
	}
	var ready, unconfirmed ShardSet
	for _, shards := range b.unconfirmed {
		unconfirmed |= shards
	}
	majorities := make(map[majority]bool)
	for shard := range ShardCount {
		if !owned.Has(shard) {
			delete(b.ledgers, shard)
			continue
		}
		m := majority{group: voterGroup(shard), epoch: b.assignment.Epoch(shard), formerStopped: !unconfirmed.Has(shard)}
		supported, known := majorities[m]
		if !known {
			supported = b.hasMajorityLocked(m, now)
			majorities[m] = supported
		}
		switch {
		case !supported:
			delete(b.ledgers, shard)
		case b.ledgers[shard] == nil:
			b.ledgers[shard] = b.openLedgerLocked(shard, now)
			fallthrough
		default:
			ready = ready.With(shard)
		}
	}
	b.logReadyLocked(ready)
	return ready
}

// majority describes the support that shards need; shards with the same description have it
// together.
type majority struct {
	group         int
	epoch         uint64
	formerStopped bool // all former owners have certainly stopped granting tokens
}

// hasMajorityLocked reports whether a majority of a group of voters supports this owner. A
// voter that has known the epoch for less than VoteTTL may still count for a former owner,
// unless all of those have certainly stopped.
func (b *Broker) hasMajorityLocked(m majority, now time.Duration) bool {
	return 2*b.votesLocked(m, now) > len(b.voters[m.group])
}

// votesLocked returns the number of voters of a group that support this owner.
func (b *Broker) votesLocked(m majority, now time.Duration) int {
	count := 0
	for _, host := range b.voters[m.group] {
		s, ok := b.supporters[host]
		if ok && s.votesFor(m.epoch, now) && (m.formerStopped || s.settledIn(m.epoch, now)) {
			count++
		}
	}
	return count
}

// logReadyLocked logs a change of the shards of which this daemon grants tokens.
func (b *Broker) logReadyLocked(ready ShardSet) {
	if ready == b.ready {
		return
	}
	votes, voters := b.countVotesLocked(b.elapsed())
	b.log.WithFields(logrus.Fields{
		"shards": ready.Len(), "before": b.ready.Len(), "generation": b.assignment.Generation, "votes": votes, "voters": voters,
	}).Info("broker: shards whose tokens this daemon grants changed")
	b.ready = ready
}

// countVotesLocked returns the valid votes for this daemon and the number of voters, of the
// group in which it has the fewest.
func (b *Broker) countVotesLocked(now time.Duration) (votes, voters int) {
	for group := range voterGroupCount {
		count := b.votesLocked(majority{group: group, epoch: b.assignment.Generation, formerStopped: true}, now)
		if group == 0 || count < votes {
			votes, voters = count, len(b.voters[group])
		}
	}
	return votes, voters
}

// Status is what operators see of the rates at one daemon.
type Status struct {
	Generation   uint64 // of the assignment
	Ready        int    // shards whose tokens this daemon grants
	Votes        int    // for this daemon, in the group of voters with the fewest
	Voters       int    // in that group
	MayVote      bool   // this daemon's own requests are votes
	OwnersFailed int    // owners that do not respond to this daemon
}

// Status returns the present state.
func (b *Broker) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Generation: b.assignment.Generation, Ready: b.ready.Len(), MayVote: b.mayVoteLocked()}
	s.Votes, s.Voters = b.countVotesLocked(b.elapsed())
	for _, owner := range b.assignment.Owners {
		if b.failureTimeLocked(owner) > 0 {
			s.OwnersFailed++
		}
	}
	return s
}
