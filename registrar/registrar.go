// Package registrar keeps the state of the backend server beside this daemon, as the
// server announces it, and publishes it with the daemon's own in the members' table.
package registrar

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/locator"
)

const (
	// acknowledgeWait is the longest time for which an announcement waits until it is
	// published; a server waits one second for the acknowledgement.
	acknowledgeWait = 300 * time.Millisecond
	// retryWait is the wait after a write that failed; entries that lapsed while the
	// store was away must be back within two seconds.
	retryWait = 250 * time.Millisecond
	// lookEvery is the time between two looks whether the row is as it should be.
	lookEvery = 500 * time.Millisecond
	// remembered is the number of ended servers whose late announcements are told apart.
	remembered = 64
)

// Locator knows the published rows.
type Locator interface {
	Row(host string) catkinrun.Row
	Apply(page catkinrun.Page, whole bool)
}

// Registrar keeps one host's entry. It is safe for concurrent use.
type Registrar struct {
	store   catkinrun.Store
	locator Locator
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	linger  time.Duration
	changed chan struct{}

	mu        sync.Mutex
	self      catkinrun.Member
	heard     bool // the server has announced itself to this incarnation of the daemon
	down      bool // the server refused a connection since its last announcement
	coldUntil time.Time
	openUntil time.Time // until when a server that leaves still takes work
	ended     []ending
	waiters   []chan struct{}
}

// ending is a start of a server that is over.
type ending struct {
	id   string
	born int64
}

// New returns a registrar for the daemon that self describes. A server that has said that
// it leaves still takes work for linger, for callers that know no other one.
func New(store catkinrun.Store, locator Locator, clock catkinrun.Clock, log logrus.FieldLogger, self catkinrun.Member, linger time.Duration) *Registrar {
	return &Registrar{
		store: store, locator: locator, clock: clock, log: log, self: self, linger: linger,
		changed: make(chan struct{}, 1),
	}
}

// Server returns the server beside this daemon. open is false if it takes no new work.
func (r *Registrar) Server() (server catkinrun.Server, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Server == nil {
		return catkinrun.Server{}, false
	}
	server = *r.self.Server
	server.Cold = max(0, r.coldUntil.Sub(r.clock.Now()))
	return server, !r.down && (!server.Draining || r.clock.Now().Before(r.openUntil))
}

// Adopt takes the server that an earlier incarnation of this daemon published, until
// the server announces itself. The server checks its identity on each request.
func (r *Registrar) Adopt(row catkinrun.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var before catkinrun.Member
	if r.heard || r.self.Server != nil || row.Revision == 0 || json.Unmarshal(row.Value, &before) != nil || before.Server == nil {
		return
	}
	r.self = r.self.WithServer(before.Server)
	r.log.WithFields(logrus.Fields{"server": before.Server.ID, "service": before.Server.Service, "draining": before.Server.Draining}).
		Info("registrar: server known from the store")
}

// Announce implements platform.Registrar. It returns once the announcement counts
// here, and a change is published or the store is slow.
func (r *Registrar) Announce(s catkinrun.Server) {
	if published := r.Note(s); published != nil {
		await(published)
	}
}

// await waits for a write, but not longer than the server waits for its acknowledgement.
func await(published chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), acknowledgeWait)
	defer cancel()
	select {
	case <-published:
	case <-ctx.Done():
	}
}

// Note takes an announcement. The returned channel is closed once it is published; it
// is nil if nothing is to be published.
func (r *Registrar) Note(s catkinrun.Server) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outdatedLocked(s) {
		r.log.WithFields(logrus.Fields{"server": s.ID, "born": s.Born, "sequence": s.Sequence}).Info("registrar: late announcement ignored")
		return nil
	}
	before := r.self.Server
	if before != nil && before.ID != s.ID {
		r.endLocked(*before)
	}
	r.coldUntil = r.clock.Now().Add(s.Cold)
	if before != nil && before.ID == s.ID && before.Born == s.Born && before.Draining {
		s.Draining = true // a server that leaves does not come back under the same start
	}
	r.lingerLocked(s, before)
	r.heard, r.down = true, false
	r.self = r.self.WithServer(&s)
	if before != nil && before.ID == s.ID && before.Born == s.Born && before.Service == s.Service &&
		before.Slots == s.Slots && before.Draining == s.Draining {
		return nil
	}
	r.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "slots": s.Slots, "draining": s.Draining, "born": s.Born, "cold": s.Cold.String(),
	}).Info("registrar: server announced")
	return r.publishLocked()
}

// lingerLocked notes until when a server that begins to leave takes work. What it said to
// an earlier incarnation of this daemon is not known, so that one which was not heard here
// before takes none.
func (r *Registrar) lingerLocked(s catkinrun.Server, before *catkinrun.Server) {
	if r.heard && s.Draining && before != nil && before.ID == s.ID && before.Born == s.Born && !before.Draining {
		r.openUntil = r.clock.Now().Add(r.linger)
	}
}

