// Package learner infers which routes' requests make which downstream calls. Backend
// servers do not report this, but a call has the deadline of its parent request or, if that
// is far off, a deadline at a fixed time after the parent's start. So a call whose deadline
// fits running requests of only one route is attributed to that route.
package learner

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// bucketWidth is the precision with which deadlines are compared: they are sent in whole
	// milliseconds, and a call takes about one to arrive.
	bucketWidth = 3 * time.Millisecond
	// minCalls is the number of calls after which a route is known to make them.
	minCalls = 3
	// minCallsPerRun is the number of calls per run below which a call is ignored, since
	// some deadlines are equal by chance.
	minCallsPerRun = 0.05
	// halfLife is the time after which earlier runs and calls count half.
	halfLife = 10 * time.Second
)

// Learner attributes the calls of one backend server. It is safe for concurrent use.
type Learner struct {
	mu          sync.Mutex
	byDeadline  timeIndex                     // running requests
	byStart     timeIndex                     // running requests
	maxTimeLeft map[string]time.Duration      // greatest time left of a call, by its route
	runs        map[string]float64            // by route
	calls       map[string]map[string]float64 // by route of the parent, then of the call
	agedAt      time.Time
}

// Run describes a running request that may make downstream calls.
type Run struct {
	Route  string
	Class  int
	Weight float64 // as in its envelope
	Repeat bool    // an earlier run of the request may have started
}

// timeIndex finds running requests by a point in time.
type timeIndex map[int64][]*Run

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

func (x timeIndex) add(t time.Time, r *Run) {
	x[bucketOf(t)] = append(x[bucketOf(t)], r)
}

func (x timeIndex) remove(t time.Time, r *Run) {
	bucket := bucketOf(t)
	if i := slices.Index(x[bucket], r); i >= 0 {
		x[bucket] = slices.Delete(x[bucket], i, i+1)
	}
	if len(x[bucket]) == 0 {
		delete(x, bucket)
	}
}

// appendNear appends the requests in the bucket of t and in the two beside it to found.
func (x timeIndex) appendNear(t time.Time, found []*Run) []*Run {
	for bucket := bucketOf(t) - 1; bucket <= bucketOf(t)+1; bucket++ {
		found = append(found, x[bucket]...)
	}
	return found
}

// New returns a learner without any recorded call.
func New() *Learner {
	return &Learner{
		byDeadline: make(timeIndex), byStart: make(timeIndex), maxTimeLeft: make(map[string]time.Duration),
		runs: make(map[string]float64), calls: make(map[string]map[string]float64),
	}
}

// Begin records a request that the server runs from start until deadline at most. The
// returned function records its end.
func (l *Learner) Begin(r Run, start, deadline time.Time) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Route]++
	l.byDeadline.add(deadline, &r)
	l.byStart.add(start, &r)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.byDeadline.remove(deadline, &r)
		l.byStart.remove(start, &r)
	}
}

// Called records a downstream call that the server makes at now with the given time left.
// It returns the most likely parent request, with class 0 if none fits.
func (l *Learner) Called(call string, now time.Time, timeLeft time.Duration) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ageLocked(now)
	l.maxTimeLeft[call] = max(l.maxTimeLeft[call], timeLeft)
	found := l.byDeadline.appendNear(now.Add(timeLeft), nil)
	found = l.byStart.appendNear(now.Add(timeLeft-l.maxTimeLeft[call]), found)
	l.attributeLocked(call, found)
	return likeliest(found)
}

// attributeLocked counts a call for the route of the requests found, if they are all of
// one route.
func (l *Learner) attributeLocked(call string, found []*Run) {
	if len(found) == 0 {
		return
	}
	route := found[0].Route
	if slices.ContainsFunc(found, func(r *Run) bool { return r.Route != route }) {
		return // ambiguous
	}
	if l.calls[route] == nil {
		l.calls[route] = make(map[string]float64)
	}
	l.calls[route][call]++
}

// likeliest returns a request of the class that most of the requests found have, with the
// mean weight of that class.
func likeliest(found []*Run) Run {
	var counts [catkinrun.ClassCount]int
	best := Run{}
	for _, r := range found {
		counts[r.Class]++
		if counts[r.Class] > counts[best.Class] {
			best = *r
		}
	}
	best.Weight = 0
	for _, r := range found {
		if r.Class == best.Class {
			best.Weight += r.Weight / float64(counts[best.Class])
		}
	}
	return best
}

// ageLocked halves the counts and forgets the greatest times left, so that the results
// follow a changed server program.
func (l *Learner) ageLocked(now time.Time) {
	if l.agedAt.IsZero() {
		l.agedAt = now
	}
	if now.Sub(l.agedAt) < halfLife {
		return
	}
	l.agedAt = now
	for route := range l.runs {
		l.runs[route] /= 2
	}
	clear(l.maxTimeLeft)
	for _, calls := range l.calls {
		for call := range calls {
			calls[call] /= 2
		}
	}
}

// Calls returns the routes of the downstream calls that a route's requests make.
func (l *Learner) Calls(route string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for call, count := range l.calls[route] {
		if count >= minCalls && count >= minCallsPerRun*l.runs[route] {
			list = append(list, call)
		}
	}
	return list
}
