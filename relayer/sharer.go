package relayer

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun"
)

// idleTime is how long a sharer waits while it has nobody to ask.
const idleTime = 500 * time.Millisecond

// Sharer exchanges confirmations and changes of a table with the other watchers, as long as its daemon is one. Watches of
// different zones end one after the other, so that the rows of all are confirmed more often than one watcher
// calls the store. If none of the others has newer rows, it asks the standby.
type Sharer struct {
	relayer *Relayer
	table   string
}

// NewSharer returns a sharer of a table.
func NewSharer(r *Relayer, table string) *Sharer { return &Sharer{relayer: r, table: table} }

// Serve exchanges until ctx ends. It implements suture.Service.
func (s *Sharer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.share(ctx) {
			_ = s.relayer.clock.Wait(ctx, idleTime) // fails only at the end of ctx
		}
	}
	return ctx.Err()
}

// share asks the other watchers in turn and then the standby, and reports whether one of them had newer rows.
func (s *Sharer) share(ctx context.Context) bool {
	r := s.relayer
	view := r.currentRoles()
	if !view.isWatcher {
		return false
	}
	gain := minGain
	for _, peer := range view.peers {
		limit := s.limit()
		if limit <= 0 {
			return false // the table has not been read yet, or the store is away
		}
		askedAt := r.clock.Now()
		if s.ask(ctx, peer, gain, limit) == nil {
			return true
		}
		if r.isLate(s.table) {
			gain = turnGain
			continue
		}
		if r.clock.Now().Sub(askedAt) >= turnGain {
			return true // the daemon's own watch has confirmed the rows meanwhile
		}
	}
	limit := maxAge - r.Age(s.table)
	if view.standby.Host == "" || limit <= 0 || !r.isLate(s.table) {
		return false
	}
	return s.ask(ctx, view.standby, turnGain, limit) == nil
}

// limit returns how long the daemon waits for the confirmation that is due next, 0 if its rows are too old already.
func (s *Sharer) limit() time.Duration {
	r := s.relayer
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(s.table)
	age := r.clock.Now().Sub(t.asOf)
	if age >= maxAge {
		return 0
	}
	return max(t.patience()-age, askTime)
}

// ask sends a request to another daemon. It fails if that has no newer rows within limit.
func (s *Sharer) ask(ctx context.Context, member catkinrun.Member, gain, limit time.Duration) error {
	r := s.relayer
	request := &Request{Table: s.table, After: r.revision(s.table), Age: r.Age(s.table), Gain: gain, Relayed: true}
	response, asOf, err := r.exchange(ctx, member, request, limit)
	if err != nil {
		return err
	}
	if response.Complete {
		return &UnusableError{Host: member.Host} // all rows are read by this daemon itself
	}
	if !r.recordShared(s.table, response, asOf) {
		return &StaleError{Host: member.Host}
	}
	return nil
}

// StaleError reports that a daemon has no newer rows than this one.
type StaleError struct {
	Host string
}

func (e *StaleError) Error() string { return e.Host + " has no newer rows" }

// revision returns the position of a table.
func (r *Relayer) revision(name string) catkinrun.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tableLocked(name).revision
}

// recordShared adds what another watcher has responded, and reports whether it is newer. Rows of another era are not
// taken over: this daemon reads them again.
func (r *Relayer) recordShared(name string, response *Response, asOf time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	if response.Revision.Era() != t.revision.Era() || !t.listed() {
		return false
	}
	if response.Revision <= t.revision && !asOf.After(t.asOf) {
		return false
	}
	page := catkinrun.Page{Rows: response.Rows, Revision: response.Revision}
	r.observeAgeLocked(t, page, asOf)
	t.apply(page)
	t.confirm(asOf)
	return true
}
