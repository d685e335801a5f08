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
	// fresh is how long a level counts in full without being confirmed.
	fresh = 300 * time.Millisecond
	// decay is the number of ranks by which it falls each second after that, so that a
	// few requests find out whether the servers have recovered.
	decay = 50
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
	l.routes[route] = reading{level: level, at: l.clock.Now()}
}

// Level returns the route's level now, 0 if none is known.
func (l *Leveler) Level(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok {
		return 0
	}
	age := l.clock.Now().Sub(r.at) - fresh
	if age <= 0 {
		return r.level
	}
	return fall(r.level, int(age.Seconds()*decay)+1)
}

// fall lowers a level by so many ranks of the classes that teams inside their fair
// share have; the others are passed over at once.
func fall(level, ranks int) int {
	for level > 0 && ranks > 0 {
		fair := level%catkinrun.RanksPerPriority - (catkinrun.RanksPerPriority - catkinrun.RanksPerExcess)
		if level%catkinrun.RanksPerPriority == 0 {
			fair = catkinrun.RanksPerExcess
		}
		if fair > ranks {
			return level - ranks
		}
		ranks -= max(0, fair)
		level = (level - 1) / catkinrun.RanksPerPriority * catkinrun.RanksPerPriority
	}
	return max(0, level)
}
