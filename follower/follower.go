// Package follower keeps up with a table of the platform's store: it lists the table
// once and then waits for changes. When the store has forgotten the changes it lists
// again; when the store does not answer it tries again, each time a little later.
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
	// watchWait is the time that one watch asks for. Keep-alive probes find a silent
	// connection within it; it only bounds what they miss.
	watchWait = 25 * time.Second
	// firstRetry is the wait after a failed call; it doubles up to lastRetry, so that a
	// store that returns is read within two seconds by every daemon.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// Apply takes rows of a table. whole says that they are all rows that there are.
type Apply func(page catkinrun.Page, whole bool)

// Follower follows one table.
type Follower struct {
	store catkinrun.Store
	clock catkinrun.Clock
	log   logrus.FieldLogger
	table string
	pause time.Duration
	apply Apply

	revision catkinrun.Revision
	listed   bool
	retry    time.Duration
	failing  atomic.Bool
	seenAt   atomic.Int64 // nanoseconds of the clock at the last answer
}

// New returns a follower that hands each change of the table to apply, in order. After
// a change it waits for pause, so that several changes come with one call.
func New(store catkinrun.Store, clock catkinrun.Clock, log logrus.FieldLogger, table string, pause time.Duration, apply Apply) *Follower {
	return &Follower{store: store, clock: clock, log: log, table: table, pause: pause, apply: apply, retry: firstRetry}
}

// Failing reports whether the last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Age returns the time since the store last answered.
func (f *Follower) Age() time.Duration {
	return time.Duration(f.clock.Now().UnixNano() - f.seenAt.Load())
}

// Serve follows the table until ctx ends. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for {
		err := f.Step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			f.succeeded()
			continue
		}
		if err := f.failed(ctx, err); err != nil {
			return err
		}
	}
}

// Step makes one call and applies what it returns.
func (f *Follower) Step(ctx context.Context) error {
	if !f.listed {
		page, err := f.store.List(ctx, f.table)
		if err != nil {
			return err
		}
		f.apply(page, true)
		f.listed, f.revision = true, page.Revision
		return nil
	}
	page, err := f.store.Watch(ctx, f.table, f.revision, watchWait)
	var gone *catkinrun.HistoryError
	if errors.As(err, &gone) {
		f.listed = false
		f.log.WithFields(logrus.Fields{"table": f.table, "after": f.revision}).Info("follower: history is gone, listing again")
		return nil
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, page.Revision)
	if len(page.Rows) == 0 {
		return nil
	}
	f.apply(page, false)
	return f.clock.Wait(ctx, f.pause)
}

func (f *Follower) succeeded() {
	f.seenAt.Store(f.clock.Now().UnixNano())
	f.retry = firstRetry
	if f.failing.CompareAndSwap(true, false) {
		f.log.WithField("table", f.table).Info("follower: store answers again")
	}
}

func (f *Follower) failed(ctx context.Context, err error) error {
	if f.failing.CompareAndSwap(false, true) {
		f.log.WithError(err).WithField("table", f.table).Warn("follower: store does not answer")
	}
	wait := time.Duration((0.5 + rand.Float64()/2) * float64(f.retry))
	f.retry = min(2*f.retry, lastRetry)
	return f.clock.Wait(ctx, wait)
}
