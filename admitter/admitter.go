// Package admitter is the admission point of the backend server beside this
// daemon: it counts the server's slots, queues for a short time, and sheds.
package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// queuePerSlot bounds the queue in requests per slot.
	queuePerSlot = 2
	// baseWait is the longest wait in the queue, above the mean service time.
	baseWait = 250 * time.Millisecond
	// serviceSmoothing weighs a new service time against the mean.
	serviceSmoothing = 0.1
	// estimateDecay lowers an estimated service time at each refusal that rests on it.
	estimateDecay = 0.98
	// retryAfter is the least wait told to a refused caller.
	retryAfter = time.Second
)

// slotPart is the part of the slots that each priority may fill, so that long
// work of a low priority never holds every slot.
var slotPart = [catkinrun.PriorityCount]float64{0.7, 0.9, 1}

// Admitter admits requests to one backend server. It is safe for concurrent use.
type Admitter struct {
	clock catkinrun.Clock
	log   logrus.FieldLogger

	mu       sync.Mutex
	slots    int
	inUse    int
	queue    queue
	level    level
	services map[string]time.Duration // mean service time by route
	counts   Counts
}

// Counts are the admitter's totals.
type Counts struct {
	Admitted uint64
	Queued   uint64
	Shed     map[catkinrun.Reason]uint64
}

// New returns an admitter for a server with that many slots.
func New(slots int, clock catkinrun.Clock, log logrus.FieldLogger) *Admitter {
	return &Admitter{
		clock: clock, log: log, slots: slots,
		services: make(map[string]time.Duration),
		counts:   Counts{Shed: make(map[catkinrun.Reason]uint64)},
	}
}

// SetSlots follows the server's announcement.
func (a *Admitter) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.fillLocked()
}

// Acquire waits for a slot. The caller must Release it. It fails with a
// *catkinrun.Refusal that is not-run.
func (a *Admitter) Acquire(ctx context.Context, e catkinrun.Envelope) error {
	w, err := a.enter(e)
	if err != nil || w == nil {
		return err
	}
	enteredAt := a.clock.Now()
	waitCtx, cancel := context.WithTimeout(ctx, min(a.patience(), e.TimeLeft))
	defer cancel()
	select {
	case err := <-w.decided:
		a.started(e.Priority, err, a.clock.Now().Sub(enteredAt))
		return err
	case <-waitCtx.Done():
		return a.leave(ctx, w)
	}
}

// patience is the longest wait in the queue.
func (a *Admitter) patience() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return baseWait + a.level.service
}

func (a *Admitter) started(p catkinrun.Priority, err error, wait time.Duration) {
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.level.ran(p, wait)
}

// enter takes a slot at once, queues, or refuses. A nil waiter has its slot.
func (a *Admitter) enter(e catkinrun.Envelope) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.level.roll(a.clock.Now())
	a.level.arrive(e.Rank())
	if e.Rank() < a.level.rank {
		return nil, a.refuseLocked(e, catkinrun.ReasonOverload, "the server sheds requests of this rank")
	}
	if expected := a.services[e.Route]; e.TimeLeft < expected {
		// Without runs nothing else would correct an estimate from a slow time.
		a.services[e.Route] = time.Duration(estimateDecay * float64(expected))
		return nil, a.refuseLocked(e, catkinrun.ReasonDeadline, "the time left is below the usual service time")
	}
	if a.queue.size == 0 && a.mayRunLocked(e.Priority) {
		a.inUse++
		a.counts.Admitted++
		a.level.ran(e.Priority, 0)
		return nil, nil
	}
	w := &waiter{envelope: e, decided: make(chan error, 1)}
	a.queue.push(w)
	a.counts.Queued++
	a.fillLocked()
	a.trimLocked()
	return w, nil
}

func (a *Admitter) mayRunLocked(p catkinrun.Priority) bool {
	return a.inUse < max(1, int(math.Round(slotPart[p]*float64(a.slots))))
}

// fillLocked gives free slots to waiters.
func (a *Admitter) fillLocked() {
	for {
		w := a.queue.pop(a.mayRunLocked)
		if w == nil {
			return
		}
		a.inUse++
		a.counts.Admitted++
		w.decided <- nil
	}
}

// trimLocked drops the lowest waiters from a queue that is too long.
func (a *Admitter) trimLocked() {
	for a.queue.size > max(1, a.slots*queuePerSlot) {
		w := a.queue.lowest()
		a.queue.remove(w)
		a.level.drop(w.envelope.Priority)
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
	a.level.drop(w.envelope.Priority)
	return a.refuseLocked(w.envelope, catkinrun.ReasonOverload, "no slot became free in time")
}

func (a *Admitter) refuseLocked(e catkinrun.Envelope, reason catkinrun.Reason, detail string) error {
	a.counts.Shed[reason]++
	a.log.WithFields(logrus.Fields{
		"request": e.Request, "team": e.Team, "route": e.Route, "rank": e.Rank(),
		"level": a.level.rank, "in-use": a.inUse, "queued": a.queue.size, "reason": reason,
	}).Debug("admitter: request shed")
	return &catkinrun.Refusal{
		Status: 503, Reason: reason, Outcome: catkinrun.NotRun, RetryAfter: retryAfter, Detail: detail,
		Level: a.level.rank,
	}
}

// Release gives a slot back after a run of the route that took so long. A run
// that was cut short says nothing about the service time and passes 0.
func (a *Admitter) Release(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if took > 0 {
		a.level.served(took)
		a.services[route] = smooth(a.services[route], took)
	}
	a.releaseLocked()
}

func (a *Admitter) releaseLocked() {
	a.inUse--
	a.fillLocked()
	a.level.roll(a.clock.Now())
}

// State is what answers carry back.
type State struct {
	Level int     // rank below which requests are refused
	Load  float64 // slots in use and queued, per slot
}

// State returns the level and the load now.
func (a *Admitter) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.level.roll(a.clock.Now())
	return State{
		Level: a.level.rank,
		Load:  float64(a.inUse+a.queue.size) / float64(max(1, a.slots)),
	}
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
