// Package platform stands in for the platform's transactional table and object
// store in tests and demonstrations. It speaks the protocol of package storer and
// can be told to fail.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
)

// Faults say how the stand-in fails. They are set over HTTP at /faults.
type Faults struct {
	Outage     bool `json:"outage"`      // answers nothing but errors, and writes nothing
	DelayMS    int  `json:"delay-ms"`    // before each answer
	LoseWrites int  `json:"lose-writes"` // so many commits take effect without an answer
}

// Counts are the operations served, and those refused above the limits.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Refused int `json:"refused"`
}

// Limits are the operations per second that the platform serves.
type Limits struct {
	Reads  int
	Writes int
}

// Platform is an in-memory table and object store.
type Platform struct {
	clock  catkinrun.Clock
	limits Limits

	mu       sync.Mutex
	rows     map[string]catkinrun.Row
	revision catkinrun.Revision
	objects  map[string][]byte
	faults   Faults
	counts   Counts
	second   time.Time // start of the second that window counts
	window   Counts
}

// New returns an empty platform.
func New(clock catkinrun.Clock, limits Limits) *Platform {
	return &Platform{
		clock: clock, limits: limits,
		rows: make(map[string]catkinrun.Row), objects: make(map[string][]byte),
	}
}

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", p.guard(false, p.get))
	mux.HandleFunc("GET /table/scan", p.guard(false, p.scan))
	mux.HandleFunc("POST /table/commit", p.guard(true, p.commit))
	mux.HandleFunc("GET /objects/{name}", p.guard(false, p.getObject))
	mux.HandleFunc("PUT /objects/{name}", p.guard(true, p.putObject))
	mux.HandleFunc("PUT /faults", p.setFaults)
	mux.HandleFunc("GET /counts", p.showCounts)
	return mux
}

// guard applies faults and limits around an operation.
func (p *Platform) guard(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, ok := p.admit(write)
		if faults.DelayMS > 0 {
			_ = p.clock.Wait(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
		}
		switch {
		case faults.Outage:
			w.WriteHeader(http.StatusServiceUnavailable)
		case !ok:
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			next(w, r)
		}
	}
}

func (p *Platform) admit(write bool) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Sub(p.second) >= time.Second {
		p.second = now
		p.window = Counts{}
	}
	ok := false
	if write {
		p.window.Writes++
		p.counts.Writes++
		ok = p.window.Writes <= p.limits.Writes
	} else {
		p.window.Reads++
		p.counts.Reads++
		ok = p.window.Reads <= p.limits.Reads
	}
	if !ok {
		p.counts.Refused++
	}
	return p.faults, ok
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), r.URL.Query().Get("key"))
	writeResult(w, row, err)
}

// Get implements catkinrun.Table.
func (p *Platform) Get(_ context.Context, key string) (catkinrun.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Outage {
		return catkinrun.Row{}, outage("get")
	}
	row := p.rows[key]
	row.Key = key
	return row, nil
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows, err := p.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeResult(w, rows, err)
}

// Scan implements catkinrun.Table.
func (p *Platform) Scan(_ context.Context, prefix, after string, limit int) ([]catkinrun.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Outage {
		return nil, outage("scan")
	}
	rows := make([]catkinrun.Row, 0)
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b catkinrun.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var t catkinrun.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var failed *catkinrun.CheckError
	err := p.Commit(r.Context(), t)
	switch {
	case errors.As(err, &failed):
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, failed.Key)
	case err != nil:
		panic(http.ErrAbortHandler)
	}
}

// Commit implements catkinrun.Table.
func (p *Platform) Commit(_ context.Context, t catkinrun.Transaction) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Outage {
		return outage("commit")
	}
	failed, lost := p.applyLocked(t)
	switch {
	case failed != "":
		return &catkinrun.CheckError{Key: failed}
	case lost:
		return outage("commit")
	}
	return nil
}

func outage(operation string) error {
	return &catkinrun.StoreError{Operation: operation, Cause: io.ErrUnexpectedEOF}
}

func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, value)
}

// applyLocked runs a transaction; failed names the row whose check did not hold.
func (p *Platform) applyLocked(t catkinrun.Transaction) (failed string, lost bool) {
	for _, c := range t.Checks {
		if p.rows[c.Key].Revision != c.Revision {
			return c.Key, false
		}
	}
	for _, write := range t.Writes {
		if write.Delete {
			delete(p.rows, write.Key)
			continue
		}
		p.revision++
		p.rows[write.Key] = catkinrun.Row{Key: write.Key, Value: write.Value, Revision: p.revision}
	}
	if p.faults.LoseWrites > 0 {
		p.faults.LoseWrites--
		return "", true
	}
	return "", false
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := p.GetObject(r.Context(), r.PathValue("name"))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

// GetObject implements catkinrun.ObjectStore.
func (p *Platform) GetObject(_ context.Context, name string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	body, ok := p.objects[name]
	if !ok {
		return nil, &catkinrun.NotFoundError{Kind: "object", Name: name}
	}
	return body, nil
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = p.PutObject(r.Context(), r.PathValue("name"), body)
}

// PutObject implements catkinrun.ObjectStore.
func (p *Platform) PutObject(_ context.Context, name string, body []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = body
	return nil
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the totals.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) showCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