// outdatedLocked reports whether an announcement is older than what is known.
func (r *Registrar) outdatedLocked(s catkinrun.Server) bool {
	for _, e := range r.ended {
		if e.id == s.ID && s.Born <= e.born {
			return true
		}
	}
	current := r.self.Server
	if current == nil || !r.heard {
		return current != nil && s.Born < current.Born
	}
	if s.Born != current.Born {
		return s.Born < current.Born
	}
	return s.ID == current.ID && s.Sequence <= current.Sequence
}

// Deregister implements platform.Registrar: the server takes no new work from now on.
func (r *Registrar) Deregister(id string) {
	if published := r.NoteEnd(id); published != nil {
		await(published)
	}
}

// NoteEnd is Note for a server that has said that it ends. One that has not said before
// that it leaves goes on for a while.
func (r *Registrar) NoteEnd(id string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.self.Server
	if current == nil || current.ID != id {
		r.ended = append(r.ended, ending{id: id})
		return nil
	}
	r.endLocked(*current)
	last := *current
	last.Draining = true
	r.lingerLocked(last, current)
	if current.Draining {
		r.self = r.self.WithServer(nil)
	} else {
		r.self = r.self.WithServer(&last)
	}
	r.log.WithFields(logrus.Fields{"server": id, "service": current.Service, "draining-before": current.Draining}).Info("registrar: server has left")
	return r.publishLocked()
}

func (r *Registrar) endLocked(s catkinrun.Server) {
	r.ended = append(r.ended, ending{id: s.ID, born: s.Born})
	if len(r.ended) > remembered {
		r.ended = r.ended[1:]
	}
}

// Refused notes that the server took no connection, or that another one has its
// address; it gets no work until it announces itself again.
func (r *Registrar) Refused(server, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.self.Server == nil || r.self.Server.ID != server {
		return
	}
	r.down = true
	r.log.WithFields(logrus.Fields{"server": server, "cause": cause}).Warn("registrar: server is not there")
}

// Leave publishes that this daemon is about to stop.
func (r *Registrar) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = r.self.WithLeaving()
	r.publishLocked()
}

// publishLocked asks for a write; the channel is closed once it is done.
func (r *Registrar) publishLocked() chan struct{} {
	done := make(chan struct{})
	r.waiters = append(r.waiters, done)
	select {
	case r.changed <- struct{}{}:
	default:
	}
	return done
}

// Serve keeps the row as it should be until ctx ends. It implements suture.Service.
func (r *Registrar) Serve(ctx context.Context) error {
	for {
		wait := lookEvery
		if err := r.Publish(ctx); err != nil {
			r.log.WithError(err).Warn("registrar: entry is not published")
			wait = retryWait
		}
		waiting, cancel := context.WithTimeout(ctx, wait)
		select {
		case <-r.changed:
		case <-waiting.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Publish writes the row if it is not as it should be. The write has a condition, so
// that one whose answer was lost and that takes effect late never undoes a later one.
func (r *Registrar) Publish(ctx context.Context) error {
	value, waiters, err := r.value()
	if err != nil {
		return err
	}
	row := r.locator.Row(r.self.Host)
	if row.Revision != 0 && string(row.Value) == value {
		release(waiters)
		return nil
	}
	key := locator.Key(r.self.Host)
	page, err := r.store.Commit(ctx, catkinrun.Transaction{
		Checks: []catkinrun.Check{{Table: locator.Table, Key: key, Revision: row.Revision}},
		Writes: []catkinrun.Write{{Table: locator.Table, Key: key, Value: []byte(value)}},
	})
	var changed *catkinrun.CheckError
	if errors.As(err, &changed) && changed.Key != "" {
		r.restore(waiters)
		return r.adoptRow(changed.Current, key)
	}
	if err != nil {
		r.restore(waiters)
		return err
	}
	r.locator.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: key, Value: []byte(value), Revision: page.Revision}}}, false)
	release(waiters)
	return nil
}

// adoptRow takes the row that the store has, so that the next write replaces it.
func (r *Registrar) adoptRow(current catkinrun.Row, key string) error {
	current.Key = key
	current.Deleted = current.Revision == 0
	r.locator.Apply(catkinrun.Page{Rows: []catkinrun.Row{current}}, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishLocked()
	return nil
}

func (r *Registrar) value() (string, []chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiters := r.waiters
	r.waiters = nil
	raw, err := json.Marshal(r.self)
	return string(raw), waiters, err
}

func (r *Registrar) restore(waiters []chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters = append(r.waiters, waiters...)
}

func release(waiters []chan struct{}) {
	for _, w := range waiters {
		close(w)
	}
}
