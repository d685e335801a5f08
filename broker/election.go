package broker

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// Serve checks the owner until ctx ends and claims the ownership when the owner has
// failed. It implements suture.Service.
func (b *Broker) Serve(ctx context.Context) error {
	for {
		b.Poll(ctx)
		if err := b.clock.Wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// Poll claims the ownership if the owner has failed and it is the turn of this daemon.
func (b *Broker) Poll(ctx context.Context) {
	if b.shouldClaim() {
		b.claim(ctx)
	}
}

// shouldClaim reports whether this daemon should replace the owner. A restarted daemon on the
// owner's host replaces it at once. The other hosts do so one after another in rendezvous
// order, without ownerTimeout if the owner is leaving or is no longer a member.
func (b *Broker) shouldClaim() bool {
	members := b.members.Members()
	b.mu.Lock()
	owner, failure := b.owner, b.failureTimeLocked()
	b.mu.Unlock()
	if owner.Host == b.self.Host {
		return owner.Incarnation != b.self.Incarnation
	}
	var hosts []string
	isMember := false
	for _, m := range members {
		isMember = isMember || m.Host == owner.Host && m.Incarnation == owner.Incarnation && !m.Leaving
		if !m.Leaving && m.Host != owner.Host {
			hosts = append(hosts, m.Host)
		}
	}
	rank := slices.Index(catkinrun.RendezvousOrder(RowKey, hosts), b.self.Host)
	delay := ownerTimeout + time.Duration(rank)*claimInterval
	if !isMember {
		delay -= ownerTimeout
	}
	return rank >= 0 && failure >= delay
}

// failureTimeLocked returns how long the owner has failed to respond to this daemon. An owner
// that responds but does not grant tokens counts as failed after unreadyTimeout. If there is
// no owner yet, failureTimeLocked returns the time since this daemon's start.
func (b *Broker) failureTimeLocked() time.Duration {
	now := b.clock.Now()
	failure := time.Duration(0)
	if b.owner.Epoch == 0 {
		failure = now.Sub(b.startedAt)
	}
	if !b.failingSince.IsZero() {
		failure = now.Sub(b.failingSince)
	}
	if !b.unreadySince.IsZero() {
		failure = max(failure, now.Sub(b.unreadySince)-unreadyTimeout)
	}
	return failure
}

func (b *Broker) claim(ctx context.Context) {
	value, err := json.Marshal(b.self)
	if err != nil {
		b.log.WithError(err).Error("broker: cannot encode the owner's row")
		return
	}
	earlier := b.Owner()
	epoch := earlier.Epoch
	page, err := b.store.Commit(ctx, catkinrun.Transaction{
		Preconditions: []catkinrun.Precondition{{Table: b.table, Key: RowKey, Revision: epoch}},
		Writes:        []catkinrun.Write{{Table: b.table, Key: RowKey, Value: value}},
	})
	if err != nil {
		b.log.WithError(err).WithField("epoch", epoch).Info("broker: ownership not claimed")
		return
	}
	b.applyRow(catkinrun.Row{Key: RowKey, Value: value, Revision: page.Revision})
	if epoch == 0 || b.confirmStopped(ctx, earlier, page.Revision) {
		b.recordPredecessorStopped(page.Revision)
	}
}

// recordPredecessorStopped records that the owner before epoch has stopped granting tokens.
func (b *Broker) recordPredecessorStopped(epoch catkinrun.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner.Epoch == epoch {
		b.predecessorStopped = true
	}
}
