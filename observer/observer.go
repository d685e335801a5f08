// Package observer keeps what backend servers state about themselves in their responses: how many
// requests a second they take from all hosts together, and that they are leaving.
//
// A daemon keeps this for each host whose responses it has passed on to its callers. It answers
// two faults: the daemon beside a server that names a limit restarts, and the daemon beside a leaving
// server restarts or cannot write to the store. In both, the entry daemons still know, and tell the
// serving daemon with each request.
package observer

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// limitHold is how long a limit holds after the last response that named it, while other
	// responses name none: responses may overtake each other, and a damaged one may lack it.
	limitHold = time.Second
	// minLoggedChange is the least relative change of a limit that is logged.
	minLoggedChange = 0.2
)

// Observer keeps the last statements of the servers beside each host's daemon. It is safe for
// concurrent use.
type Observer struct {
	clock catkinrun.Clock
	log   logrus.FieldLogger

	mu      sync.Mutex
	servers map[string]statement // by host
}

// statement is what one server has stated.
type statement struct {
	server       string // instance ID
	limited      bool
	limit        float64 // requests per second
	limitAt      time.Time
	leaving      bool
	leavingSince time.Time
	loggedLimit  float64
}

// New returns an observer that has seen no response.
func New(clock catkinrun.Clock, log logrus.FieldLogger) *Observer {
	return &Observer{clock: clock, log: log, servers: make(map[string]statement)}
}

// Record records what a response of the server beside a host's daemon stated.
func (o *Observer) Record(host, server string, c catkinrun.Condition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, known := o.servers[host]
	if server == "" || !known && c == (catkinrun.Condition{}) {
		return
	}
	now := o.clock.Now()
	if s.server != server {
		s = statement{server: server}
	}
	switch {
	case c.Limited:
		s.limited, s.limit, s.limitAt = true, c.Limit, now
	case now.Sub(s.limitAt) >= limitHold:
		s.limited, s.limit = false, 0
	}
	if c.Leaving && !s.leaving {
		s.leaving, s.leavingSince = true, now
		o.log.WithFields(logrus.Fields{"host": host, "server": server}).Info("observer: server is leaving")
	}
	o.logLimit(host, &s)
	if !s.limited && !s.leaving {
		delete(o.servers, host)
		return
	}
	o.servers[host] = s
}

// logLimit logs a limit that is new, has changed or has been lifted.
func (o *Observer) logLimit(host string, s *statement) {
	if math.Abs(s.limit-s.loggedLimit) <= minLoggedChange*max(s.limit, s.loggedLimit) {
		return
	}
	o.log.WithFields(logrus.Fields{"host": host, "server": s.server, "limited": s.limited, "limit": s.limit, "before": s.loggedLimit}).
		Info("observer: limit of a server changed")
	s.loggedLimit = s.limit
}

// Limits returns the limits in requests per second that are known, by host.
func (o *Observer) Limits() map[string]float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	limits := make(map[string]float64)
	for host, s := range o.servers {
		if s.limited {
			limits[host] = s.limit
		}
	}
	return limits
}
