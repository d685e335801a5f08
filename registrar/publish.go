package registrar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/locator"
)

const (
	// publishTimeout bounds how long the acknowledgement of an announcement waits for its
	// publication; a server waits one second for the acknowledgement.
	publishTimeout = 300 * time.Millisecond
	// retryInterval is the wait after a failed write. Rows that expired during a store outage
	// must be restored within two seconds.
	retryInterval = 250 * time.Millisecond
	// checkInterval is the time between two checks whether the published row is up to date.
	checkInterval = 500 * time.Millisecond
)

// await waits until the row is published, for at most publishTimeout.
func await(published chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	select {
	case <-published:
	case <-ctx.Done():
	}
}

// publishLocked requests a write of the row. The returned channel is closed once the row is
// published.
func (r *Registrar) publishLocked() chan struct{} {
	done := make(chan struct{})
	r.waiters = append(r.waiters, done)
	select {
	case r.changed <- struct{}{}:
	default:
	}
	return done
}

// Serve keeps the published row up to date until ctx ends. It implements suture.Service.
func (r *Registrar) Serve(ctx context.Context) error {
	for {
		wait := checkInterval
		if err := r.Publish(ctx); err != nil {
			r.log.WithError(err).Warn("registrar: cannot publish the member row")
			wait = retryInterval
		}
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		select {
		case <-r.changed:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Publish writes the row if it is out of date. The write is conditional on the row's
// revision: a write whose response was lost may take effect late, and must not overwrite a
// later one.
func (r *Registrar) Publish(ctx context.Context) error {
	row := r.locator.Row(r.host)
	value, waiters, err := r.takePending(row)
	if err != nil {
		return err
	}
	if row.Revision != 0 && string(row.Value) == value {
		releaseWaiters(waiters)
		return nil
	}
	key := locator.Key(r.host)
	page, err := r.store.Commit(ctx, catkinrun.Transaction{
		Preconditions: []catkinrun.Precondition{{Table: locator.Table, Key: key, Revision: row.Revision}},
		Writes:        []catkinrun.Write{{Table: locator.Table, Key: key, Value: []byte(value)}},
	})
	var conflict *catkinrun.PreconditionError
	if errors.As(err, &conflict) && conflict.Key != "" {
		r.restoreWaiters(waiters)
		return r.recordConflict(conflict.Current, key)
	}
	if err != nil {
		r.restoreWaiters(waiters)
		return err
	}
	r.locator.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: key, Value: []byte(value), Revision: page.Revision}}}, false)
	releaseWaiters(waiters)
	return nil
}

// recordConflict records the row that the store has and requests a write that replaces it.
func (r *Registrar) recordConflict(current catkinrun.Row, key string) error {
	current.Key = key
	current.Deleted = current.Revision == 0
	r.locator.Apply(catkinrun.Page{Rows: []catkinrun.Row{current}}, false)
	r.Restore(current)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishLocked()
	return nil
}

// takePending returns the encoded row and takes the waiters to release once it is published. The era alone
// is no reason to write a row that the store has.
func (r *Registrar) takePending(stored catkinrun.Row) (string, []chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiters := r.waiters
	r.waiters = nil
	raw, err := json.Marshal(r.self)
	if era := r.locator.Revision().Era(); err == nil && era != r.self.Era && string(raw) != string(stored.Value) {
		r.self = r.self.WithEra(era)
		raw, err = json.Marshal(r.self)
	}
	return string(raw), waiters, err
}

func (r *Registrar) restoreWaiters(waiters []chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters = append(r.waiters, waiters...)
}

func releaseWaiters(waiters []chan struct{}) {
	for _, w := range waiters {
		close(w)
	}
}
