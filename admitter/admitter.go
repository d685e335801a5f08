// Package admitter controls admission to the backend server beside this daemon. All
// requests to the server pass through it: it counts the slots in use, queues requests for
// a short time in the order of their classes, and refuses those that cannot be served in
// time.
package admitter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// limitFraction is the concurrency limit as a fraction of the slots: servers slow down
	// when they are nearly full, and a new connection or a health check holds a slot too.
	limitFraction = 0.94
	// coldLimitFraction is the same during the server's cold start.
	coldLimitFraction = 0.6
	// queueTimeoutFraction is the queue timeout as a fraction of a request's objective, or
	// of its time left if that is shorter. A refusal within an eighth of the objective
	// leaves the caller time to try again.
	queueTimeoutFraction = 0.125
	// callQueueTimeoutFraction is the same for a downstream call. It is larger, since
	// refusing a call wastes the work of its parent request, but still small, since the
	// waits of a request's calls add up while the request holds slots of other servers.
	callQueueTimeoutFraction = 0.25
	// maxCallQueuePerSlot is the queue length per slot above which downstream calls are
	// dropped; other requests are dropped above one per slot. A longer queue is acceptable
	// for calls: they are short, and their queue timeout bounds the wait.
	maxCallQueuePerSlot = 2
	// serviceTimeSmoothing is the weight of a new service time in the mean.
	serviceTimeSmoothing = 0.1
	// estimateDecay reduces an estimated service time at each refusal that is based on it.
	estimateDecay = 0.95
	// retryAfter is the Retry-After of refusals; no better estimate is available here.
	retryAfter = 500 * time.Millisecond
)

// Admitter admits requests to one backend server. It is safe for concurrent use.
type Admitter struct {
	clock catkinrun.Clock

	mu           sync.Mutex
	slots        int
	cold         bool
	inUse        int
	queue        queue
	serviceTimes map[string]time.Duration // mean, by route
	rate         rateLimit
	pressure     pressureEstimator
	counts       Counts

	rateLimited chan struct{} // a waiter may wait for the rate limit
}

// Counts holds an admitter's totals.
type Counts struct {
	Admitted uint64
	Queued   uint64
	Refused  map[catkinrun.Reason]uint64
}

// New returns an admitter for a server with the given slots.
func New(slots int, clock catkinrun.Clock) *Admitter {
	return &Admitter{
		clock: clock, slots: slots,
		serviceTimes: make(map[string]time.Duration),
		counts:       Counts{Refused: make(map[catkinrun.Reason]uint64)},
		rateLimited:  make(chan struct{}, 1),
	}
}

// Serve admits waiters as the rate limit allows until ctx ends; all others are admitted when a
// slot becomes free. It implements suture.Service.
func (a *Admitter) Serve(ctx context.Context) error {
	for {
		wait := a.admitDue()
		if wait > 0 && a.clock.Wait(ctx, wait) == nil {
			continue
		}
		select {
		case <-a.rateLimited:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// admitDue admits the waiters that the rate limit allows. It returns the time until it allows
// another one, 0 if none waits for it.
func (a *Admitter) admitDue() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitWaitersLocked()
	if a.queue.size == 0 || a.inUse >= a.limitLocked() {
		return 0
	}
	return max(time.Millisecond, a.rate.untilNext(a.clock.Now()))
}

// SetRateLimit applies the limit in requests per second that the server names, if limited is true.
func (a *Admitter) SetRateLimit(limited bool, perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !limited && !a.rate.limited {
		return
	}
	a.rate.set(limited, perSecond, a.clock.Now())
	a.admitWaitersLocked()
}

// SetServer applies the slots and the cold state that the server announced.
func (a *Admitter) SetServer(slots int, cold bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.slots == slots && a.cold == cold {
		return
	}
	a.slots, a.cold = slots, cold
	a.admitWaitersLocked()
}

// Acquire waits for a slot, which must be freed by Release. It fails with a
// *catkinrun.Refusal whose outcome is not-run.
func (a *Admitter) Acquire(ctx context.Context, e catkinrun.Envelope) error {
	w, err := a.admitOrEnqueue(e)
	if err != nil || w == nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, queueTimeout(e))
	defer cancel()
	select {
	case err := <-w.result:
		return err
	case <-waitCtx.Done():
		return a.cancelWait(ctx, w)
	}
}

// queueTimeout returns the longest time that a request may wait in the queue.
func queueTimeout(e catkinrun.Envelope) time.Duration {
	fraction := queueTimeoutFraction
	if e.Downstream {
		fraction = callQueueTimeoutFraction
	}
	return time.Duration(fraction * float64(min(e.TimeLeft, e.Objective)))
}

// admitOrEnqueue gives the request a slot at once, queues it or refuses it. It returns a
// waiter only if the request was queued.
func (a *Admitter) admitOrEnqueue(e catkinrun.Envelope) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updatePressureLocked()
	if e.Attempt == 0 { // a request counts only at the host of its first attempt
		a.pressure.recordArrival(e.Class(), a.serviceTimes[e.Route], e.Weight)
	}
	if expected := a.serviceTimes[e.Route]; e.TimeLeft < expected/2 {
		// While all requests of the route are refused, no run corrects the estimate, so an
		// estimate from a slow period would never fall.
		a.serviceTimes[e.Route] = time.Duration(estimateDecay * float64(expected))
		return nil, a.refuseLocked(e, catkinrun.ReasonDeadline, "the time left is far below the usual service time")
	}
	if a.queue.size == 0 && a.hasRoomLocked() {
		a.admitLocked()
		return nil, nil
	}
	w := &waiter{envelope: e, serviceTime: a.serviceTimes[e.Route], result: make(chan error, 1)}
	a.queue.push(w)
	a.counts.Queued++
	a.admitWaitersLocked()
	a.trimQueueLocked()
	if a.rate.limited {
		select {
		case a.rateLimited <- struct{}{}:
		default:
		}
	}
	return w, nil
}

