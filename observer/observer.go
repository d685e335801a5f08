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
	"slices"
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
	clock      catkinrun.Clock
	log        logrus.FieldLogger
	drainGrace time.Duration

	mu      sync.Mutex
	servers map[string]statement // by host
}

// statement is what one server has stated.
type statement struct {
	server       string // start of the server
	heard        bool   // by this daemon, not from another one
	limited      bool
	limit        float64 // requests per second
	limitAt      time.Time
	leaving      bool
	leavingSince time.Time
	loggedLimit  float64
}

// New returns an observer that has seen no response. A leaving server may get requests for
// drainGrace if no other serves.
func New(clock catkinrun.Clock, log logrus.FieldLogger, drainGrace time.Duration) *Observer {
	return &Observer{clock: clock, log: log, drainGrace: drainGrace, servers: make(map[string]statement)}
}

// Record records what a response of the server beside a host's daemon stated. server is the start of
// the server; it may be empty if the response stated nothing.
func (o *Observer) Record(host, server string, c catkinrun.Condition) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, known := o.servers[host]
	switch {
	case server == "" && !known:
		return
	case server != "":
		s = o.statementLocked(host, server)
	}
	s.heard = true
	now := o.clock.Now()
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
	o.servers[host] = s
}

// statementLocked returns what is known of a server, nothing if another start of it or another
// server is known at the host.
func (o *Observer) statementLocked(host, server string) statement {
	if s := o.servers[host]; s.server == server {
		return s
	}
	return statement{server: server}
}

// Adopt takes over what another daemon has seen of the server beside a host's daemon, unless this
// daemon has had a response of that server itself.
func (o *Observer) Adopt(host, server string, n *catkinrun.Notice) {
	if n == nil || n.Server != server {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.statementLocked(host, server)
	if s.heard || !n.Limited {
		return
	}
	s.limited, s.limit, s.limitAt = true, n.Limit, o.clock.Now()
	o.logLimit(host, &s)
	o.servers[host] = s
}

// Limit returns the limit in requests per second of the server beside a host's daemon; limited is
// false if it has none.
func (o *Observer) Limit(host, server string) (perSecond float64, limited bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.statementLocked(host, server)
	return s.limit, s.limited
}

// Notice returns what a host's daemon should know of its server, nil if there is nothing.
func (o *Observer) Notice(host string) *catkinrun.Notice {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.servers[host]
	if !s.limited && !s.leaving {
		return nil
	}
	n := &catkinrun.Notice{Server: s.server, Limited: s.limited, Limit: s.limit, Leaving: s.leaving}
	if s.leaving {
		n.LeavingFor = max(0, o.clock.Now().Sub(s.leavingSince))
	}
	return n
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

// Departed reports whether a notice says that a server has been leaving for so long that it gets no
// more requests.
func (o *Observer) Departed(server string, n *catkinrun.Notice) bool {
	return n != nil && n.Leaving && n.Server == server && n.LeavingFor >= o.drainGrace
}

// withoutLeaving returns the members whose server has not stated that it is leaving. If there are
// none, it returns those that may still get requests. It does not modify the list.
func (o *Observer) withoutLeaving(members []catkinrun.Member) []catkinrun.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.ContainsFunc(members, o.isLeavingLocked) {
		return members
	}
	if staying := slices.DeleteFunc(slices.Clone(members), o.isLeavingLocked); len(staying) > 0 {
		return staying
	}
	now := o.clock.Now()
	return slices.DeleteFunc(slices.Clone(members), func(m catkinrun.Member) bool {
		return now.Sub(o.servers[m.Host].leavingSince) >= o.drainGrace
	})
}

// isLeavingLocked reports whether a member's server has stated that it is leaving.
func (o *Observer) isLeavingLocked(m catkinrun.Member) bool {
	s := o.servers[m.Host]
	return s.leaving && m.Server != nil && m.Server.Start() == s.server
}
