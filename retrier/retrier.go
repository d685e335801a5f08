// Package retrier decides whether a request may be sent to one more backend server:
// only when that cannot run it twice, within its route's attempts and within a budget
// for each service.
package retrier

import (
	"sync"

	"github.com/catkinrun/catkinrun"
)

const (
	// earned is the part of a service's first attempts that may be repeated. A repeat's
	// own calls count as repeats at the services called, so along a chain of five the
	// ratios add up to the bound of 0.2.
	earned = 0.04
	// reservePart is the part of the bound's extra repeats that all hosts hold together,
	// so that a window that begins with full reserves stays inside the bound.
	reservePart = 0.5
)

// Budget bounds the repeats for each service at this daemon.
type Budget struct {
	extra float64 // repeats that the bound allows beyond the ratio, over all hosts
	hosts func() int

	mu     sync.Mutex
	tokens map[string]float64
}

// New returns a budget. extra is the bound's allowance per window beyond its ratio,
// and hosts counts the daemons that share it.
func New(extra float64, hosts func() int) *Budget {
	return &Budget{extra: extra, hosts: hosts, tokens: make(map[string]float64)}
}

// reserve is the most that this daemon saves up for a service.
func (b *Budget) reserve() float64 {
	return max(1, reservePart*b.extra/float64(max(1, b.hosts())))
}

// Deposit records a first attempt.
func (b *Budget) Deposit(service string) {
	reserve := b.reserve()
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.tokens[service]
	if !ok {
		left = reserve
	}
	b.tokens[service] = min(left+earned, reserve)
}

// Spend takes one repeat; it reports false if the service's budget is spent.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
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
