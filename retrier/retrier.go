// Package retrier decides whether a failed attempt may be made again: only when
// that cannot run a request twice, within the allowance of the request's whole
// call tree, and within a share of each service's traffic.
package retrier

import (
	"sync"

	"github.com/catkinrun/catkinrun"
)

const (
	// retryRatio is the share of a service's requests that may be retries.
	retryRatio = 0.1
	// reserve is the number of retries at hand for a service with little traffic.
	reserve = 10
)

// Budget bounds the ratio of retries for each destination service.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// New returns a budget with its reserve for every service.
func New() *Budget {
	return &Budget{tokens: make(map[string]float64)}
}

// Deposit records a first attempt.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.leftLocked(service)+retryRatio, reserve)
}

// Spend takes one retry; it reports false if the service's budget is spent.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.leftLocked(service)
	if left < 1 {
		return false
	}
	b.tokens[service] = left - 1
	return true
}

func (b *Budget) leftLocked(service string) float64 {
	left, ok := b.tokens[service]
	if !ok {
		return reserve
	}
	return left
}

// Allowed reports whether a call may be sent again after a refusal. A request
// that may have run is sent again only if its route is idempotent. A request that one
// server sheds may try one other, since load is never quite even.
func Allowed(c *catkinrun.Call, r *catkinrun.Refusal) bool {
	if c.Stream != nil || c.Envelope.Allowance < 1 {
		return false
	}
	switch r.Reason {
	case catkinrun.ReasonUnreachable, catkinrun.ReasonBroken:
		return r.Outcome == catkinrun.NotRun || c.Envelope.Idempotent
	case catkinrun.ReasonOverload:
		return len(c.Tried) == 0 && c.Target != ""
	case catkinrun.ReasonLeaving, catkinrun.ReasonStale, catkinrun.ReasonNotOwner, catkinrun.ReasonNoServer:
		return r.Outcome == catkinrun.NotRun
	}
	return false
}
