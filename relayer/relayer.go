// Package relayer lets a few daemons of each availability zone, the watchers, watch the
// platform's store for the others, so that the calls to the store do not grow with the fleet.
//
// A daemon that is not a watcher asks a watcher of its zone for the changes of a table. A response states as of when the
// rows are complete, since a watcher hears nothing while its own watch waits, and notices late that it is cut off from
// the store. If the rows of a daemon become older than they usually do, or its watcher does not respond, it turns to
// another watcher, which may be of the next zone. If that has no newer rows either, one daemon of the fleet, the standby,
// watches the store for all. A daemon that gets nothing from the standby watches the store itself once. A watcher that
// has listed the table since the requested revision, because the history was dropped or the store restored, passes on
// all rows, so that not every daemon lists it.
package relayer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/follower"
)

// Procedure is the path of watch requests on a peer listener.
const Procedure = "/catkinrun.peer/watch"

const (
	// minWatchers is the number of watchers that a daemon knows at least, so that one of them may fail.
	minWatchers = 2
	// hostsPerWatcher is the number of hosts of a zone for each further watcher.
	hostsPerWatcher = 300
	// preferTime is how long a daemon that has turned to another watcher stays with it.
	preferTime = 10 * time.Second
)

// A configuration must be in force two seconds after it is written, even if all watchers are cut off from the store at
// that moment. With three zones some watcher has a confirmation in each third of a second, and the standby reads the store
// 0.8 s after the last one. If the standby is cut off too, all others read the store after maxAge, which leaves 0.4 s.
const (
	// confirmInterval is the time after which a watcher has a response of the store that confirms its rows.
	confirmInterval = follower.PromptWait
	// lateMargin is how much older than usual the rows of a daemon become before it turns to another watcher. The store may
	// be slow, and watcher and daemon busy.
	lateMargin = 400 * time.Millisecond
	// maxSilence is the age of a daemon's rows from which it does not wait for its watcher any longer, however late
	// confirmations usually are.
	maxSilence = confirmInterval + lateMargin
	// askTime is how long the daemon then waits for another watcher, which responds at once if it has newer rows.
	askTime = 50 * time.Millisecond
	// maxAge is the age of its rows at which a daemon watches the store itself, and the age of its own rows from which it
	// refuses to pass them on.
	maxAge = 1600 * time.Millisecond
	// startAskTime is how long a daemon whose rows are older, after its start or an outage, waits for a watcher.
	startAskTime = 200 * time.Millisecond
	// holdTime is how long a daemon holds a request at most: a little longer than the time between two confirmations.
	holdTime = confirmInterval + 50*time.Millisecond
	// listTimeout is the time after which another daemon counts as unable to read a table.
	listTimeout = 1100 * time.Millisecond
	// minGain is how much newer the rows of a daemon must be for an early response without changes to watchers and the
	// standby. Others wait for followGain, which saves exchanges, except where they turn to another daemon.
	minGain    = 200 * time.Millisecond
	followGain = 600 * time.Millisecond
	turnGain   = 50 * time.Millisecond
)

// Request asks a watcher for the changes of a table after a revision, or any daemon to read all of a
// table for the requesting one.
type Request struct {
	Table string             `cbor:"table"`
	After catkinrun.Revision `cbor:"after"`
	List  bool               `cbor:"list,omitempty"`
	Age   time.Duration      `cbor:"age,omitempty"` // of the requesting daemon's rows
	// Gain is how much newer the rows must be for an early response without changes, minGain if it is zero.
	Gain time.Duration `cbor:"gain,omitempty"`
	// Relayed reports that rows which the daemon has through a watcher will do.
	Relayed bool `cbor:"relayed,omitempty"`
}

// Response has the changed rows, or all rows.
type Response struct {
	Rows     []catkinrun.Row    `cbor:"rows,omitempty"`
	Revision catkinrun.Revision `cbor:"revision"`
	Usable   bool               `cbor:"usable"`             // the daemon has all that was asked for from the store
	Complete bool               `cbor:"complete,omitempty"` // these are all rows, since the changes after the requested revision are not known
	// Known is the time for which all changes are known, counted from the arrival of the request; negative if it ended
	// before. No clock reading leaves its host.
	Known time.Duration `cbor:"known,omitempty"`
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
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	self    catkinrun.Member

	mu      sync.Mutex
	newest  confirmation
	turn    int       // of the watcher that is asked, in the order of this daemon
	turnAt  time.Time // when it became this one
	tables  map[string]*table
	watches map[string]*heldWatch // by table, the long ones that the store holds now
	helpers int                   // number of requests to read a table for this daemon
	roles   roles
	// watchEnd is the end of a short watch, and others end whole intervals later; zero before the first change.
	watchEnd time.Time
}

