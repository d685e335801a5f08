// Package admitter is the admission point of the backend server beside this daemon,
// the only way to it: it counts the server's slots, lets requests wait a short time
// in the order of their classes, and refuses those that cannot be served in time.
package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// fullPart is the part of the slots that is used: servers slow down when they are
	// nearly full, and a new connection or a health check holds a slot too.
	fullPart = 0.94
	// coldPart is the part of the slots that is used while a server is cold.
	coldPart = 0.6
	// patiencePart is the part of a request's objective for which it may wait. A refusal
	// within an eighth of the objective leaves the caller time to try again.
	patiencePart = 0.125
	// callPatience is the same for a call, longer since refusing it wastes the work of the
	// request that made it. Waits add up along the calls of a request, which holds slots of
	// other servers meanwhile.
	callPatience = 0.25
	// callQueue is the number of calls per slot that may wait; of other requests one may.
	// Calls are short, and their patience bounds the wait.
	callQueue = 2
	// serviceSmoothing weighs a new service time against the mean.
	serviceSmoothing = 0.1
	// estimateDecay lowers an estimated service time at each refusal that rests on it.
	estimateDecay = 0.95
	// retryAfter is the wait told to a refused caller when nothing better is known.
	retryAfter = 500 * time.Millisecond
)

// Admitter admits requests to one backend server. It is safe for concurrent use.
type Admitter struct {
	clock catkinrun.Clock

	mu       sync.Mutex
	slots    int
	cold     bool
	inUse    int
	queue    queue
	services map[string]time.Duration // mean service time by route
	pressure pressure
	counts   Counts
}

// Counts are the admitter's totals.
type Counts struct {
	Admitted uint64
	Queued   uint64
	Shed     map[catkinrun.Reason]uint64
}

// New returns an admitter for a server with that many slots.
func New(slots int, clock catkinrun.Clock) *Admitter {
	return &Admitter{
		clock: clock, slots: slots,
		services: make(map[string]time.Duration),
		counts:   Counts{Shed: make(map[catkinrun.Reason]uint64)},
	}
}

// SetServer follows the server's announcement.
func (a *Admitter) SetServer(slots int, cold bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.slots == slots && a.cold == cold {
		return
	}
	a.slots, a.cold = slots, cold
	a.fillLocked()
}

// Acquire waits for a slot. The caller must Release it. It fails with a
// *catkinrun.Refusal that is not-run.
func (a *Admitter) Acquire(ctx context.Context, e catkinrun.Envelope) error {
	w, err := a.enter(e)
	if err != nil || w == nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, patience(e))
	defer cancel()
	select {
	case err := <-w.decided:
		return err
	case <-waitCtx.Done():
		return a.leave(ctx, w)
	}
}

// patience is the longest wait of a request in the queue.
func patience(e catkinrun.Envelope) time.Duration {
	part := patiencePart
	if e.Call {
		part = callPatience
	}
	return time.Duration(part * float64(min(e.TimeLeft, e.Objective)))
}

// enter takes a slot at once, queues, or refuses. A nil waiter has its slot.
func (a *Admitter) enter(e catkinrun.Envelope) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followLocked()
	if e.Attempt == 0 { // else it has been counted where it was refused
		a.pressure.arrive(e.Class(), a.services[e.Route], e.Weight)
	}
	if expected := a.services[e.Route]; e.TimeLeft < expected/2 {
		// Without runs nothing else would correct an estimate from a slow time.
		a.services[e.Route] = time.Duration(estimateDecay * float64(expected))
		return nil, a.refuseLocked(e, catkinrun.ReasonDeadline, "the time left is far below the usual service time")
	}
	if a.queue.size == 0 && a.inUse < a.capacityLocked() {
		a.inUse++
		a.counts.Admitted++
		return nil, nil
	}
	w := &waiter{envelope: e, service: a.services[e.Route], decided: make(chan error, 1)}
	a.queue.push(w)
	a.counts.Queued++
	a.fillLocked()
	a.trimLocked()
	return w, nil
}

func (a *Admitter) capacityLocked() int {
	part := fullPart
	if a.cold {
		part = coldPart
	}
	return max(1, int(math.Floor(part*float64(a.slots))))
}

// fillLocked gives free slots to waiters.
func (a *Admitter) fillLocked() {
	for a.inUse < a.capacityLocked() {
		w := a.queue.pop()
		if w == nil {
			return
		}
		a.inUse++
		a.counts.Admitted++
		w.decided <- nil
	}
}

// trimLocked drops the least urgent waiters from a queue that is too long.
func (a *Admitter) trimLocked() {
	for a.queue.size > max(1, a.slots) {
		w := a.queue.last()
		if w.envelope.Call && a.queue.size <= callQueue*a.slots {
			return
		}
		a.queue.remove(w)
		w.decided <- a.refuseLocked(w.envelope, catkinrun.ReasonOverload, "the queue is full")
	}
}

// leave takes a waiter out whose wait is over. If a slot came at the same moment
// it is given back.
func (a *Admitter) leave(ctx context.Context, w *waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.decided:
		if err == nil {
			a.releaseLocked()
		}
	default:
		a.queue.remove(w)
	}
	if ctx.Err() != nil {
		return a.refuseLocked(w.envelope, catkinrun.ReasonDeadline, "the request ended while it waited")
	}
	return a.refuseLocked(w.envelope, catkinrun.ReasonOverload, "no slot became free in time")
}

func (a *Admitter) refuseLocked(e catkinrun.Envelope, reason catkinrun.Reason, detail string) error {
	a.counts.Shed[reason]++
	return &catkinrun.Refusal{
		Status: 503, Reason: reason, Outcome: catkinrun.NotRun, RetryAfter: retryAfter, Detail: detail,
		Load: a.loadLocked(),
	}
}

// Release gives the slot of a request back after a run that took so long. A run that was
// cut short says nothing about the service time and passes 0.
func (a *Admitter) Release(e catkinrun.Envelope, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if took > 0 {
		mean, ok := a.services[e.Route]
		if !ok {
			mean = took
		}
		a.services[e.Route] = mean + time.Duration(serviceSmoothing*float64(took-mean))
	}
	a.releaseLocked()
}

func (a *Admitter) releaseLocked() {
	a.followLocked()
	a.inUse--
	a.fillLocked()
}

func (a *Admitter) followLocked() {
	a.pressure.follow(a.clock.Now(), a.capacityLocked(), &a.queue.work)
}

// Load returns the slots in use and waited for, per slot in use at most.
func (a *Admitter) Load() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}

func (a *Admitter) loadLocked() float64 {
	return float64(a.inUse+a.queue.size) / float64(a.capacityLocked())
}

// Pressure returns the part of the new requests that the entries should not send here.
func (a *Admitter) Pressure() catkinrun.Pressure {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followLocked()
	return a.pressure.parts
}

// Counts returns a copy of the totals.
func (a *Admitter) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.counts
	counts.Shed = make(map[catkinrun.Reason]uint64, len(a.counts.Shed))
	for reason, n := range a.counts.Shed {
		counts.Shed[reason] = n
	}
	return counts
}

// InUse returns the number of requests that run.
func (a *Admitter) InUse() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inUse
}
