// Package leveler refuses new requests at the entry for the sake of servers further
// down that are short of room. Each answer of a route brings back the pressure on its
// way: the part of the new requests that should not be sent. The least urgent ones are
// refused first.
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
	// arrivalWeight weighs one more request against the mix of classes so far.
	arrivalWeight = 0.01
)

type reading struct {
	pressure float64
	at       time.Time
}

// Leveler holds the pressures. It is safe for concurrent use.
type Leveler struct {
	clock  catkinrun.Clock
	random func() float64

	mu     sync.Mutex
	routes map[string]reading
	mix    [catkinrun.ClassCount]float64 // of the requests on routes under pressure, sums to 1
}

// New returns a leveler that knows no pressure. random returns numbers from 0 to 1.
func New(clock catkinrun.Clock, random func() float64) *Leveler {
	return &Leveler{clock: clock, random: random, routes: make(map[string]reading)}
}

// Set notes the pressure that an answer of the route brought back.
func (l *Leveler) Set(route string, pressure float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	mean := l.pressureLocked(route, now)
	l.routes[route] = reading{pressure: mean + readingWeight*(pressure-mean), at: now}
}

// Pressure returns the route's pressure now, 0 if none is known.
func (l *Leveler) Pressure(route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pressureLocked(route, l.clock.Now())
}

func (l *Leveler) pressureLocked(route string, now time.Time) float64 {
	r := l.routes[route]
	stale := max(0, now.Sub(r.at)-fresh)
	return max(0, r.pressure-fall*stale.Seconds())
}

// Refuses decides on a new request of a class, and returns the pressure that it rests on.
func (l *Leveler) Refuses(route string, class int) (refused bool, pressure float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pressure = l.pressureLocked(route, l.clock.Now())
	if pressure < slight {
		return false, pressure
	}
	for i := range l.mix {
		l.mix[i] *= 1 - arrivalWeight
	}
	l.mix[class] += arrivalWeight
	return l.random() < l.partLocked(class, pressure), pressure
}

// partLocked returns the part of a class that is refused: the less urgent classes make
// up for as much of the pressure as they can.
func (l *Leveler) partLocked(class int, pressure float64) float64 {
	sum := 0.0
	for _, part := range l.mix {
		sum += part
	}
	goal := pressure * sum
	for c := len(l.mix) - 1; c > class; c-- {
		goal -= l.mix[c]
	}
	if l.mix[class] <= 0 {
		return 0
	}
	return min(max(0, goal/l.mix[class]), 1)
}
