package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's store. Each host reaches it at an address of its own, so that
// it can turn one host away and serve the others.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// entrance is the store as one host reaches it.
type entrance struct {
	store   *store
	address string
	server  *http.Server

	mu     sync.Mutex
	silent bool
}

// open listens at a free port of a loopback address.
func (s *store) open(ip string) *entrance {
	socket, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("store: %v", err)
	}
	e := &entrance{store: s, address: socket.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /catkinrun/rows-tx", e.transact)
	mux.HandleFunc("GET /catkinrun/rows-get", e.list)
	mux.HandleFunc("GET /catkinrun/rows-feed", e.feed)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(socket) }()
	return e
}

// setSilent begins or ends a time in which this host gets no response.
func (e *entrance) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// respond writes a response. In a time without responses it is lost, and its connection delivers
// nothing further.
func (e *entrance) respond(w http.ResponseWriter, r *http.Request, status int, rows []row) {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if rows == nil {
		rows = []row{}
	}
	e.store.mu.Lock()
	version := e.store.version
	e.store.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "row_version": version,
		"now": strconv.FormatInt(time.Since(e.store.began).Milliseconds(), 10) + "ms",
	})
}

func (e *entrance) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition, Put, Remove []row
	}
	raw, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent { // a call without a response may have been performed; this one is not
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	current, ok := e.store.apply(t.Precondition, t.Put, t.Remove)
	if !ok {
		e.respond(w, r, http.StatusPreconditionFailed, current)
		return
	}
	e.respond(w, r, http.StatusOK, nil)
}

func (s *store) apply(preconditions, put, remove []row) (current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, p := range preconditions {
		stored, found := s.rows[rowID{p.Table, p.Part, p.Key}]
		if found {
			current = append(current, stored)
		}
		ok = ok && stored.Version == p.Version
	}
	if !ok {
		return current, false
	}
	s.version++
	for _, p := range put {
		p.Version = s.version
		s.rows[rowID{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, p := range remove {
		delete(s.rows, rowID{p.Table, p.Part, p.Key})
		p.Version, p.Deleted, p.Value = s.version, true, nil
		s.history = append(s.history, p)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (e *entrance) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	e.store.mu.Lock()
	var rows []row
	for id, stored := range e.store.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			rows = append(rows, stored)
		}
	}
	e.store.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	e.respond(w, r, http.StatusOK, rows)
}

func (e *entrance) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		e.store.mu.Lock()
		var rows []row
		for _, h := range e.store.history {
			if h.Table == q.Get("table") && h.Version > after {
				rows = append(rows, h)
			}
		}
		changed := e.store.changed
		e.store.mu.Unlock()
		if len(rows) > 0 {
			e.respond(w, r, http.StatusOK, rows)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			e.respond(w, r, http.StatusOK, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeConfiguration writes the operator's configuration. It returns once the store has acknowledged it.
func (s *store) writeConfiguration(version int, resources []any) {
	hex := "0000000" + strconv.FormatInt(int64(version), 16)
	value, err := json.Marshal(map[string]any{"version": hex[len(hex)-8:], "resources": resources})
	if err != nil {
		fail("configuration: %v", err)
	}
	s.apply(nil, []row{{Table: "op", Key: "config", Value: value}}, nil)
}
