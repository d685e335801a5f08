package filterer

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/configurer"
)

// responseGracePeriod is how long after the deadline the daemon still waits for the
// response, since a server that stops processing a request at its deadline sends the
// response only then.
const responseGracePeriod = 150 * time.Millisecond

type classify struct {
	deps       *Dependencies
	configurer *configurer.Configurer
	splitter   *trafficSplitter
}

func newClassify(deps *Dependencies) catkinrun.Filter {
	return &classify{deps: deps, configurer: deps.Configurer, splitter: newTrafficSplitter()}
}

// Process matches the route, fills the envelope from the configuration and sets the
// deadline.
func (f *classify) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	snapshot := f.configurer.Snapshot()
	if snapshot.Version() == 0 {
		return refuseTemporarily(catkinrun.ReasonStale, "the daemon has no configuration yet")
	}
	r, ok := snapshot.Match(c.Domain, c.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, catkinrun.ReasonRoute, "no route for "+c.Domain+c.URL.Path)
	}
	c.Route = r.Route
	e := &c.Envelope
	e.EntryAddress = f.deps.Self.Peer
	e.Caller, c.ServiceAt = f.deps.Registrar.Service()
	e.Version = snapshot.Version()
	e.Route = r.Name
	e.Priority, e.TeamPriority = r.Route.Priority, r.Route.Priority
	e.Idempotent = r.Route.Idempotent
	e.Service = f.splitter.choose(r.Name, r.Route.Targets)
	timeLeft := time.Duration(r.Route.Timeout)
	if c.TimeLeft > 0 {
		timeLeft = min(timeLeft, c.TimeLeft)
	}
	c.Deadline = c.StartedAt.Add(timeLeft)
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(f.deps.Clock.Now())+responseGracePeriod)
	return cancelAfterResponse(ctx, cancel, c, next)
}

// trafficSplitter divides the requests of each route among its services by weight.
type trafficSplitter struct {
	mu     sync.Mutex
	splits map[string]split // by route
}

// split is the state of one route's division.
type split struct {
	targets []catkinrun.Target
	credits []float64 // number of requests due to each target
}

func newTrafficSplitter() *trafficSplitter {
	return &trafficSplitter{splits: make(map[string]split)}
}

// choose returns the service to which most requests are due (smooth weighted round-robin),
// so that even short sequences of requests are divided close to the weights.
func (s *trafficSplitter) choose(route string, targets []catkinrun.Target) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	sum := 0.0
	for _, t := range targets {
		sum += t.Weight
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.splits[route]
	if !slices.Equal(state.targets, targets) {
		state = split{targets: targets, credits: make([]float64, len(targets))}
		s.splits[route] = state
	}
	credits := state.credits
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
