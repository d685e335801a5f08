package relayer

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun"
)

// longWatch is the wait from which a watch of the store is repeated once the response to another call shows a
// newer revision of the store than the watch is known to have passed: its own response may be lost, on a
// connection that stays open. Shorter ones end soon by themselves.
const longWatch = 2 * time.Second

const (
	// waitTolerance is how much earlier than requested the response may come that ends a wait: waits are sent in whole
	// milliseconds, and the clocks of store and daemon differ in speed and resolution.
	waitTolerance = 15 * time.Millisecond
	// minWatch is how long a watch takes at least that ends at the daemon's offset.
	minWatch = 50 * time.Millisecond
	// firstWatch is how long after a change the first watch ends. The change itself confirms no rows up to its arrival.
	firstWatch = 100 * time.Millisecond
)

// heldWatch is a watch that the store holds until a change.
type heldWatch struct {
	after  catkinrun.Revision
	cancel context.CancelFunc
}

// watchStore watches the store itself. A long watch that another response overtakes is given up, and the store is
// asked for the changes without a wait. Another one ends in time to confirm the rows once in each confirmInterval.
func (r *Relayer) watchStore(ctx context.Context, name string, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	if wait < longWatch {
		wait = max(0, min(wait, confirmInterval-r.Age(name), r.untilWatchEnds()))
		page, asOf, err := r.watchOnce(ctx, name, after, wait)
		if err == nil && len(page.Rows) > 0 {
			r.alignWatches()
		}
		if err == nil || ctx.Err() == nil {
			r.recordWatched(name, page, err, asOf)
		}
		return page, err
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.setWatch(name, &heldWatch{after: after, cancel: cancel})
	page, asOf, err := r.watchOnce(watchCtx, name, after, wait)
	r.setWatch(name, nil)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		page, asOf, err = r.watchOnce(ctx, name, after, 0)
	}
	r.recordWatched(name, page, err, asOf)
	return page, err
}

// alignWatches records the arrival of a change, which all watchers see at about the same time. Their later watches end at
// whole intervals after it, each zone's at an offset of its own.
func (r *Relayer) alignWatches() {
	offset := r.currentRoles().offset
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchEnd = r.clock.Now().Add(firstWatch + offset)
}

// untilWatchEnds returns how long the next short watch may take: until the next of the daemon's ends that is at least
// minWatch away.
func (r *Relayer) untilWatchEnds() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watchEnd.IsZero() {
		return confirmInterval
	}
	passed := r.clock.Now().Add(minWatch).Sub(r.watchEnd) % confirmInterval // of the interval that runs after minWatch
	if passed < 0 {
		passed += confirmInterval
	}
	return minWatch + confirmInterval - passed
}

// watchOnce makes one call to the store, and returns the clock reading up to which it shows all changes. A response
// without rows shows that there was none in the whole wait; one with rows may have been on its way for long.
func (r *Relayer) watchOnce(ctx context.Context, name string, after catkinrun.Revision, wait time.Duration) (page catkinrun.Page, asOf time.Time, err error) {
	asOf = r.clock.Now()
	page, err = r.Store.Watch(ctx, name, after, wait)
	if took := r.clock.Now().Sub(asOf); err == nil && len(page.Rows) == 0 && took >= wait-waitTolerance {
		asOf = asOf.Add(min(wait, took))
	}
	return page, asOf, err
}

func (r *Relayer) setWatch(name string, w *heldWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w == nil {
		delete(r.watches, name)
		return
	}
	r.watches[name] = w
}

// overtakeLocked gives up the long watches of other tables that a response of the store has overtaken.
func (r *Relayer) overtakeLocked(name string, revision catkinrun.Revision) {
	for other, w := range r.watches {
		if other != name && revision > w.after {
			w.cancel()
		}
	}
}
