package screener

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// brokenMemory is how long a request whose connection broke off waits for a proof that the server has
// ended: the server is back within seconds, and then announces another start.
const brokenMemory = 15 * time.Second

// Run is one request on the server beside this daemon.
type Run struct {
	screener    *Screener
	fingerprint catkinrun.Fingerprint
	server      string // its start
	startedAt   time.Time
	brokenAt    time.Time
}

// Begin records that a request is about to be sent to a start of the server.
func (s *Screener) Begin(server string, f catkinrun.Fingerprint) *Run {
	r := &Run{screener: s, fingerprint: f, server: server, startedAt: s.clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.broken {
		if b.server != server { // another start of the server has announced itself
			s.endLocked(b.server)
			break
		}
	}
	return r
}

// Complete records that the server has responded to the request. A response to a request that began
// after others broke off shows that the server has not ended.
func (r *Run) Complete() {
	s := r.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearLocked(r.fingerprint)
	if len(s.broken) > 0 {
		s.broken = slices.DeleteFunc(s.broken, func(b *Run) bool { return b.server == r.server && b.brokenAt.Before(r.startedAt) })
	}
}

// Break records that the connection ended without a response.
func (r *Run) Break() {
	s := r.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	r.brokenAt = s.clock.Now()
	s.broken = slices.DeleteFunc(s.broken, func(b *Run) bool { return r.brokenAt.Sub(b.brokenAt) >= brokenMemory })
	s.broken = append(s.broken, r)
	if s.ended == r.server { // others have shown the end already
		s.endLocked(r.server)
	}
}

// ServerEnded records that a start of the server beside this daemon refuses connections.
func (s *Screener) ServerEnded(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(server)
}

// endLocked reports the requests that broke off on a start of the server which has ended. Those that this
// daemon has seen completed before are not among them.
func (s *Screener) endLocked(server string) {
	var requests catkinrun.Fingerprints
	slices.SortFunc(s.broken, func(a, b *Run) int { return b.startedAt.Compare(a.startedAt) })
	for _, b := range s.broken {
		if b.server == server && b.fingerprint != 0 && !s.completed.has(b.fingerprint, s.clock.Now()) && len(requests) < maxRequests {
			requests = append(requests, b.fingerprint)
		}
	}
	s.broken = slices.DeleteFunc(s.broken, func(b *Run) bool { return b.server == server })
	s.ended = server
	if len(requests) == 0 {
		return
	}
	s.log.WithFields(logrus.Fields{"server": server, "requests": len(requests)}).Warn("screener: server ended while it ran requests")
	s.expireLocked()
	s.addLocked(s.host, catkinrun.Crash{Server: server, Requests: requests})
	s.publishLocked()
}
