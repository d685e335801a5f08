// Package shedder sheds new requests at the entry daemon when backend servers that they
// would reach are overloaded. Each response of a route carries the pressure of these
// servers: for each class, the fraction of new requests that should be refused.
package shedder

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

// Shedder decides which new requests to shed by the pressures of their routes. It is safe for
// concurrent use.
type Shedder struct {
	clock  catkinrun.Clock
	random func() float64

	mu     sync.Mutex
	routes map[string]routePressure
}

// New returns a shedder without any pressure. random returns numbers from 0 to 1.
func New(clock catkinrun.Clock, random func() float64) *Shedder {
	return &Shedder{clock: clock, random: random, routes: make(map[string]routePressure)}
}

// RecordPressure adds the pressure that a response reported to the mean of its route.
func (s *Shedder) RecordPressure(route string, pressure catkinrun.Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	mean := s.pressureLocked(route, now)
	for class := range mean {
		mean[class] += pressureSmoothing * (pressure[class] - mean[class])
	}
	s.routes[route] = routePressure{mean: mean, updatedAt: now}
}

// Pressure returns the route's current pressure, zero if none is known.
func (s *Shedder) Pressure(route string) catkinrun.Pressure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pressureLocked(route, s.clock.Now())
}

func (s *Shedder) pressureLocked(route string, now time.Time) catkinrun.Pressure {
	r := s.routes[route]
	decaying := max(0, now.Sub(r.updatedAt)-holdInterval)
	if decaying > 0 {
		for class := range r.mean {
			r.mean[class] = max(0, r.mean[class]-decayPerSecond*decaying.Seconds())
		}
	}
	return r.mean
}

// ShouldShed decides whether to shed a new request of a class. pressure is the value on
// which the decision is based.
func (s *Shedder) ShouldShed(route string, class int) (shed bool, pressure float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pressure = s.pressureLocked(route, s.clock.Now())[class]
	if pressure < minPressure {
		return false, 0
	}
	return s.random() < pressure, pressure
}
