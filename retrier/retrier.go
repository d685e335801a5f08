// Package retrier decides whether a request may be sent to another backend server: only
// if it has not run or is idempotent, within the attempts of its route and within the
// retry budget of the server.
package retrier

import (
	"sync"

	"github.com/catkinrun/catkinrun"
)

const (
	// retryFraction is the number of retries per first attempt that a server may receive.
	// The downstream calls of retries count as retries. The fraction is below the bound of
	// 0.2, since some calls are attributed to the wrong parent request.
	retryFraction = 0.16
	// callingRetryFraction is the fraction for retries of requests that make downstream
	// calls. Each of these calls counts as a retry at the called server, so three levels of
	// such retries leave a quarter of retryFraction to the last level.
	callingRetryFraction = 0.04
	// reserveFraction is the fraction of the bound's extra retries that is divided among the
	// servers of a service as their reserves, so that a window that begins with full
	// reserves stays within the bound.
	reserveFraction = 0.5
)

// Budget limits the retries that reach the server beside this daemon. All requests to the
// server pass through its budget, so the limits of the servers add up to the limit of the
// service without coordination between daemons.
type Budget struct {
	extra   float64 // retries that the bound allows beyond the ratio, over all servers
	servers func() int

	mu               sync.Mutex
	available        float64 // retries that may be admitted now
	availableCalling float64 // the same for retries of requests that make downstream calls
}

// New returns a budget. extra is the number of retries per window that the bound allows
// beyond its ratio, and servers returns the number of servers that share it.
func New(extra float64, servers func() int) *Budget {
	return &Budget{extra: extra, servers: servers}
}

// Admit counts a request that is about to be sent to the server and reports whether the
// budget allows it. calls states whether requests of its route make downstream calls.
func (b *Budget) Admit(e catkinrun.Envelope, calls bool) bool {
	reserve := max(1, reserveFraction*b.extra/float64(max(1, b.servers())))
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case e.FromRetry && !e.Retry: // refusing it would waste its parent's run
		b.available = max(b.available-1, -reserve)
	case !e.Retry:
		b.available = min(b.available+retryFraction, reserve)
		b.availableCalling = min(b.availableCalling+callingRetryFraction, reserve)
	case b.available < 1 || calls && b.availableCalling < 1:
		return false
	default:
		b.available--
		if calls {
			b.availableCalling--
		}
	}
	return true
}

// maxTriedHosts limits the attempts that reach no server: after such an attempt, a request
// is sent to another host only if it had fewer than maxTriedHosts attempts before this one.
const maxTriedHosts = 3

// Retryable reports whether a refused request may be sent to another host, and whether
// that counts as a retry because a server has been reached. reached is the number of
// servers that the request has been sent to.
func Retryable(c *catkinrun.Call, r *catkinrun.Refusal, reached int) (allowed, counted bool) {
	if c.Stream != nil {
		return false, false
	}
	if r.Outcome == catkinrun.OutcomeNotRun && !r.Reached {
		return otherHostMayServe(r) && len(c.Tried) < maxTriedHosts, false
	}
	if r.Outcome != catkinrun.OutcomeNotRun && !c.Envelope.Idempotent || r.Reason == catkinrun.ReasonDeadline {
		return false, false
	}
	return reached < c.Route.Attempts, true
}

func otherHostMayServe(r *catkinrun.Refusal) bool {
	switch r.Reason {
	case catkinrun.ReasonUnreachable, catkinrun.ReasonClosed, catkinrun.ReasonLeaving, catkinrun.ReasonOverload, catkinrun.ReasonStale:
		return true
	}
	return false
}
