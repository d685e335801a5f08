// Package learner finds out which routes' requests make which calls. A backend server
// says nothing of it, but a call ends at the deadline of the request that it is made
// for. So a call whose deadline is that of the running requests of just one route was
// made for that route.
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
	running map[int64]map[string]int // routes of running requests by deadline
	runs    map[string]float64       // by route
	calls   map[string]map[string]float64
	agedAt  time.Time
}

// New returns a learner that knows no call.
func New() *Learner {
	return &Learner{
		running: make(map[int64]map[string]int), runs: make(map[string]float64), calls: make(map[string]map[string]float64),
	}
}

func slot(deadline time.Time) int64 { return deadline.UnixNano() / int64(grain) }

// Begin notes a request that the server runs until deadline. The returned function
// ends it.
func (l *Learner) Begin(route string, deadline time.Time) (end func()) {
	at := slot(deadline)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[route]++
	if l.running[at] == nil {
		l.running[at] = make(map[string]int)
	}
	l.running[at][route]++
	return func() { l.end(route, at) }
}

func (l *Learner) end(route string, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	routes := l.running[at]
	if routes[route]--; routes[route] <= 0 {
		delete(routes, route)
	}
	if len(routes) == 0 {
		delete(l.running, at)
	}
}

// Called notes a call that the server makes and that ends at deadline.
func (l *Learner) Called(call string, deadline, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ageLocked(now)
	parent := ""
	for at := slot(deadline) - 1; at <= slot(deadline)+1; at++ {
		for route := range l.running[at] {
			if parent != "" && parent != route {
				return // it may belong to either
			}
			parent = route
		}
	}
	if parent == "" {
		return
	}
	if l.calls[parent] == nil {
		l.calls[parent] = make(map[string]float64)
	}
	l.calls[parent][call]++
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
