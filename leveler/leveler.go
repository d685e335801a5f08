// Package leveler remembers, per route, the admission level that answers brought
// back, so that a request which would fail further down is refused before any work
// is done for it.
package leveler

import (
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// life is how long a level counts without being confirmed by another answer.
	life = time.Second
	// hold is how long a lower level does not replace a higher one. The servers of a
	// service have a level each, and a request may meet the strictest.
	hold = 300 * time.Millisecond
)

type reading struct {
	level int
	at    time.Time
}

// Leveler holds the levels.
type Leveler struct {
	clock catkinrun.Clock

	mu     sync.Mutex
	routes map[string]reading
}

// New returns a leveler that knows no level.
func New(clock catkinrun.Clock) *Leveler {
	return &Leveler{clock: clock, routes: make(map[string]reading)}
}

// Set records the level that an answer of the route carried.
func (l *Leveler) Set(route string, level int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	old, ok := l.routes[route]
	if ok && level < old.level && now.Sub(old.at) < hold {
		return
	}
	l.routes[route] = reading{level: level, at: now}
}

// Level returns the route's level, 0 if no answer came lately.
func (l *Leveler) Level(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok || l.clock.Now().Sub(r.at) > life {
		return 0
	}
	return r.level
}
