// Package tracker remembers the requests that run on the backend server beside
// this daemon, each by an opaque handle. The server copies the handle to the calls
// that it makes in turn, so these inherit their parent's envelope and cannot forge
// one.
package tracker

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/catkinrun/catkinrun"
)

// Running is a request that runs on the server.
type Running struct {
	// Context ends when the request does, and with it all calls made for it.
	Context  context.Context
	Envelope catkinrun.Envelope

	mu        sync.Mutex
	allowance int
	level     int
}

// TakeAllowance hands half of the extra attempts left, rounded up, to a call.
func (r *Running) TakeAllowance() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	part := (r.allowance + 1) / 2
	r.allowance -= part
	return part
}

// ReturnAllowance takes back what a call did not spend.
func (r *Running) ReturnAllowance(unspent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowance += max(0, unspent)
}

// Allowance returns the extra attempts left.
func (r *Running) Allowance() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allowance
}

// RaiseLevel records the admission level met further down.
func (r *Running) RaiseLevel(level int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.level = max(r.level, level)
}

// Level returns the strictest admission level met further down.
func (r *Running) Level() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.level
}

// Tracker finds running requests by handle.
type Tracker struct {
	mu      sync.Mutex
	running map[string]*Running
}

// New returns a tracker of no requests.
func New() *Tracker {
	return &Tracker{running: make(map[string]*Running)}
}

// handleBytes makes a handle unguessable.
const handleBytes = 16

// Start records a request and returns its handle. The caller must End it.
func (t *Tracker) Start(ctx context.Context, e catkinrun.Envelope) (handle string, running *Running) {
	raw := make([]byte, handleBytes)
	_, _ = rand.Read(raw) // never fails
	handle = hex.EncodeToString(raw)
	running = &Running{Context: ctx, Envelope: e, allowance: e.Allowance}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[handle] = running
	return handle, running
}

// End forgets a request; calls with its handle are refused from now on.
func (t *Tracker) End(handle string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, handle)
}

// Find returns a running request.
func (t *Tracker) Find(handle string) (*Running, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, ok := t.running[handle]
	return running, ok
}

// Count returns the number of running requests.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}
