// Package backend is a stand-in for a backend server. It has slots, a service time, a cold
// start and a draining state, announces itself to the daemon beside it, makes downstream
// calls through that daemon, and counts the requests that it receives.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinrun/catkinrun"
)

// RequestNameHeader is the header with the caller's name for a request. Report.Runs counts
// requests by this name.
const RequestNameHeader = "X-Run"

// Settings describe a server.
type Settings struct {
	ID              string // of this start of the server
	Service         string
	Address         string // IP and port to listen on
	Zone            string // availability zone of its host
	Daemon          string // URL of the caller listener of the daemon beside it
	Control         string // URL of that daemon's announcement listener
	Domain          string // Host header of downstream calls
	Slots           int
	ServiceTime     time.Duration
	ColdStart       time.Duration     // time after the start in which the service time is coldFactor times as long
	DeadlyPath      string            // path prefix of requests that crash the server that runs them; empty for none
	Crash           func()            // ends the server's process
	DownstreamCalls map[string]string // path prefix to "METHOD /path" of a downstream call made before processing
}

// coldFactor multiplies the service time during a cold start.
const coldFactor = 5

// softwareVersion is the version of the server's software in its announcements.
const softwareVersion = "v1"

// announceInterval is the time between announcements.
const announceInterval = 500 * time.Millisecond

// Control is the body of a PUT to /control, which changes a running server.
type Control struct {
	WorkMS   int  `json:"work-ms"` // 0 keeps the current service time
	Draining bool `json:"draining"`
}

// Report counts the requests of a server. It is served at /report.
type Report struct {
	Runs               map[string]int `json:"runs"`        // requests received, by RequestNameHeader
	Finished           int            `json:"finished"`    // responses with status 200
	Cancelled          int            `json:"cancelled"`   // requests cancelled before the response
	KeysSeen           int            `json:"keys-seen"`   // requests with an Authorization header, which carries a caller's key
	DownstreamFailures int            `json:"child-fails"` // requests whose downstream call failed
	MaxRunning         int            `json:"busiest"`     // most concurrent requests, those waiting for a slot included
}

// Backend is a stand-in for a backend server.
type Backend struct {
	settings        Settings
	clock           catkinrun.Clock
	client          *http.Client
	slots           chan struct{}
	startedAt       time.Time
	baseServiceTime atomic.Int64 // nanoseconds
	draining        atomic.Bool
	sequence        atomic.Uint64

	mu      sync.Mutex
	report  Report
	running int
}

// New returns a server. Handler serves its requests, and Serve announces it.
func New(settings Settings, clock catkinrun.Clock, client *http.Client) *Backend {
	b := &Backend{
		settings: settings, clock: clock, client: client,
		slots: make(chan struct{}, settings.Slots), startedAt: clock.Now(),
		report: Report{Runs: make(map[string]int)},
	}
	b.baseServiceTime.Store(int64(settings.ServiceTime))
	return b
}

// Handler serves requests, /control and /report.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control", b.serveControl)
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(b.Report())
	})
	mux.HandleFunc("/", b.serve)
	return mux
}

// Report returns a copy of the report.
func (b *Backend) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.report
	report.Runs = maps.Clone(b.report.Runs)
	return report
}

// Serve announces the server until ctx ends. It implements suture.Service.
func (b *Backend) Serve(ctx context.Context) error {
	for {
		b.Announce(ctx)
		if err := b.clock.Wait(ctx, announceInterval); err != nil {
			return err
		}
	}
}

// heartbeat is the body of an announcement.
type heartbeat struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	Version        string `json:"version"`
	Capacity       int    `json:"capacity"`
	State          string `json:"state"`
	ColdLeft       string `json:"cold_left"`
	Sequence       uint64 `json:"seq"`
	StartUnixMilli int64  `json:"born"`
}

// Announce sends one announcement. The next one tells what a lost one did.
func (b *Backend) Announce(ctx context.Context) {
	state := "ready"
	if b.draining.Load() {
		state = "draining"
	}
	coldLeft := max(0, b.settings.ColdStart-b.clock.Now().Sub(b.startedAt))
	body, err := json.Marshal(heartbeat{
		Service: b.settings.Service, Address: b.settings.Address, Zone: b.settings.Zone, Version: softwareVersion, Capacity: b.settings.Slots, State: state,
		ColdLeft: fmt.Sprintf("%dms", coldLeft.Milliseconds()), Sequence: b.sequence.Add(1), StartUnixMilli: b.startedAt.UnixMilli(),
	})
	if err != nil {
		return
	}
	url := b.settings.Control + "/catkinrun/instances/" + b.settings.ID + "/heartbeat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := b.client.Do(request)
	if err != nil {
		return // the daemon may be starting
	}
	_ = response.Body.Close()
}

func (b *Backend) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(r.Body).Decode(&control); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.SetControl(control)
}

// SetControl changes the service time and the draining state.
func (b *Backend) SetControl(control Control) {
	if control.WorkMS > 0 {
		b.baseServiceTime.Store(int64(time.Duration(control.WorkMS) * time.Millisecond))
	}
	b.draining.Store(control.Draining)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.settings.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", b.settings.ID)
	b.beginRequest(r)
	defer b.endRequest()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		b.updateReport(func(report *Report) { report.Cancelled++ })
		return
	}
	if b.settings.DeadlyPath != "" && strings.HasPrefix(r.URL.Path, b.settings.DeadlyPath) {
		b.settings.Crash()
		return
	}
	if !b.callDownstream(r) {
		b.updateReport(func(report *Report) { report.DownstreamFailures++ })
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if b.clock.Wait(r.Context(), b.serviceTime()) != nil {
		b.updateReport(func(report *Report) { report.Cancelled++ })
		return
	}
	b.updateReport(func(report *Report) { report.Finished++ })
	_, _ = io.WriteString(w, b.settings.Service+" "+r.Header.Get(RequestNameHeader)+"\n")
}

func (b *Backend) beginRequest(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running++
	b.report.MaxRunning = max(b.report.MaxRunning, b.running)
	if name := r.Header.Get(RequestNameHeader); name != "" {
		b.report.Runs[name]++
	}
	if r.Header.Get("Authorization") != "" {
		b.report.KeysSeen++
	}
}

func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) updateReport(update func(*Report)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update(&b.report)
}

func (b *Backend) serviceTime() time.Duration {
	base := time.Duration(b.baseServiceTime.Load())
	if b.clock.Now().Sub(b.startedAt) < b.settings.ColdStart {
		return coldFactor * base
	}
	return base
}

// callDownstream makes the downstream calls that are set for the request's path, through
// the daemon beside the server. It reports whether all of them succeeded.
func (b *Backend) callDownstream(r *http.Request) bool {
	for prefix, call := range b.settings.DownstreamCalls {
		if !strings.HasPrefix(r.URL.Path, prefix) {
			continue
		}
		method, path, _ := strings.Cut(call, " ")
		if !b.sendDownstream(r, method, path) {
			return false
		}
	}
	return true
}

func (b *Backend) sendDownstream(r *http.Request, method, path string) bool {
	request, err := http.NewRequestWithContext(r.Context(), method, b.settings.Daemon+path, nil)
	if err != nil {
		return false
	}
	request.Host = b.settings.Domain
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", b.settings.ID, b.sequence.Add(1)))
	request.Header.Set("X-Deadline-Ms", r.Header.Get("X-Deadline-Ms"))
	request.Header.Set(RequestNameHeader, r.Header.Get(RequestNameHeader))
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// Service returns the name of the service that the server runs.
func (b *Backend) Service() string { return b.settings.Service }
