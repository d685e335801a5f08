package filterer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/configurer"
)

// answerGrace is how long after its deadline an answer is still waited for, since a
// server that stops at the deadline says so then.
const answerGrace = 150 * time.Millisecond

type classify struct {
	parts      *Parts
	configurer *configurer.Configurer
	splits     splits
}

func newClassify(p *Parts) catkinrun.Filter {
	return &classify{parts: p, configurer: p.Configurer, splits: splits{credits: make(map[string][]float64)}}
}

// Process finds the route and fills the envelope with what the configuration says.
func (f *classify) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	snapshot := f.configurer.Snapshot()
	if snapshot.Version() == 0 {
		return refuseLater(catkinrun.ReasonStale, "no configuration is known yet")
	}
	r, ok := snapshot.Match(c.Domain, c.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, catkinrun.ReasonRoute, "no route for "+c.Domain+c.URL.Path)
	}
	c.Route = r.Route
	e := &c.Envelope
	e.Entry = f.parts.Self.Peer
	e.Caller = f.callerService()
	e.Version = snapshot.Version()
	e.Route = r.Name
	e.Priority, e.Urgency = r.Route.Priority, r.Route.Priority
	e.Idempotent = r.Route.Idempotent
	e.Service = f.splits.choose(r.Name, r.Route.Targets)
	timeLeft := time.Duration(r.Route.Timeout)
	if c.TimeLeft > 0 {
		timeLeft = min(timeLeft, c.TimeLeft)
	}
	c.Deadline = c.StartedAt.Add(timeLeft)
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(f.parts.Clock.Now())+answerGrace)
	return until(ctx, cancel, c, next)
}

// callerService names the service of this host.
func (f *classify) callerService() string {
	if server, _ := f.parts.Registrar.Server(); server.Service != "" {
		return server.Service
	}
	return f.parts.Service
}

// splits divides the requests of each route among its services by their weights.
type splits struct {
	mu      sync.Mutex
	credits map[string][]float64 // by route: what each service is owed, in requests
}

// choose returns the service that is owed most, so that any run of requests is divided
// as evenly as whole requests can be.
func (s *splits) choose(route string, targets []catkinrun.Weighted) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	sum := 0.0
	for _, t := range targets {
		sum += t.Weight
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[route]
	if len(credits) != len(targets) {
		credits = make([]float64, len(targets))
		s.credits[route] = credits
	}
	best := 0
	for i, t := range targets {
		credits[i] += t.Weight / sum
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best]--
	return targets[best].Service
}
