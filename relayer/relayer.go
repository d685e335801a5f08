// Package relayer lets a few daemons of each availability zone, the watchers, watch the
// platform's store for the others, so that the calls to the store do not grow with the fleet.
//
// A daemon that is not a watcher asks the watchers of its zone and one of another zone in turn for the
// changes of a table. A watcher that is cut off from the store therefore delays a change by one turn at
// most. If a watcher does not answer, or its own calls to the store fail, the daemon watches
// the store itself for once. A watcher that has listed the table since the requested revision, because the
// history was dropped or the store restored, passes on all rows, so that not every daemon lists it.
package relayer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// Procedure is the path of watch requests on a peer listener.
const Procedure = "/catkinrun.peer/watch"

const (
	// minTurns is the number of watchers that a daemon asks in turn at least, so that one of them may
	// be cut off from the store.
	minTurns = 2
	// hostsPerWatcher is the number of hosts of a zone for each further watcher.
	hostsPerWatcher = 300
	// turnTime is how long a watcher holds a request without changes. A configuration must be
	// in force two seconds after it is written, even if one watcher is cut off from the store.
	turnTime = 800 * time.Millisecond
	// turnTimeout is the time after which a watcher counts as failed.
	turnTimeout = turnTime + 300*time.Millisecond
)

// Request asks a watcher for the changes of a table after a revision, or any daemon to read all of a
// table for the requesting one.
type Request struct {
	Table string             `cbor:"table"`
	After catkinrun.Revision `cbor:"after"`
	List  bool               `cbor:"list,omitempty"`
}

// Response has the changed rows, or all rows.
type Response struct {
	Rows     []catkinrun.Row    `cbor:"rows,omitempty"`
	Revision catkinrun.Revision `cbor:"revision"`
	Usable   bool               `cbor:"usable"`             // the daemon has all that was asked for from the store
	Complete bool               `cbor:"complete,omitempty"` // these are all rows, since the changes after the requested revision are not known
}

// Members lists the hosts.
type Members interface {
	Members() []catkinrun.Member
}

// Ask sends a request to a watcher.
type Ask func(ctx context.Context, watcher catkinrun.Member, request *Request) (*Response, error)

// Relayer is the store as one daemon sees it: directly, or through a watcher. It passes on
// what it has to other daemons.
type Relayer struct {
	catkinrun.Store // the platform's store

	members Members
	ask     Ask
	log     logrus.FieldLogger
	self    catkinrun.Member

	mu      sync.Mutex
	tables  map[string]*table
	watches map[string]*heldWatch // by table, the long ones that the store holds now
	helpers int                   // number of requests to read a table for this daemon
}

// New returns a relayer for the daemon that self describes.
func New(store catkinrun.Store, members Members, ask Ask, log logrus.FieldLogger, self catkinrun.Member) *Relayer {
	return &Relayer{Store: store, members: members, ask: ask, log: log, self: self, tables: make(map[string]*table), watches: make(map[string]*heldWatch)}
}

