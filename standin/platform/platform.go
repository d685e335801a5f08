// Package platform stands in for the platform's store of rows, in memory: transactions
// with preconditions, listings, a feed of changes with a bounded history, and rates.
// Faults can be set: an outage for all callers or for some, lost answers, a forgotten
// history.
package platform

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

// Limits are the calls that the store takes each second.
type Limits struct {
	Reads, Writes int
}

// Faults are what goes wrong at the store.
type Faults struct {
	Down    bool     `json:"down"`    // every call gets 503
	Refused []string `json:"refused"` // callers' IP numbers whose calls get 503
	Lost    bool     `json:"lost"`    // writes are done and not answered
}

// Row is a row on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type transaction struct {
	Precondition []Row `json:"precondition"`
	Put          []Row `json:"put"`
	Remove       []Row `json:"remove"`
}

type page struct {
	Rows      []Row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"row_version"`
	Now       string `json:"now"`
}

// name identifies a row.
type name struct{ table, part, key string }

// Platform is the store.
type Platform struct {
	clock     catkinrun.Clock
	limits    Limits
	startedAt time.Time

	mu      sync.Mutex
	rows    map[name]Row
	history []Row  // changes, oldest first
	gone    uint64 // changes up to this version are forgotten
	version uint64
	changed chan struct{} // closed at each change
	faults  Faults
	second  int64 // of the counts
	reads   int
	writes  int
	calls   map[string]int // by path
}

// New returns an empty store.
func New(clock catkinrun.Clock, limits Limits) *Platform {
	return &Platform{
		clock: clock, limits: limits, startedAt: clock.Now(),
		rows: make(map[name]Row), changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Handler serves the store's calls, and PUT /faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /catkinrun/rows-tx", p.guard(true, p.serveTransaction))
	mux.HandleFunc("GET /catkinrun/rows-get", p.guard(false, p.serveGet))
	mux.HandleFunc("GET /catkinrun/rows-feed", p.guard(false, p.serveFeed))
	mux.HandleFunc("PUT /faults", p.serveFaults)
	return mux
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeLocked()
}

// Forget drops the history of changes.
func (p *Platform) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.gone = nil, p.version
	p.wakeLocked()
}

// Calls returns the number of calls by path.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int, len(p.calls))
	for path, n := range p.calls {
		calls[path] = n
	}
	return calls
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// guard applies faults and rates.
func (p *Platform) guard(write bool, next func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if status := p.admit(write, r); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		next(w, r)
	}
}

func (p *Platform) admit(write bool, r *http.Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[r.URL.Path]++
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if p.faults.Down || err != nil || slices.Contains(p.faults.Refused, host) {
		return http.StatusServiceUnavailable
	}
	if second := p.clock.Now().Unix(); second != p.second {
		p.second, p.reads, p.writes = second, 0, 0
	}
	count, limit := &p.reads, p.limits.Reads
	if write {
		count, limit = &p.writes, p.limits.Writes
	}
	*count++
	if limit > 0 && *count > limit {
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	status, answer := p.applyLocked(t)
	lost := p.faults.Lost
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	write(w, status, answer)
}

func (p *Platform) applyLocked(t transaction) (int, page) {
	for _, check := range t.Precondition {
		if p.rows[name{check.Table, check.Part, check.Key}].Version != check.Version {
			return http.StatusPreconditionFailed, p.currentLocked(t.Precondition)
		}
	}
	p.version++
	for _, row := range t.Put {
		row.Version = p.version
		p.rows[name{row.Table, row.Part, row.Key}] = row
		p.history = append(p.history, row)
	}
	for _, row := range t.Remove {
		row.Version, row.Deleted = p.version, true
		delete(p.rows, name{row.Table, row.Part, row.Key})
		p.history = append(p.history, row)
	}
	p.wakeLocked()
	return http.StatusOK, p.pageLocked(nil)
}

func (p *Platform) currentLocked(checks []Row) page {
	var rows []Row
	for _, check := range checks {
		if row, ok := p.rows[name{check.Table, check.Part, check.Key}]; ok {
			rows = append(rows, row)
		}
	}
	return p.pageLocked(rows)
}

func (p *Platform) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) pageLocked(rows []Row) page {
	if rows == nil {
		rows = []Row{}
	}
	now := p.clock.Now().Sub(p.startedAt)
	return page{Rows: rows, Version: p.version, Now: strconv.FormatInt(now.Milliseconds(), 10) + "ms"}
}

// defaultLimit is the most rows of one listing.
const defaultLimit = 500

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > defaultLimit {
		limit = defaultLimit
	}
	p.mu.Lock()
	var rows []Row
	for n, row := range p.rows {
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	answer := p.pageLocked(rows)
	p.mu.Unlock()
	if len(rows) > limit {
		answer.Rows, answer.Truncated = rows[:limit], true
	}
	write(w, http.StatusOK, answer)
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		status, answer, changed := p.changes(q.Get("table"), after)
		if status != http.StatusOK || len(answer.Rows) > 0 {
			write(w, status, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			write(w, status, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) changes(table string, after uint64) (int, page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return http.StatusServiceUnavailable, page{}, nil
	}
	if after < p.gone {
		return http.StatusGone, page{}, nil
	}
	var rows []Row
	for _, row := range p.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return http.StatusOK, p.pageLocked(rows), p.changed
}

func write(w http.ResponseWriter, status int, answer page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may be gone
}
