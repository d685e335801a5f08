package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// server is a sound backend server beside a daemon.
type server struct {
	fleet    *fleet
	host     *host
	id       string
	capacity int
	handle   http.HandlerFunc // runs a request; the common headers are set
	buffer   int              // receive buffer of its sockets, 0 for the usual one

	bornAt   time.Time
	sequence atomic.Uint64
	state    atomic.Value // string
	running  atomic.Int64
	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc
	mu       sync.Mutex
	runs     map[string]int // by request ID
}

const beatInterval = 1500 * time.Millisecond

// startServer starts a server and its heartbeats.
func (f *fleet) startServer(s *server) error {
	s.fleet, s.bornAt, s.runs = f, time.Now(), make(map[string]int)
	if s.capacity == 0 {
		s.capacity = 188
	}
	s.state.Store("ready")
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if s.buffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.buffer) })
	}}
	var err error
	if s.listener, err = config.Listen(context.Background(), "tcp", s.host.appServer); err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(s.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	f.onEnd(s.crash)
	go s.beat(ctx)
	f.record.note("server %s of %s started beside %s", s.id, s.host.service, s.host.name)
	return nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.stop()
	_ = s.http.Close()
}

// begin counts a run of a request.
func (s *server) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// ran returns how often a request has run.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.capacity))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", s.id)
	s.running.Add(1)
	defer s.running.Add(-1)
	s.begin(id)
	s.handle(w, r)
}

func (s *server) beat(ctx context.Context) {
	for {
		s.sendBeat(ctx)
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
			return
		}
	}
}

// beatBody is the body of a heartbeat as of now.
func (s *server) beatBody() []byte {
	body, _ := json.Marshal(map[string]any{
		"service": s.host.service, "address": s.host.appServer, "zone": s.host.zone, "version": "v1", "capacity": s.capacity,
		"state": s.state.Load(), "cold_left": "0ms", "seq": s.sequence.Add(1), "born": s.bornAt.UnixMilli(),
	})
	return body
}

// sendBeat sends a heartbeat and reports whether it was acknowledged.
func (s *server) sendBeat(ctx context.Context) bool {
	return s.post(ctx, "heartbeat", s.beatBody())
}

func (s *server) post(ctx context.Context, call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.host.announce+"/catkinrun/instances/"+s.id+"/"+call, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
