package retrier

import (
	"sync"
	"time"
)

const (
	// meanWeight and spreadWeight weigh one more time against those so far, and spreads is
	// the number of mean deviations above the mean that is still usual: as RFC 6298 has it
	// for retransmission.
	meanWeight   = 0.125
	spreadWeight = 0.25
	spreads      = 4
	// leastPart is the part of the objective for which any answer is waited for: before, a
	// second attempt could hardly make the objective more likely.
	leastPart = 0.25
)

// Patience knows how long answers usually take. It is safe for concurrent use.
type Patience struct {
	mu     sync.Mutex
	routes map[string]usual
}

type usual struct {
	mean, spread time.Duration
}

// NewPatience returns a patience that knows nothing.
func NewPatience() *Patience { return &Patience{routes: make(map[string]usual)} }

// Took notes how long an answer of the route took.
func (p *Patience) Took(route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.routes[route]
	if !ok {
		u = usual{mean: took, spread: took / 2}
	}
	difference := took - u.mean
	u.mean += time.Duration(meanWeight * float64(difference))
	u.spread += time.Duration(spreadWeight * float64(difference.Abs()-u.spread))
	p.routes[route] = u
}

// Limit returns the time after which an answer is unusually late, at most the objective;
// ok is false if nothing is known of the route.
func (p *Patience) Limit(route string, objective time.Duration) (limit time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.routes[route]
	limit = max(u.mean+spreads*u.spread, time.Duration(leastPart*float64(objective)))
	return min(limit, objective), ok
}
