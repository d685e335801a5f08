package broker

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// A store that is restored from a backup may have an earlier assignment than the one in force, or none. Four
// rules keep two owners from granting tokens at the same time, and the owners from stopping:
//
//   - The generation contains the era in which the assignment was written, so that generations that
//     are given out again are later ones.
//   - An owner that grants the tokens of all of its shards writes the assignment in force again, with
//     the same epochs.
//   - The first claim in an era waits for the votes of unknown former owners to expire.
//   - A voter does not vote while its votes for an owner that the assignment neither names as the owner
//     nor as a former one may still count: nobody asks that owner whether it has stopped. Nor does a voter
//     that starts with an assignment of a former era vote until the votes from before its start have expired.

// firstGeneration returns the number that all generations of an era exceed.
func firstGeneration(era uint64) uint64 { return uint64(catkinrun.NewRevision(era, 0)) }

// eraOf returns the era in which an assignment was written.
func (a Assignment) eraOf() uint64 { return catkinrun.Revision(a.Generation).Era() }

// raisedTo returns the assignment with a generation from which the next one belongs to an era.
func (a Assignment) raisedTo(era uint64) Assignment {
	a.Generation = max(a.Generation, firstGeneration(era))
	return a
}

// newAssignmentIn returns the first generation of an era, as NewAssignment does for a store that was
// never restored.
func newAssignmentIn(era uint64, owner Owner, former ...Owner) Assignment {
	first := Assignment{Generation: firstGeneration(era) + 1}
	for range ShardCount {
		first.add(owner, first.Generation, former)
	}
	return first
}

// withUnknownFormer returns a copy in which daemons that nobody knows may still grant the tokens of some
// shards. It is used on assignments that are being built.
func (a Assignment) withUnknownFormer(shards ShardSet) Assignment {
	next := Assignment{Generation: a.Generation}
	for shard := range a.Shards {
		owner, _ := a.Owner(shard)
		former := a.formerOwners(shard)
		if shards.Has(shard) {
			former = append(withoutHost(former, ""), Owner{})
		}
		next.add(owner, a.Epoch(shard), former)
	}
	return next
}

// rewriteInEra writes the assignment in force again, if the store has been restored since it was written and
// this daemon grants the tokens of all of its shards.
func (b *Broker) rewriteInEra(ctx context.Context) {
	b.mu.Lock()
	era, revision := b.revision.Era(), b.revision
	owned := b.assignment.OwnedBy(b.self)
	due := b.assignment.Generation > 0 && b.assignment.eraOf() < era && owned != 0 && b.authorizeLocked(b.elapsed()) == owned
	next := b.assignment.raisedTo(era)
	next.Generation++
	b.mu.Unlock()
	if due {
		b.log.WithFields(logrus.Fields{"era": era, "generation": next.Generation}).Info("broker: the store was restored, writing the assignment of owners again")
		b.commit(ctx, next, revision)
	}
}

// commit writes an assignment over the row of a revision, and applies it.
func (b *Broker) commit(ctx context.Context, next Assignment, revision catkinrun.Revision) {
	value, err := json.Marshal(next)
	if err != nil {
		b.log.WithError(err).Error("broker: cannot encode the assignment of owners")
		return
	}
	page, err := b.store.Commit(ctx, catkinrun.Transaction{
		Preconditions: []catkinrun.Precondition{{Table: b.table, Key: RowKey, Revision: revision}},
		Writes:        []catkinrun.Write{{Table: b.table, Key: RowKey, Value: value}},
	})
	if err != nil {
		b.log.WithError(err).WithField("generation", next.Generation).Info("broker: assignment of owners not written")
		b.applyCurrent(err, revision)
		return
	}
	b.applyRow(catkinrun.Row{Key: RowKey, Value: value, Revision: page.Revision})
}

// applyCurrent applies the row with which the store answered a failed precondition.
func (b *Broker) applyCurrent(err error, revision catkinrun.Revision) {
	var precondition *catkinrun.PreconditionError
	if !errors.As(err, &precondition) {
		return
	}
	if precondition.Current.Revision > 0 {
		b.applyRow(precondition.Current)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revision == revision {
		b.revision = catkinrun.NewRevision(revision.Era(), 0) // the row has been removed
	}
}

// applyAbsenceLocked records that a listing of a later era lacks the row.
func (b *Broker) applyAbsenceLocked(page catkinrun.Page) {
	if page.Revision.Era() > b.revision.Era() {
		b.revision = catkinrun.NewRevision(page.Revision.Era(), 0)
	}
}

// support is the votes that this daemon has given to an owner.
type support struct {
	owner  Owner
	shards ShardSet
	until  time.Duration // reading of this daemon's clock until which they may count
}

// abstainLocked makes this daemon not vote under the next assignment while its votes for an owner may
// count which the assignment does not name.
func (b *Broker) abstainLocked(next Assignment) {
	now := b.elapsed()
	b.supported = slices.DeleteFunc(b.supported, func(s support) bool { return s.until <= now })
	for _, owner := range b.assignment.Owners {
		b.supported = append(b.supported, support{owner: owner, shards: b.assignment.OwnedBy(owner), until: now + VoteTTL})
	}
	for _, s := range b.supported {
		if !next.names(s.owner, s.shards) {
			b.abstainsUntil = max(b.abstainsUntil, s.until)
		}
	}
}

// names reports whether a daemon is the owner or a former owner of each of the shards, or has ended, since its
// host has another owner's daemon.
func (a Assignment) names(owner Owner, shards ShardSet) bool {
	for shard := range a.Shards {
		present, _ := a.Owner(shard)
		if shards.Has(shard) && present.Host != owner.Host && !slices.Contains(a.formerOwners(shard), owner) {
			return false
		}
	}
	return true
}

// mayVoteLocked reports whether the requests of this daemon are votes. A restarted daemon votes only once it has
// read the store: another daemon could have sent it an earlier assignment than it voted under before. If the store
// has been restored, so could the store.
func (b *Broker) mayVoteLocked() bool {
	now := b.elapsed()
	known := b.assignment.eraOf() == b.revision.Era() || now >= VoteTTL
	return b.listed && known && now >= b.abstainsUntil
}
