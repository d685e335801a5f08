// Package follower follows a table of the platform's store: it lists the table once and
// then watches for changes. When the store no longer has the changes after the last
// revision, it lists the table again. A failed call is tried again with exponential
// backoff.
package follower

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// PromptWait is how long the store holds a watch of a table whose changes must be known three seconds after a
	// disruption of the store at the latest. The response to a watch may be lost on a connection that stays open,
	// which shows only when the wait and the store's timeout of 1.5 s are over.
	PromptWait = time.Second
	// LongWait is how long the store holds a watch of a table for which a lost response shows otherwise.
	LongWait = 25 * time.Second
	// shortWait is how long the store holds the first watch after a change. In the pause after a change
	// the store can fall silent unnoticed.
	shortWait = 500 * time.Millisecond
	// minBackoff is the delay after the first failed call, before jitter. It doubles up to
	// maxBackoff, so that every daemon reads the store within two seconds of the end of an
	// outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// restoreGrace is the time after which a table is listed again when the store has been restored
	// from a backup: until then the daemons write their rows again.
	restoreGrace = 5 * time.Second
)

// Apply processes rows of a table; complete reports whether they are all rows of the table.
type Apply func(page catkinrun.Page, complete bool)

// Follower follows one table.
type Follower struct {
	store     catkinrun.Store
	clock     catkinrun.Clock
	log       logrus.FieldLogger
	table     string
	quietWait time.Duration // how long the store holds a watch that follows another one at once
	pause     time.Duration
	apply     Apply

	revision    catkinrun.Revision
	started     bool   // the table has been listed since the start
	era         uint64 // latest that a response was from
	listed      bool
	relistAt    time.Time     // zero if no further listing is due
	wait        time.Duration // of the next watch, unless the store is failing
	fresh       bool          // no watch has succeeded since the table was listed
	backoff     time.Duration
	failing     atomic.Bool
	respondedAt atomic.Int64 // clock reading at the last response or the start, in nanoseconds
}

// New returns a follower that passes the changes of the table to apply, in order. In calm times the store holds each
// watch for wait. The pause after each change lets the next call return several changes at once.
func New(store catkinrun.Store, clock catkinrun.Clock, log logrus.FieldLogger, table string, wait, pause time.Duration, apply Apply) *Follower {
	f := &Follower{store: store, clock: clock, log: log, table: table, quietWait: wait, pause: pause, apply: apply, wait: shortWait, backoff: minBackoff}
	f.respondedAt.Store(clock.Now().UnixNano())
	return f
}

// Failing reports whether the last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Age returns the time since the store last responded, or since the start if it has not.
func (f *Follower) Age() time.Duration {
	return time.Duration(f.clock.Now().UnixNano() - f.respondedAt.Load())
}

// Serve follows the table until ctx ends. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for {
		err := f.Step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			f.recordSuccess()
			continue
		}
		if err := f.waitAfterFailure(ctx, err); err != nil {
			return err
		}
	}
}

// Step makes one call and applies what it returns.
func (f *Follower) Step(ctx context.Context) error {
	if !f.relistAt.IsZero() && !f.clock.Now().Before(f.relistAt) {
		f.relistAt, f.revision = time.Time{}, 0 // a watch from the beginning returns all rows, or a lost history
	}
	if !f.listed {
		page, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		if err := f.checkEra(page); err != nil {
			return err
		}
		f.apply(page, true)
		f.listed, f.fresh = true, true
		f.recordRevision(page, true)
		return nil
	}
	page, err := f.store.Watch(ctx, f.table, f.revision, f.watchWait())
	var historyErr *catkinrun.HistoryError
	if errors.As(err, &historyErr) {
		f.listed = false
		f.log.WithFields(logrus.Fields{"table": f.table, "after": f.revision.Count(), "era": f.revision.Era()}).Info("follower: store no longer has the history, listing the table again")
		if f.fresh {
			return err // listing again at once might go on for ever
		}
		return nil
	}
	if err != nil {
		return err
	}
	if err := f.checkEra(page); err != nil {
		return err
	}
	f.fresh = false
	f.recordRevision(page, page.Complete)
	if len(page.Rows) == 0 && !page.Complete {
		f.wait = f.quietWait
		return nil
	}
	f.wait = shortWait
	f.apply(page, page.Complete)
	return f.clock.Wait(ctx, f.pause)
}

// watchWait returns how long the store may hold the next watch. As long as it is failing the store is asked
// for a response at once, so that a request that is lost shows early.
func (f *Follower) watchWait() time.Duration {
	if f.failing.Load() {
		return 0
	}
	if f.relistAt.IsZero() {
		return f.wait
	}
	return min(f.wait, max(0, f.relistAt.Sub(f.clock.Now())))
}

// checkEra refuses a page from before a restore of the store, which another daemon may still have.
func (f *Follower) checkEra(page catkinrun.Page) error {
	if era := page.Revision.Era(); era < f.era {
		return &catkinrun.EraError{Era: era, Latest: f.era}
	}
	return nil
}

// recordRevision records the position from which the next watch continues. After a listing that is its
// revision, even if a watch was further: a read of the store may be stale.
func (f *Follower) recordRevision(page catkinrun.Page, complete bool) {
	if f.started && page.Revision.Era() > f.era {
		f.relistAt = f.clock.Now().Add(restoreGrace)
	}
	f.started, f.era = true, max(f.era, page.Revision.Era())
	if complete {
		f.revision = page.Revision
		return
	}
	f.revision = max(f.revision, page.Revision)
}

func (f *Follower) recordSuccess() {
	f.respondedAt.Store(f.clock.Now().UnixNano())
	f.backoff = minBackoff
	if f.failing.CompareAndSwap(true, false) {
		f.log.WithField("table", f.table).Info("follower: store is available again")
	}
}

func (f *Follower) waitAfterFailure(ctx context.Context, err error) error {
	f.wait = shortWait
	if f.failing.CompareAndSwap(false, true) {
		f.log.WithError(err).WithField("table", f.table).Warn("follower: store is unavailable")
	}
	delay := time.Duration((0.5 + rand.Float64()/2) * float64(f.backoff))
	f.backoff = min(2*f.backoff, maxBackoff)
	return f.clock.Wait(ctx, delay)
}