// hasRoomLocked reports whether the server may get another request now.
func (a *Admitter) hasRoomLocked() bool {
	return a.inUse < a.limitLocked() && a.rate.allows(a.clock.Now())
}

// admitLocked counts a request that the server gets.
func (a *Admitter) admitLocked() {
	a.inUse++
	a.counts.Admitted++
	a.rate.take()
}

// limitLocked returns the concurrency limit.
func (a *Admitter) limitLocked() int {
	fraction := limitFraction
	if a.cold {
		fraction = coldLimitFraction
	}
	return max(1, int(math.Floor(fraction*float64(a.slots))))
}

// admitWaitersLocked gives free slots to waiters.
func (a *Admitter) admitWaitersLocked() {
	for a.hasRoomLocked() {
		w := a.queue.pop()
		if w == nil {
			return
		}
		a.admitLocked()
		w.result <- nil
	}
}

// trimQueueLocked drops the least urgent waiters from a queue that is too long.
func (a *Admitter) trimQueueLocked() {
	for a.queue.size > max(1, a.slots) {
		w := a.queue.dropCandidate()
		if w.envelope.Downstream && a.queue.size <= maxCallQueuePerSlot*a.slots {
			return
		}
		a.queue.remove(w)
		w.result <- a.refuseLocked(w.envelope, catkinrun.ReasonOverload, "the queue is full")
	}
}

// cancelWait removes a waiter whose wait has ended and returns its refusal. It releases a
// slot that the waiter got at the same moment.
func (a *Admitter) cancelWait(ctx context.Context, w *waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.result:
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
	a.counts.Refused[reason]++
	return &catkinrun.Refusal{
		Status: 503, Reason: reason, Outcome: catkinrun.OutcomeNotRun, RetryAfter: retryAfter, Detail: detail,
		Load: a.loadLocked(),
	}
}

// Release frees the slot of a request after a run that took the given time. took is 0 for
// a run that was cut short, since its duration is no measure of the service time.
func (a *Admitter) Release(e catkinrun.Envelope, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if took > 0 {
		mean, ok := a.serviceTimes[e.Route]
		if !ok {
			mean = took
		}
		a.serviceTimes[e.Route] = mean + time.Duration(serviceTimeSmoothing*float64(took-mean))
	}
	a.releaseLocked()
}

func (a *Admitter) releaseLocked() {
	a.updatePressureLocked()
	a.inUse--
	a.admitWaitersLocked()
}

func (a *Admitter) updatePressureLocked() {
	perSecond := math.Inf(1)
	if a.rate.limited {
		perSecond = a.rate.perSecond
	}
	a.pressure.update(a.clock.Now(), a.limitLocked(), perSecond, &a.queue.backlog)
}

// Load returns the number of running and queued requests, divided by the concurrency limit, or
// the requests that arrive, divided by the limit that the server has named, if that is more.
func (a *Admitter) Load() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked()
}

func (a *Admitter) loadLocked() float64 {
	load := float64(a.inUse+a.queue.size) / float64(a.limitLocked())
	if a.rate.limited {
		load = max(load, a.pressure.arrivalRate/a.rate.perSecond)
	}
	return load
}

// Pressure returns the fraction of new requests that entry daemons should refuse, by class.
func (a *Admitter) Pressure() catkinrun.Pressure {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updatePressureLocked()
	return a.pressure.fractions
}

// Counts returns a copy of the totals.
func (a *Admitter) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.counts
	counts.Refused = make(map[catkinrun.Reason]uint64, len(a.counts.Refused))
	for reason, n := range a.counts.Refused {
		counts.Refused[reason] = n
	}
	return counts
}

// InUse returns the number of slots in use.
func (a *Admitter) InUse() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inUse
}
