package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const beatInterval = 1500 * time.Millisecond

// server is a backend server that follows the users' pages.
type server struct {
	host     *host
	record   *record
	capacity int
	work     time.Duration
	body     []byte // of each answer, after its request's ID
	// before is asked before a request runs; it returns true if it has dealt with the request itself.
	before func(s *server, w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	sequence int
	draining bool
	running  int
	http     *http.Server
	stopped  chan struct{} // closed when this start of the server ends
}

// open starts the server.
func (s *server) open() {
	l, err := net.Listen("tcp", s.host.ip+":"+serverPort)
	check(err)
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.host.name, s.starts)
	s.born, s.sequence, s.draining = time.Now().UnixMilli(), 0, false
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	s.stopped = make(chan struct{})
	h, stopped := s.http, s.stopped
	s.mu.Unlock()
	s.record.add("start", "server "+s.id+" of "+s.host.service)
	go func() { _ = h.Serve(l) }()
	go s.announce(stopped)
}

// close ends the server as a crash does: all connections are closed.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	close(s.stopped)
	_ = s.http.Close()
	s.http = nil
}

// crash ends the server, which is back after downTime.
func (s *server) crash(downTime time.Duration) {
	s.close()
	time.AfterFunc(downTime, s.open)
}

func (s *server) announce(stopped chan struct{}) {
	for {
		s.beat()
		select {
		case <-time.After(beatInterval):
		case <-stopped:
			return
		}
	}
}

func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	id := s.id
	body, err := json.Marshal(map[string]any{
		"service": s.host.service, "address": s.host.ip + ":" + serverPort, "zone": s.host.zone, "version": "v1", "capacity": s.capacity,
		"state": state, "cold_left": "0ms", "seq": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	check(err)
	response, err := (&http.Client{Timeout: time.Second}).Post("http://"+s.host.ip+":"+announcePort+"/catkinrun/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return // the daemon may be starting; the next one tells the same
	}
	_ = response.Body.Close()
}

func (s *server) setHeaders(h http.Header, r *http.Request) {
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Response-Signature", "s."+s.id)
	h.Set("Keep-Alive", "timeout=10")
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, running := s.id, s.running
	s.mu.Unlock()
	request := r.Header.Get("X-Request-Id")
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", id)
		return
	case expected != "" && expected != id:
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case request == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case running >= 2*s.capacity:
		s.setHeaders(w.Header(), r)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.running--; s.mu.Unlock() }()
	s.record.add("run", fmt.Sprintf("%s at %s of %s, deadline %s ms", request, id, s.host.service, r.Header.Get("X-Deadline-Ms")))
	if s.before != nil && s.before(s, w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 60000
	}
	select {
	case <-time.After(min(s.work, time.Duration(deadline)*time.Millisecond)):
	case <-r.Context().Done():
		return
	}
	s.setHeaders(w.Header(), r)
	if s.work > time.Duration(deadline)*time.Millisecond {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := append([]byte(request+" "+s.host.service+"\n"), s.body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}
