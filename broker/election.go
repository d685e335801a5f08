package broker

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// Serve claims the ownership when there is no owner that answers, until ctx ends. It
// implements suture.Service.
func (b *Broker) Serve(ctx context.Context) error {
	for {
		b.Look(ctx)
		if err := b.clock.Wait(ctx, lookEvery); err != nil {
			return err
		}
	}
}

// Look claims the ownership if this daemon is the one to do so.
func (b *Broker) Look(ctx context.Context) {
	if b.mustClaim() {
		b.claim(ctx)
	}
}

// mustClaim reports whether this daemon is the one to replace the owner: the next start
// of the owner's own daemon at once, the others one after the other by name weight.
func (b *Broker) mustClaim() bool {
	members := b.members.Members()
	b.mu.Lock()
	owner, failed := b.owner, b.failingLocked()
	b.mu.Unlock()
	if owner.Host == b.self.Host {
		return owner.Incarnation != b.self.Incarnation
	}
	var hosts []string
	present := false
	for _, m := range members {
		present = present || m.Host == owner.Host && m.Incarnation == owner.Incarnation && !m.Leaving
		if !m.Leaving && m.Host != owner.Host {
			hosts = append(hosts, m.Host)
		}
	}
	rank := slices.Index(catkinrun.Rendezvous(RowKey, hosts), b.self.Host)
	wait := silence + time.Duration(rank)*turn
	if !present {
		wait -= silence
	}
	return rank >= 0 && failed >= wait
}

// failingLocked returns the time for which the owner has been of no use to this daemon.
func (b *Broker) failingLocked() time.Duration {
	now := b.clock.Now()
	longest := time.Duration(0)
	if b.owner.Epoch == 0 {
		longest = now.Sub(b.startedAt)
	}
	if !b.failedAt.IsZero() {
		longest = now.Sub(b.failedAt)
	}
	if !b.unreadyAt.IsZero() {
		longest = max(longest, now.Sub(b.unreadyAt)-unready)
	}
	return longest
}

func (b *Broker) claim(ctx context.Context) {
	value, err := json.Marshal(b.self)
	if err != nil {
		b.log.WithError(err).Error("broker: owner's row cannot be written")
		return
	}
	earlier := b.Owner()
	epoch := earlier.Epoch
	page, err := b.store.Commit(ctx, catkinrun.Transaction{
		Checks: []catkinrun.Check{{Table: b.table, Key: RowKey, Revision: epoch}},
		Writes: []catkinrun.Write{{Table: b.table, Key: RowKey, Value: value}},
	})
	if err != nil {
		b.log.WithError(err).WithField("epoch", epoch).Info("broker: ownership not claimed")
		return
	}
	b.take(catkinrun.Row{Key: RowKey, Value: value, Revision: page.Revision})
	if epoch == 0 || b.stopped(ctx, earlier, page.Revision) {
		b.succeed(page.Revision)
	}
}

// succeed notes that no earlier owner deals any more.
func (b *Broker) succeed(epoch catkinrun.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner.Epoch == epoch {
		b.alone = true
	}
}
