// Package leveler remembers, per route, the admission level that answers brought
// back, so that a request which would fail further down is refused before any work
// is done for it.
package leveler

import (
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

// life is how long a level counts without being confirmed by another answer.
const life = time.Second

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
	l.routes[route] = reading{level: level, at: l.clock.Now()}
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
