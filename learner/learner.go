// Package learner finds out which routes' requests make which calls. A backend server
// says nothing of it, but a call ends at the deadline of the request that it is made
// for, or, if that is far off, a fixed time after that request's start. So a call whose
// deadline fits the running requests of just one route was made for that route.
package learner

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// grain is the precision with which deadlines are compared: they are told in whole
	// milliseconds, and a call takes about one to arrive.
	grain = 3 * time.Millisecond
	// enough is the number of calls after which a route is known to make them.
	enough = 3
	// rareShare is the number of calls per run below which a call is not counted, since
	// some deadlines are equal by chance.
	rareShare = 0.05
	// memory is the time after which old evidence counts half.
	memory = 10 * time.Second
)

// Learner watches one backend server. It is safe for concurrent use.
type Learner struct {
	mu      sync.Mutex
	ends    index                    // running requests by deadline
	starts  index                    // and by start
	longest map[string]time.Duration // the most time that a call has had
	runs    map[string]float64       // by route
	calls   map[string]map[string]float64
	agedAt  time.Time
}

// Run is what is known of a running request that may make calls.
type Run struct {
	Route  string
	Class  int
	Weight float64 // as in its envelope
	Repeat bool    // another run of the request may have been begun before
}

// index finds running requests by a time.
type index map[int64][]*Run

func slot(t time.Time) int64 { return t.UnixNano() / int64(grain) }

func (x index) add(t time.Time, r *Run) {
	x[slot(t)] = append(x[slot(t)], r)
}

func (x index) remove(t time.Time, r *Run) {
	at := slot(t)
	if i := slices.Index(x[at], r); i >= 0 {
		x[at] = slices.Delete(x[at], i, i+1)
	}
	if len(x[at]) == 0 {
		delete(x, at)
	}
}

// near adds the requests at about a time to those found.
func (x index) near(t time.Time, found []*Run) []*Run {
	for at := slot(t) - 1; at <= slot(t)+1; at++ {
		found = append(found, x[at]...)
	}
	return found
}

// New returns a learner that knows no call.
func New() *Learner {
	return &Learner{
		ends: make(index), starts: make(index), longest: make(map[string]time.Duration),
		runs: make(map[string]float64), calls: make(map[string]map[string]float64),
	}
}

// Begin notes a request that the server runs from start until deadline. The returned
// function ends it.
func (l *Learner) Begin(r Run, start, deadline time.Time) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Route]++
	l.ends.add(deadline, &r)
	l.starts.add(start, &r)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ends.remove(deadline, &r)
		l.starts.remove(start, &r)
	}
}

// Called notes a call that the server makes now, with so much time left. It returns the
// request that the call is most likely made for, without a class if none fits.
func (l *Learner) Called(call string, now time.Time, left time.Duration) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ageLocked(now)
	l.longest[call] = max(l.longest[call], left)
	found := l.ends.near(now.Add(left), nil)
	found = l.starts.near(now.Add(left-l.longest[call]), found)
	l.learnLocked(call, found)
	return likeliest(found)
}

// learnLocked notes that a route makes a call, if only requests of one route fit.
func (l *Learner) learnLocked(call string, found []*Run) {
	if len(found) == 0 {
		return
	}
	route := found[0].Route
	if slices.ContainsFunc(found, func(r *Run) bool { return r.Route != route }) {
		return // it may belong to any of them
	}
	if l.calls[route] == nil {
		l.calls[route] = make(map[string]float64)
	}
	l.calls[route][call]++
}

// likeliest returns the request found most often, with the class that most of them have
// and the mean weight of that class.
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

// ageLocked lets old evidence fade, so that a changed program is learned anew.
func (l *Learner) ageLocked(now time.Time) {
	if l.agedAt.IsZero() {
		l.agedAt = now
	}
	if now.Sub(l.agedAt) < memory {
		return
	}
	l.agedAt = now
	for route := range l.runs {
		l.runs[route] /= 2
	}
	clear(l.longest)
	for _, calls := range l.calls {
		for call := range calls {
			calls[call] /= 2
		}
	}
}

// Calls returns the routes of the calls that a route's requests make.
func (l *Learner) Calls(route string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for call, count := range l.calls[route] {
		if count >= enough && count >= rareShare*l.runs[route] {
			list = append(list, call)
		}
	}
	return list
}
