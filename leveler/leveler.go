// Package leveler refuses new requests at the entry for the sake of servers further
// down that are short of room. Each answer of a route brings back the pressure on its
// way: for each class the part of the new requests that should not be sent.
package leveler

import (
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// readingWeight weighs one more answer's pressure against the mean of the route, so
	// that about the last ten answers, of several servers, count.
	readingWeight = 0.15
	// fresh is how long a pressure counts in full without being confirmed.
	fresh = 500 * time.Millisecond
	// fall is the part of all requests by which an unconfirmed pressure falls each second,
	// so that a few requests find out whether the servers have room again.
	fall = 0.4
	// slight is the pressure below which a route counts as free.
	slight = 0.02
)

type reading struct {
	pressure catkinrun.Pressure
	at       time.Time
}

// Leveler holds the pressures. It is safe for concurrent use.
type Leveler struct {
	clock  catkinrun.Clock
	random func() float64

	mu     sync.Mutex
	routes map[string]reading
}

// New returns a leveler that knows no pressure. random returns numbers from 0 to 1.
func New(clock catkinrun.Clock, random func() float64) *Leveler {
	return &Leveler{clock: clock, random: random, routes: make(map[string]reading)}
}

// Set notes the pressure that an answer of the route brought back.
func (l *Leveler) Set(route string, pressure catkinrun.Pressure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	mean := l.pressureLocked(route, now)
	for class := range mean {
		mean[class] += readingWeight * (pressure[class] - mean[class])
	}
	l.routes[route] = reading{pressure: mean, at: now}
}

// Pressure returns the route's pressure now, none if it is not known.
func (l *Leveler) Pressure(route string) catkinrun.Pressure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pressureLocked(route, l.clock.Now())
}

func (l *Leveler) pressureLocked(route string, now time.Time) catkinrun.Pressure {
	r := l.routes[route]
	stale := max(0, now.Sub(r.at)-fresh)
	if stale > 0 {
		for class := range r.pressure {
			r.pressure[class] = max(0, r.pressure[class]-fall*stale.Seconds())
		}
	}
	return r.pressure
}

// Refuses decides on a new request of a class, and returns the pressure that it rests on.
func (l *Leveler) Refuses(route string, class int) (refused bool, pressure float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pressure = l.pressureLocked(route, l.clock.Now())[class]
	if pressure < slight {
		return false, 0
	}
	return l.random() < pressure, pressure
}
