// Package platform is an in-memory stand-in for the platform's store of rows. It has
// transactions with preconditions, listings, a change feed with a history that can be
// dropped, and rate limits. Faults can be injected: an outage for all callers or for some,
// lost responses, a dropped history, and a restore from a backup.
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
	era       uint64 // sent in a header
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

// Store is the stand-in for the platform's store.
type Store struct {
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
	era            uint64         // number of restores
	backup         *Backup        // for PUT /restore
}

// New returns an empty store.
func New(clock catkinrun.Clock, limits Limits) *Store {
	return &Store{
		clock: clock, limits: limits, startedAt: clock.Now(),
		rows: make(map[rowID]Row), changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Handler serves the store's calls, PUT /faults, PUT /backup and PUT /restore.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /catkinrun/rows-tx", s.withLimits(true, s.serveTransaction))
	mux.HandleFunc("GET /catkinrun/rows-get", s.withLimits(false, s.serveGet))
	mux.HandleFunc("GET /catkinrun/rows-feed", s.withLimits(false, s.serveFeed))
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("PUT /backup", s.serveBackup)
	mux.HandleFunc("PUT /restore", s.serveRestore)
	return mux
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyLocked()
}

// DropHistory drops the history of changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
	s.notifyLocked()
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// withLimits rejects a call during an injected outage or above the rate limit.
func (s *Store) withLimits(write bool, next func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if status := s.checkLimits(write, r); status != http.StatusOK {
			s.setEra(w)
			w.WriteHeader(status)
			return
		}
		next(w, r)
	}
}

// setEra sets the header with the present era.
func (s *Store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

func (s *Store) checkLimits(write bool, r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if s.faults.Down || err != nil || slices.Contains(s.faults.Refused, host) {
		return http.StatusServiceUnavailable
	}
	if second := s.clock.Now().Unix(); second != s.countedSecond {
		s.countedSecond, s.reads, s.writes = second, 0, 0
	}
	count, limit := &s.reads, s.limits.Reads
	if write {
		count, limit = &s.writes, s.limits.Writes
	}
	*count++
	if limit > 0 && *count > limit {
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, result := s.applyLocked(t)
	lost := s.faults.Lost
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writePage(w, status, result)
}

func (s *Store) applyLocked(t transaction) (int, page) {
	for _, precondition := range t.Precondition {
		if s.rows[rowID{precondition.Table, precondition.Part, precondition.Key}].Version != precondition.Version {
			return http.StatusPreconditionFailed, s.currentLocked(t.Precondition)
		}
	}
	s.version++
	for _, row := range t.Put {
		row.Version = s.version
		s.rows[rowID{row.Table, row.Part, row.Key}] = row
		s.history = append(s.history, row)
	}
	for _, row := range t.Remove {
		row.Version, row.Deleted = s.version, true
		delete(s.rows, rowID{row.Table, row.Part, row.Key})
		s.history = append(s.history, row)
	}
	s.notifyLocked()
	return http.StatusOK, s.pageLocked(nil)
}

func (s *Store) currentLocked(preconditions []Row) page {
	var rows []Row
	for _, precondition := range preconditions {
		if row, ok := s.rows[rowID{precondition.Table, precondition.Part, precondition.Key}]; ok {
			rows = append(rows, row)
		}
	}
	return s.pageLocked(rows)
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) pageLocked(rows []Row) page {
	if rows == nil {
		rows = []Row{}
	}
	now := s.clock.Now().Sub(s.startedAt)
	return page{Rows: rows, Version: s.version, Now: strconv.FormatInt(now.Milliseconds(), 10) + "ms", era: s.era}
}

// maxPageRows is the maximum number of rows in a listing, and the default.
const maxPageRows = 500

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var rows []Row
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	result := s.pageLocked(rows)
	s.mu.Unlock()
	if len(rows) > limit {
		result.Rows, result.Truncated = rows[:limit], true
	}
	writePage(w, http.StatusOK, result)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
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
		status, result, changed := s.changesAfter(q.Get("table"), after)
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

func (s *Store) changesAfter(table string, after uint64) (int, page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return http.StatusServiceUnavailable, s.pageLocked(nil), nil
	}
	if after < s.droppedVersion || after > s.version {
		return http.StatusGone, s.pageLocked(nil), nil
	}
	var rows []Row
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return http.StatusOK, s.pageLocked(rows), s.changed
}

func writePage(w http.ResponseWriter, status int, result page) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatUint(result.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result) // the caller may have closed the connection
}
