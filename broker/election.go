package broker

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// ownerTimeout is the time without a response after which the first of the other hosts
	// replaces an owner. Each further host waits claimInterval longer, in case those
	// before it have failed too.
	ownerTimeout  = 700 * time.Millisecond
	claimInterval = 300 * time.Millisecond
	// unreadyTimeout is the additional time before an owner that responds but does not
	// grant tokens is replaced.
	unreadyTimeout = 5 * time.Second
	// stopTimeout bounds the request to an earlier owner. It allows for two trips across a
	// region.
	stopTimeout = 300 * time.Millisecond
	// pollInterval is the time between two checks of the owners.
	pollInterval = 250 * time.Millisecond
	// hostsPerOwner is the number of hosts for each owner, so that the token requests that one
	// owner handles do not grow with the fleet.
	hostsPerOwner = 64
)

// Serve checks the owners until ctx ends and claims the shards of those that have failed. It
// implements suture.Service.
func (b *Broker) Serve(ctx context.Context) error {
	for {
		b.Poll(ctx)
		waitCtx, cancel := context.WithTimeout(ctx, pollInterval)
		select {
		case <-b.wake:
		case <-waitCtx.Done():
		}
		cancel()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// Poll claims the shards whose owner this daemon should replace, if there are any and a majority of
// the voters agrees, writes the assignment again after a restore of the store, asks the former owners of
// its shards to stop, and removes hosts that are gone.
func (b *Broker) Poll(ctx context.Context) {
	members := b.members.Members()
	b.mu.Lock()
	shards := b.shardsToClaimLocked(members)
	b.mu.Unlock()
	if shards != 0 {
		shards = b.confirmClaim(ctx, members, shards)
	}
	if shards != 0 {
		b.claim(ctx, shards)
	}
	b.rewriteInEra(ctx)
	b.confirmFormerOwners(ctx)
	b.removeDeparted(ctx)
}

// shardsToClaimLocked returns the shards that this daemon should own instead of their present
// owner. The other hosts replace an owner one after another in rendezvous order, without
// ownerTimeout if it is leaving, its process has ended, or it is no longer a member. A
// restarted daemon replaces its earlier start at once. Before the members have been read nobody is known to be gone.
func (b *Broker) shardsToClaimLocked(members []catkinrun.Member) ShardSet {
	if b.resigned || b.superseded || !b.listed {
		return 0
	}
	if b.assignment.Generation == 0 {
		return b.claimFirstLocked(members)
	}
	var shards ShardSet
	for _, owner := range b.assignment.Owners {
		owned := b.assignment.OwnedBy(owner)
		switch {
		case owner == b.self:
		case owner.Host == b.self.Host, b.failureTimeLocked(owner) >= b.claimDelayLocked(members, owner):
			shards |= owned
		}
	}
	if shards == 0 {
		shards = b.shardsToTakeOverLocked(members)
	}
	return shards
}

func (b *Broker) claimFirstLocked(members []catkinrun.Member) ShardSet {
	rank := b.rank(members, Owner{})
	if rank < 0 || b.clock.Now().Sub(b.startedAt) < ownerTimeout+time.Duration(rank)*claimInterval {
		return 0
	}
	return allShards
}

// rank returns the position of this daemon among the hosts that may replace an owner, -1 if
// it is not among them. Hosts that own no shard come first.
func (b *Broker) rank(members []catkinrun.Member, owner Owner) int {
	var free, owning []string
	for _, m := range members {
		switch {
		case m.Leaving || m.Host == owner.Host:
		case slices.ContainsFunc(b.assignment.Owners, func(o Owner) bool { return o.Host == m.Host }):
			owning = append(owning, m.Host)
		default:
			free = append(free, m.Host)
		}
	}
	order := append(catkinrun.RendezvousOrder(RowKey, free), catkinrun.RendezvousOrder(RowKey, owning)...)
	return slices.Index(order, b.self.Host)
}

// claimDelayLocked returns how long an owner must have failed before this daemon replaces it.
func (b *Broker) claimDelayLocked(members []catkinrun.Member, owner Owner) time.Duration {
	rank := b.rank(members, owner)
	if rank < 0 {
		return neverClaim
	}
	delay := ownerTimeout + time.Duration(rank)*claimInterval
	if b.hasEndedLocked(members, owner) {
		delay -= ownerTimeout
	}
	return delay
}

// neverClaim is longer than any failure.
const neverClaim = time.Duration(1<<63 - 1)

// shardsToTakeOverLocked returns part of the shards of the owner with the most, if the fleet
// has fewer owners than its size asks for and this daemon is the next one. All owners must be
// responding.
func (b *Broker) shardsToTakeOverLocked(members []catkinrun.Member) ShardSet {
	wanted := min((len(members)+hostsPerOwner-1)/hostsPerOwner, ShardCount)
	if len(b.assignment.Owners) >= wanted || b.rank(members, Owner{}) != 0 {
		return 0
	}
	var most ShardSet
	for _, owner := range b.assignment.Owners {
		h, ok := b.health[owner.Host]
		if owner == b.self || !ok || h.owner != owner || !h.failingSince.IsZero() || !h.unreadySince.IsZero() {
			return 0
		}
		if owned := b.assignment.OwnedBy(owner); owned.Len() > most.Len() {
			most = owned
		}
	}
	return most.first(min(ShardCount/wanted, most.Len()-1))
}

// claim makes this daemon the owner of shards.
func (b *Broker) claim(ctx context.Context, shards ShardSet) {
	b.mu.Lock()
	next, revision := b.nextAssignmentLocked(shards), b.revision
	b.logClaimLocked(shards)
	b.mu.Unlock()
	b.commit(ctx, next, revision)
}

// logClaimLocked logs what this daemon has seen of the owners whose shards it claims.
func (b *Broker) logClaimLocked(shards ShardSet) {
	for _, owner := range b.assignment.Owners {
		claimed := b.assignment.OwnedBy(owner) & shards
		if claimed == 0 {
			continue
		}
		b.log.WithFields(logrus.Fields{
			"owner": owner.Host, "generation": b.assignment.Generation, "failing-ms": b.failureTimeLocked(owner).Milliseconds(),
			"process-ended": b.processEndedLocked(owner), "shards": claimed.Len(),
		}).Info("broker: replacing an owner")
	}
}

// nextAssignmentLocked returns the assignment with which this daemon claims shards.
func (b *Broker) nextAssignmentLocked(shards ShardSet) Assignment {
	era := b.revision.Era()
	switch {
	case b.assignment.Generation == 0 && b.revision == 0:
		return NewAssignment(b.self)
	case b.assignment.Generation == 0:
		return newAssignmentIn(era, b.self, Owner{}) // a lost row, or one that cannot be decoded: nobody can confirm
	}
	var granted ShardSet
	for _, h := range b.health {
		granted |= h.granted & b.assignment.OwnedBy(h.owner)
	}
	next := b.assignment.raisedTo(era).WithOwner(shards, b.self, granted)
	if b.assignment.eraOf() < era {
		next = next.withUnknownFormer(shards) // an assignment after the one known may have been lost
	}
	return next
}
