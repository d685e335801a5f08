// Package learner finds out which routes' requests make which calls. A backend server
// says nothing of it, but a call ends at the deadline of the request that it is made
// for, or, if that is far off, a fixed time after that request's start. So a call whose
// deadline fits the running requests of just one route was made for that route.
package learner

import (
	"sync"
	"time"
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

// index finds the routes of running requests by a time.
type index map[int64]map[string]int

func slot(t time.Time) int64 { return t.UnixNano() / int64(grain) }

func (x index) add(t time.Time, route string) {
	at := slot(t)
	if x[at] == nil {
		x[at] = make(map[string]int)
	}
	x[at][route]++
}

func (x index) remove(t time.Time, route string) {
	at := slot(t)
	if x[at][route]--; x[at][route] <= 0 {
		delete(x[at], route)
	}
	if len(x[at]) == 0 {
		delete(x, at)
	}
}

// near adds the routes of requests at about a time to a set.
func (x index) near(t time.Time, routes map[string]bool) {
	for at := slot(t) - 1; at <= slot(t)+1; at++ {
		for route := range x[at] {
			routes[route] = true
		}
	}
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
func (l *Learner) Begin(route string, start, deadline time.Time) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[route]++
	l.ends.add(deadline, route)
	l.starts.add(start, route)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ends.remove(deadline, route)
		l.starts.remove(start, route)
	}
}

// Called notes a call that the server makes now, with so much time left.
func (l *Learner) Called(call string, now time.Time, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ageLocked(now)
	l.longest[call] = max(l.longest[call], left)
	parents := make(map[string]bool)
	l.ends.near(now.Add(left), parents)
	l.starts.near(now.Add(left-l.longest[call]), parents)
	if len(parents) != 1 {
		return // it may belong to any of them
	}
	for parent := range parents {
		if l.calls[parent] == nil {
			l.calls[parent] = make(map[string]float64)
		}
		l.calls[parent][call]++
	}
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
