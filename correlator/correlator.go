// Package correlator infers which routes' requests make which downstream calls. Backend
// servers do not report this, but a call has the deadline of its parent request or, if that
// is far off, a deadline at a fixed time after the parent's start. So a call whose deadline
// fits running requests of only one route is attributed to that route.
package correlator

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// bucketWidth is the precision with which deadlines are compared: they are sent in whole
	// milliseconds, and a call takes about one millisecond to arrive.
	bucketWidth = 3 * time.Millisecond
	// minCalls is the number of calls that must be attributed to a route before the called
	// route counts as one of its downstream routes.
	minCalls = 3
	// minCallsPerRun is the number of such calls per run of the parent's route below which
	// they are ignored, since some deadlines are equal by chance.
	minCallsPerRun = 0.05
	// halfLife is the time after which earlier runs and calls count half.
	halfLife = 10 * time.Second
)

// Correlator attributes the calls of one backend server. It is safe for concurrent use.
type Correlator struct {
	mu          sync.Mutex
	byDeadline  timeIndex                     // running requests
	byStart     timeIndex                     // running requests
	maxTimeLeft map[string]time.Duration      // greatest time left of a call, by its route
	runs        map[string]float64            // by route
	calls       map[string]map[string]float64 // by route of the parent, then of the call
	agedAt      time.Time
}

// RunningRequest describes a running request that may make downstream calls.
type RunningRequest struct {
	Route  string
	Class  int
	Weight float64 // as in its envelope
	Retry  bool    // a retry, or made for one: an earlier run may have started
}

// timeIndex finds running requests by a point in time.
type timeIndex map[int64][]*RunningRequest

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

func (x timeIndex) add(t time.Time, r *RunningRequest) {
	x[bucketOf(t)] = append(x[bucketOf(t)], r)
}

func (x timeIndex) remove(t time.Time, r *RunningRequest) {
	bucket := bucketOf(t)
	if i := slices.Index(x[bucket], r); i >= 0 {
		x[bucket] = slices.Delete(x[bucket], i, i+1)
	}
	if len(x[bucket]) == 0 {
		delete(x, bucket)
	}
}

// appendNear appends the requests in the bucket of t and in the two beside it to found.
func (x timeIndex) appendNear(t time.Time, found []*RunningRequest) []*RunningRequest {
	for bucket := bucketOf(t) - 1; bucket <= bucketOf(t)+1; bucket++ {
		found = append(found, x[bucket]...)
	}
	return found
}

// New returns a correlator without any recorded call.
func New() *Correlator {
	return &Correlator{
		byDeadline: make(timeIndex), byStart: make(timeIndex), maxTimeLeft: make(map[string]time.Duration),
		runs: make(map[string]float64), calls: make(map[string]map[string]float64),
	}
}

// Begin records a request that the server runs from start until deadline at most. The
// returned function records its end.
func (c *Correlator) Begin(r RunningRequest, start, deadline time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Route]++
	c.byDeadline.add(deadline, &r)
	c.byStart.add(start, &r)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.byDeadline.remove(deadline, &r)
		c.byStart.remove(start, &r)
	}
}

// Attribute records a downstream call of the route callRoute that the server makes at now
// with the given time left. It returns the most likely parent request, with class 0 if none
// fits.
func (c *Correlator) Attribute(callRoute string, now time.Time, timeLeft time.Duration) RunningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ageLocked(now)
	c.maxTimeLeft[callRoute] = max(c.maxTimeLeft[callRoute], timeLeft)
	found := c.byDeadline.appendNear(now.Add(timeLeft), nil)
	found = c.byStart.appendNear(now.Add(timeLeft-c.maxTimeLeft[callRoute]), found)
	c.countCallLocked(callRoute, found)
	return likeliest(found)
}

// countCallLocked counts a call for the route of the requests found, if they are all of
// one route.
func (c *Correlator) countCallLocked(callRoute string, found []*RunningRequest) {
	if len(found) == 0 {
		return
	}
	route := found[0].Route
	if slices.ContainsFunc(found, func(r *RunningRequest) bool { return r.Route != route }) {
		return // ambiguous
	}
	if c.calls[route] == nil {
		c.calls[route] = make(map[string]float64)
	}
	c.calls[route][callRoute]++
}

// likeliest returns a request of the class that most of the requests found have, with the
// mean weight of that class.
func likeliest(found []*RunningRequest) RunningRequest {
	if len(found) == 0 {
		return RunningRequest{}
	}
	var counts [catkinrun.ClassCount]int
	best := *found[0] // not the zero value, whose class 0 a found request may have
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

// ageLocked halves the counts and clears the greatest times left, so that the results
// follow a changed server program.
func (c *Correlator) ageLocked(now time.Time) {
	if c.agedAt.IsZero() {
		c.agedAt = now
	}
	if now.Sub(c.agedAt) < halfLife {
		return
	}
	c.agedAt = now
	for route := range c.runs {
		c.runs[route] /= 2
	}
	clear(c.maxTimeLeft)
	for _, calls := range c.calls {
		for callRoute := range calls {
			calls[callRoute] /= 2
		}
	}
}

// DownstreamRoutes returns the routes of the downstream calls that a route's requests make.
func (c *Correlator) DownstreamRoutes(route string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for callRoute, count := range c.calls[route] {
		if count >= minCalls && count >= minCallsPerRun*c.runs[route] {
			list = append(list, callRoute)
		}
	}
	return list
}
