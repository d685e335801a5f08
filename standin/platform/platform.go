// Package platform is an in-memory stand-in for the platform's store of rows. It offers
// transactions with preconditions, listings, a change feed with a history that can be
// dropped, and rate limits. Faults can be injected: an outage for all callers or for some,
// lost responses and a dropped history.
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

// Limits bound the calls per second that the store accepts; 0 sets no limit.
type Limits struct {
	Reads, Writes int
}

// Faults describes the faults that are injected.
type Faults struct {
	Down    bool     `json:"down"`    // every call fails with status 503
	Refused []string `json:"refused"` // IP addresses of callers whose calls fail with status 503
	Lost    bool     `json:"lost"`    // transactions are processed, but no response is sent
}

// Row is the JSON form of a row.
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

// rowID identifies a row.
type rowID struct{ table, part, key string }

// Platform is the stand-in for the store.
type Platform struct {
	clock     catkinrun.Clock
	limits    Limits
	startedAt time.Time

	mu             sync.Mutex
	rows           map[rowID]Row
	history        []Row  // changes, oldest first
	droppedVersion uint64 // the history lacks the changes up to this version
	version        uint64
	changed        chan struct{} // closed and replaced to wake the change feeds
	faults         Faults
	countedSecond  int64 // Unix second in which reads and writes are counted
	reads          int
	writes         int
	calls          map[string]int // by path
}

// New returns an empty store.
func New(clock catkinrun.Clock, limits Limits) *Platform {
	return &Platform{
		clock: clock, limits: limits, startedAt: clock.Now(),
		rows: make(map[rowID]Row), changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Handler serves the store's calls and PUT /faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /catkinrun/rows-tx", p.withLimits(true, p.serveTransaction))
	mux.HandleFunc("GET /catkinrun/rows-get", p.withLimits(false, p.serveGet))
	mux.HandleFunc("GET /catkinrun/rows-feed", p.withLimits(false, p.serveFeed))
	mux.HandleFunc("PUT /faults", p.serveFaults)
	return mux
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyLocked()
}

// Forget drops the history of changes.
func (p *Platform) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.droppedVersion = nil, p.version
	p.notifyLocked()
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

// withLimits rejects a call during an injected outage or above the rate limit.
func (p *Platform) withLimits(write bool, next func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if status := p.checkLimits(write, r); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		next(w, r)
	}
}

func (p *Platform) checkLimits(write bool, r *http.Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[r.URL.Path]++
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if p.faults.Down || err != nil || slices.Contains(p.faults.Refused, host) {
		return http.StatusServiceUnavailable
	}
	if second := p.clock.Now().Unix(); second != p.countedSecond {
		p.countedSecond, p.reads, p.writes = second, 0, 0
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
	status, result := p.applyLocked(t)
	lost := p.faults.Lost
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writePage(w, status, result)
}

func (p *Platform) applyLocked(t transaction) (int, page) {
	for _, precondition := range t.Precondition {
		if p.rows[rowID{precondition.Table, precondition.Part, precondition.Key}].Version != precondition.Version {
			return http.StatusPreconditionFailed, p.currentLocked(t.Precondition)
		}
	}
	p.version++
	for _, row := range t.Put {
		row.Version = p.version
		p.rows[rowID{row.Table, row.Part, row.Key}] = row
		p.history = append(p.history, row)
	}
	for _, row := range t.Remove {
		row.Version, row.Deleted = p.version, true
		delete(p.rows, rowID{row.Table, row.Part, row.Key})
		p.history = append(p.history, row)
	}
	p.notifyLocked()
	return http.StatusOK, p.pageLocked(nil)
}

func (p *Platform) currentLocked(preconditions []Row) page {
	var rows []Row
	for _, precondition := range preconditions {
		if row, ok := p.rows[rowID{precondition.Table, precondition.Part, precondition.Key}]; ok {
			rows = append(rows, row)
		}
	}
	return p.pageLocked(rows)
}

func (p *Platform) notifyLocked() {
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

// defaultLimit is the default and the maximum number of rows in a listing.
const defaultLimit = 500

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > defaultLimit {
		limit = defaultLimit
	}
	p.mu.Lock()
	var rows []Row
	for id, row := range p.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	result := p.pageLocked(rows)
	p.mu.Unlock()
	if len(rows) > limit {
		result.Rows, result.Truncated = rows[:limit], true
	}
	writePage(w, http.StatusOK, result)
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		status, result, changed := p.changesAfter(q.Get("table"), after)
		if status != http.StatusOK || len(result.Rows) > 0 {
			writePage(w, status, result)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writePage(w, status, result)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) changesAfter(table string, after uint64) (int, page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return http.StatusServiceUnavailable, page{}, nil
	}
	if after < p.droppedVersion {
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

func writePage(w http.ResponseWriter, status int, result page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result) // the caller may have closed the connection
}
