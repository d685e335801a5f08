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

// beatInterval is the time between two heartbeats of a server.
const beatInterval = 1500 * time.Millisecond

// run is one request that a server has begun to process.
type run struct {
	at              time.Time
	id, path        string
	caller, tenant  string
	server, service string
}

// server is a stand-in for a backend server.
type server struct {
	id, service, control, address string
	born                          int64
	http                          *http.Server
	answerBytes                   int

	mu      sync.Mutex
	work    time.Duration
	runs    []run
	seq     uint64
	leaving bool
	ended   bool
}

// startServer starts a server at the address that the host's settings name.
func startServer(h *host, id string, answerBytes int, work time.Duration) *server {
	s := &server{id: id, service: h.service, control: h.control, address: h.app, born: time.Now().UnixMilli(), answerBytes: answerBytes, work: work}
	socket, err := net.Listen("tcp", h.app)
	if err != nil {
		fail("server: %v", err)
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(socket) }()
	go s.announce()
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	s.mu.Lock()
	leaving, work := s.leaving, s.work
	s.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	begun := run{
		at: time.Now(), id: id, path: r.URL.Path, caller: r.Header.Get("X-Caller-Service"), tenant: r.Header.Get("X-Tenant"),
		server: s.id, service: s.service,
	}
	s.mu.Lock()
	s.runs = append(s.runs, begun)
	s.mu.Unlock()
	record("run     id=%s at server=%s service=%s x-caller-service=%s x-tenant=%s", id, s.id, s.service, begun.caller, begun.tenant)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		record("dropped id=%s at server=%s: the connection was closed", id, s.id)
		return
	}
	h.Set("X-Response-Signature", s.id)
	h.Set("X-Server-Load", "1,0,50")
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Content-Length", strconv.Itoa(s.answerBytes))
	_, _ = w.Write(bytes.Repeat([]byte("a"), s.answerBytes))
}

// ran returns the runs so far.
func (s *server) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// announce sends heartbeats until the server leaves or ends.
func (s *server) announce() {
	for {
		s.mu.Lock()
		stop := s.leaving || s.ended
		s.seq++
		seq := s.seq
		s.mu.Unlock()
		if stop {
			return
		}
		status, err := sendHeartbeat(s.control, s.id, map[string]any{
			"service": s.service, "address": s.address, "zone": "zone", "version": "v1", "capacity": 50, "state": "ready",
			"cold_left": "0ms", "seq": seq, "born": s.born,
		})
		if err != nil {
			record("beat    server=%s seq=%d not acknowledged: %v", s.id, seq, err)
		} else if status != http.StatusOK {
			record("beat    server=%s seq=%d status=%d", s.id, seq, status)
		}
		time.Sleep(beatInterval)
	}
}

var beatClient = &http.Client{Timeout: time.Second}

func sendHeartbeat(control, id string, body map[string]any) (status int, err error) {
	return post("http://"+control+"/catkinrun/instances/"+id+"/heartbeat", body)
}

func post(url string, body map[string]any) (status int, err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	response, err := beatClient.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
	return response.StatusCode, nil
}

// deregister announces the server's end without a draining state before. It sends no heartbeats afterwards.
func (s *server) deregister() error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	status, err := post("http://"+s.control+"/catkinrun/instances/"+s.id+"/deregister", map[string]any{"born": s.born})
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// end ends the server; running requests are cut off.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.http.Close()
}