// confirmation is what a response of the store shows: it had this revision at asOf or later, so that a table whose
// position is not below it was complete then.
type confirmation struct {
	revision catkinrun.Revision
	asOf     time.Time
}

// New returns a relayer for the daemon that self describes. The clock must count the time for which the host is
// suspended, during which the store may change.
func New(store catkinrun.Store, members Members, ask Ask, clock catkinrun.Clock, log logrus.FieldLogger, self catkinrun.Member) *Relayer {
	return &Relayer{Store: store, members: members, ask: ask, clock: clock, log: log, self: self, tables: make(map[string]*table), watches: make(map[string]*heldWatch)}
}

// Age returns the age of the rows of a table: the time for which changes may be unknown to this daemon.
func (r *Relayer) Age(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Sub(r.tableLocked(name).asOf)
}

// List implements catkinrun.Store. If the store does not respond to this daemon, another one reads
// it: the rows are as of a time after the call, as if this daemon had read them itself. A daemon
// that cannot read the members table after its start could not vote for the owners of the rates.
func (r *Relayer) List(ctx context.Context, name string) (catkinrun.Page, error) {
	sentAt := r.clock.Now()
	page, err := r.Store.List(ctx, name)
	direct := err == nil
	if !direct && ctx.Err() == nil {
		page, err = r.listThroughOther(ctx, name, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	t.watched, t.failed = direct, err != nil
	if err == nil {
		t.replace(page)
		t.confirm(sentAt)
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
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	response, err := r.ask(ctx, helper, &Request{Table: name, List: true})
	if err != nil || !response.Usable {
		return catkinrun.Page{}, storeErr
	}
	r.log.WithFields(logrus.Fields{"table": name, "host": helper.Host, "revision": response.Revision}).
		Info("relayer: the store does not respond, another daemon has read the table")
	return catkinrun.Page{Rows: response.Rows, Revision: response.Revision}, nil
}

// recordWatched adds the result of a watch of the store, which shows all changes up to asOf.
func (r *Relayer) recordWatched(name string, page catkinrun.Page, err error, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	t.watched, t.failed = err == nil, err != nil
	if err != nil {
		t.notify() // daemons that wait here have to turn to another watcher
		return
	}
	r.overtakeLocked(name, page.Revision)
	t.apply(page)
	t.confirm(asOf)
	if asOf.After(r.newest.asOf) {
		r.newest = confirmation{revision: page.Revision, asOf: asOf}
	}
	for _, other := range r.tables { // also one that has only now caught up with a response that came before this one
		if r.newest.revision <= other.revision {
			other.confirm(r.newest.asOf)
		}
	}
}

func (r *Relayer) tableLocked(name string) *table {
	t, ok := r.tables[name]
	if !ok {
		t = &table{rows: make(map[string]catkinrun.Row), changed: make(chan struct{}), usualAge: maxSilence}
		r.tables[name] = t
	}
	return t
}

// Handle responds to the request of another daemon as soon as there is news for it, at the latest after holdTime.
func (r *Relayer) Handle(ctx context.Context, request *Request) (*Response, error) {
	receivedAt := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	if request.List {
		return r.listFor(ctx, request.Table), nil
	}
	gain := cmp.Or(request.Gain, minGain)
	for {
		response, changed := r.respond(request, receivedAt)
		if !response.Usable || response.Complete || len(response.Rows) > 0 || response.Known >= gain-request.Age {
			return response, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			response, _ = r.respond(request, receivedAt)
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

// respond returns the present response to a request that arrived at receivedAt, and a channel that is closed when it
// changes.
func (r *Relayer) respond(request *Request, receivedAt time.Time) (response *Response, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(request.Table)
	usable := t.watched && r.clock.Now().Sub(t.asOf) < maxAge || request.Relayed && !t.failed && t.listed()
	response = &Response{Revision: t.revision, Usable: usable, Complete: usable && request.After < t.listedAt, Known: t.asOf.Sub(receivedAt)}
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