// List implements catkinrun.Store. If the store does not respond to this daemon, another one reads
// it: the rows are as of a time after the call, as if this daemon had read them itself. A daemon
// that cannot read the members table after its start could not vote for the owners of the rates.
func (r *Relayer) List(ctx context.Context, name string) (catkinrun.Page, error) {
	page, err := r.Store.List(ctx, name)
	direct := err == nil
	if !direct && ctx.Err() == nil {
		page, err = r.listThroughOther(ctx, name, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	t.watched = direct
	if err == nil {
		t.replace(page)
	}
	return page, err
}

// nextHelper returns the other members in turn; ok is false if there are none.
func (r *Relayer) nextHelper() (helper catkinrun.Member, ok bool) {
	var others []catkinrun.Member
	for _, m := range r.members.Members() {
		if m.Host != r.self.Host && !m.Leaving {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return catkinrun.Member{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.helpers++
	return others[r.helpers%len(others)], true
}

// listThroughOther has another daemon read a table. It fails with storeErr, the error of the store, if
// there is none or it cannot do so either.
func (r *Relayer) listThroughOther(ctx context.Context, name string, storeErr error) (catkinrun.Page, error) {
	helper, ok := r.nextHelper()
	if !ok {
		return catkinrun.Page{}, storeErr
	}
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	response, err := r.ask(ctx, helper, &Request{Table: name, List: true})
	if err != nil || !response.Usable {
		return catkinrun.Page{}, storeErr
	}
	r.log.WithFields(logrus.Fields{"table": name, "host": helper.Host, "revision": response.Revision}).
		Info("relayer: the store does not respond, another daemon has read the table")
	return catkinrun.Page{Rows: response.Rows, Revision: response.Revision}, nil
}

// Watch implements catkinrun.Store.
func (r *Relayer) Watch(ctx context.Context, name string, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	if watcher, ok := r.nextWatcher(name); ok {
		page, err := r.askWatcher(ctx, watcher, name, after)
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		r.log.WithError(err).WithFields(logrus.Fields{"watcher": watcher.Host, "table": name}).Debug("relayer: watcher failed, watching the store")
		wait = min(wait, turnTime) // the store may be what has failed
	}
	page, err := r.watchStore(ctx, name, after, wait)
	r.record(name, page, err, true)
	return page, err
}

// nextWatcher returns the watcher whose turn it is; ok is false if this daemon has to watch
// the store itself.
func (r *Relayer) nextWatcher(name string) (watcher catkinrun.Member, ok bool) {
	watchers, isWatcher := watchersFor(r.self, r.members.Members())
	if len(watchers) == 0 || isWatcher {
		return catkinrun.Member{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	t.turns++
	return watchers[t.turns%len(watchers)], true
}

func (r *Relayer) askWatcher(ctx context.Context, watcher catkinrun.Member, name string, after catkinrun.Revision) (catkinrun.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, turnTimeout)
	defer cancel()
	response, err := r.ask(ctx, watcher, &Request{Table: name, After: after})
	if err != nil {
		return catkinrun.Page{}, err
	}
	if !response.Usable {
		return catkinrun.Page{}, &UnusableError{Host: watcher.Host}
	}
	page := catkinrun.Page{Rows: response.Rows, Revision: response.Revision, Complete: response.Complete}
	r.record(name, page, nil, false)
	return page, nil
}

// UnusableError reports that a daemon does not watch the store at the moment.
type UnusableError struct {
	Host string
}

func (e *UnusableError) Error() string { return e.Host + " does not watch the store" }

// record adds the result of a watch, which is direct if it came from the store itself.
func (r *Relayer) record(name string, page catkinrun.Page, err error, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	t.watched = direct && err == nil
	if t.watched {
		r.overtakeLocked(name, page.Revision)
	}
	switch {
	case err == nil && page.Complete:
		t.replace(page)
	case err == nil:
		t.add(page)
	}
	if !t.watched {
		t.notify() // daemons that wait here have to turn to another watcher
	}
}

func (r *Relayer) tableLocked(name string) *table {
	t, ok := r.tables[name]
	if !ok {
		t = &table{rows: make(map[string]catkinrun.Row), changed: make(chan struct{})}
		r.tables[name] = t
	}
	return t
}

// Handle responds to the request of another daemon, at the latest after turnTime.
func (r *Relayer) Handle(ctx context.Context, request *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, turnTime)
	defer cancel()
	if request.List {
		return r.listFor(ctx, request.Table), nil
	}
	for {
		response, changed := r.respond(request)
		if !response.Usable || response.Complete || len(response.Rows) > 0 {
			return response, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			response, _ = r.respond(request)
			return response, nil
		}
	}
}

// listFor reads a table from the store for another daemon, never through a third one.
func (r *Relayer) listFor(ctx context.Context, name string) *Response {
	page, err := r.Store.List(ctx, name)
	if err != nil {
		return &Response{}
	}
	return &Response{Rows: page.Rows, Revision: page.Revision, Usable: true}
}

// respond returns the present response to a request and a channel that is closed when it
// changes.
func (r *Relayer) respond(request *Request) (response *Response, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(request.Table)
	response = &Response{Revision: t.revision, Usable: t.watched, Complete: t.watched && request.After < t.listedAt}
	if !response.Usable {
		return response, t.changed
	}
	for _, row := range t.rows {
		if response.Complete && !row.Deleted || !response.Complete && row.Revision > request.After {
			response.Rows = append(response.Rows, row)
		}
	}
	slices.SortFunc(response.Rows, func(a, b catkinrun.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return response, t.changed
}
