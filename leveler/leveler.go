// Package leveler sheds new requests at the entry daemon when backend servers that they
// would reach are overloaded. Each response of a route carries the pressure of these
// servers: for each class, the fraction of new requests that should not be sent.
package leveler

import (
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// pressureSmoothing is the weight of a response's pressure in the mean of the route, so
	// that about the last ten responses, from several servers, count.
	pressureSmoothing = 0.15
	// holdInterval is how long a pressure applies in full after the last response.
	holdInterval = 500 * time.Millisecond
	// decayPerSecond is the amount by which a pressure falls each second after holdInterval,
	// as a fraction of all requests, so that a few requests probe whether the servers have
	// spare capacity again.
	decayPerSecond = 0.4
	// minPressure is the least pressure that sheds requests; a lower one counts as zero.
	minPressure = 0.02
)

// routePressure is the mean pressure of a route at the time of its last response.
type routePressure struct {
	mean      catkinrun.Pressure
	updatedAt time.Time
}

// Leveler holds the pressures of the routes. It is safe for concurrent use.
type Leveler struct {
	clock  catkinrun.Clock
	random func() float64

	mu     sync.Mutex
	routes map[string]routePressure
}

// New returns a leveler without any pressure. random returns numbers from 0 to 1.
func New(clock catkinrun.Clock, random func() float64) *Leveler {
	return &Leveler{clock: clock, random: random, routes: make(map[string]routePressure)}
}

// Set adds the pressure that a response reported to the mean of its route.
func (l *Leveler) Set(route string, pressure catkinrun.Pressure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	mean := l.pressureLocked(route, now)
	for class := range mean {
		mean[class] += pressureSmoothing * (pressure[class] - mean[class])
	}
	l.routes[route] = routePressure{mean: mean, updatedAt: now}
}

// Pressure returns the route's pressure at present, zero if none is known.
func (l *Leveler) Pressure(route string) catkinrun.Pressure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pressureLocked(route, l.clock.Now())
}

func (l *Leveler) pressureLocked(route string, now time.Time) catkinrun.Pressure {
	r := l.routes[route]
	decaying := max(0, now.Sub(r.updatedAt)-holdInterval)
	if decaying > 0 {
		for class := range r.mean {
			r.mean[class] = max(0, r.mean[class]-decayPerSecond*decaying.Seconds())
		}
	}
	return r.mean
}

// Refuses decides whether to shed a new request of a class. pressure is the one that the
// decision is based on.
func (l *Leveler) Refuses(route string, class int) (refused bool, pressure float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pressure = l.pressureLocked(route, l.clock.Now())[class]
	if pressure < minPressure {
		return false, 0
	}
	return l.random() < pressure, pressure
}
