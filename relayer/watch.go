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

// heldWatch is a watch that the store holds until a change.
type heldWatch struct {
	after  catkinrun.Revision
	cancel context.CancelFunc
}

// watchStore watches the store itself. A long watch that another response overtakes is given up, and the store is
// asked for the changes without a wait.
func (r *Relayer) watchStore(ctx context.Context, name string, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	if wait < longWatch {
		return r.Store.Watch(ctx, name, after, wait)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.setWatch(name, &heldWatch{after: after, cancel: cancel})
	page, err := r.Store.Watch(watchCtx, name, after, wait)
	r.setWatch(name, nil)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return r.Store.Watch(ctx, name, after, 0)
	}
	return page, err
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
