// Package retrier decides whether a request may be sent to one more backend server:
// only when that cannot run it twice, within its route's attempts and within the budget
// of the server.
package retrier

import (
	"sync"

	"github.com/catkinrun/catkinrun"
)

const (
	// earned is the part of a server's first arrivals that repeats may add, with those that
	// runs bring which are repeats themselves: below the bound of 0.2, since some calls are
	// taken for another run's.
	earned = 0.16
	// earnedCalling is the part for repeats of requests that make calls. Each of their calls
	// is a repeat at the server called, so three levels of them leave a quarter of the above
	// to the last.
	earnedCalling = 0.04
	// reservePart is the part of the bound's extra repeats that all servers of a service
	// hold together, so that a window that begins with full reserves stays inside the bound.
	reservePart = 0.5
)

// Budget bounds the repeats that reach the server beside this daemon. All requests for
// the server pass here, so that the servers' bounds make up the service's without a word
// between daemons.
type Budget struct {
	extra   float64 // repeats that the bound allows beyond the ratio, over all servers
	servers func() int

	mu      sync.Mutex
	all     float64 // repeats that may come
	calling float64 // of them those of requests that make calls
}

// New returns a budget. extra is the bound's allowance per window beyond its ratio,
// and servers counts the servers that share it.
func New(extra float64, servers func() int) *Budget {
	return &Budget{extra: extra, servers: servers}
}

// Admit counts a request that is about to reach the server and reports whether it may.
// calls tells whether requests of its route make calls.
func (b *Budget) Admit(e catkinrun.Envelope, calls bool) bool {
	reserve := max(1, reservePart*b.extra/float64(max(1, b.servers())))
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case e.Inherited && !e.Repeat: // its refusal would waste the run that makes it
		b.all = max(b.all-1, -reserve)
	case !e.Repeat:
		b.all = min(b.all+earned, reserve)
		b.calling = min(b.calling+earnedCalling, reserve)
	case b.all < 1 || calls && b.calling < 1:
		return false
	default:
		b.all--
		if calls {
			b.calling--
		}
	}
	return true
}

// hostsPerRequest bounds the hosts that one request is offered to while none of their
// servers is reached.
const hostsPerRequest = 3

// Repeatable reports whether a refused request may be offered once more, and whether
// that counts as a repeat because a server has been reached. reached is the number of
// servers that the request has been sent to.
func Repeatable(c *catkinrun.Call, r *catkinrun.Refusal, reached int) (allowed, counted bool) {
	if c.Stream != nil {
		return false, false
	}
	if r.Outcome == catkinrun.NotRun && !r.Reached {
		return otherHostMayHelp(r) && len(c.Tried) < hostsPerRequest, false
	}
	if r.Outcome != catkinrun.NotRun && !c.Envelope.Idempotent || r.Reason == catkinrun.ReasonDeadline {
		return false, false
	}
	return reached < c.Route.Attempts, true
}

func otherHostMayHelp(r *catkinrun.Refusal) bool {
	switch r.Reason {
	case catkinrun.ReasonUnreachable, catkinrun.ReasonClosed, catkinrun.ReasonLeaving, catkinrun.ReasonOverload, catkinrun.ReasonStale:
		return true
	}
	return false
}
