// Package router chooses the backend server for a request: the least loaded one, with a
// preference for the daemon's own availability zone. Servers that are slow for the
// request's objective or that fail are avoided in proportion, and hosts that cannot be
// reached are ejected for a time.
package router

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// zonePenalty is the load added to a server in another availability zone: traffic
	// between zones is charged, and each crossing adds over a millisecond.
	zonePenalty = 0.3
	// failurePenalty is the load added to a server that fails every request; one that fails
	// a third of them is used when the others are two thirds full.
	failurePenalty = 2.0
	// failureSmoothing is the weight of a new result in a server's failure fraction.
	failureSmoothing = 0.1
	// failureDecayTime is the time constant with which a server's failure fraction decays
	// while it gets no requests, so that it is tried again.
	failureDecayTime = 3 * time.Second
	// latencyPenalty is the load added to a server whose mean latency is the whole
	// objective: of two half full servers, one that takes a fifth of the objective is
	// preferred to one that takes three fifths until it is fuller by a fifth.
	latencyPenalty = 0.5
	// latencySmoothing is the weight of a new response's latency in the mean.
	latencySmoothing = 0.1
	// latencyDecayTime is the time constant with which the penalty of a mean latency decays
	// while the server gets no requests of the route.
	latencyDecayTime = 3 * time.Second
	// minFailureFraction is the failure fraction below which failures are ignored.
	minFailureFraction = 0.01
	// loadReportTTL is how long a load that a server reported is used.
	loadReportTTL = time.Second
	// minEjection and maxEjection bound the time for which a host that cannot be reached is
	// ejected; it doubles with each failure. A host that is reachable again is used within
	// maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// leavingEjection is how long a host that accepts no new requests is ejected. Afterwards
	// it can be chosen again, unless its member row shows by then that it accepts none.
	leavingEjection = time.Second
	// sampleSize is the number of servers that are compared for one request.
	sampleSize = 6
	// overloadedLoad is the load assumed for a server that refused for overload.
	overloadedLoad = 1.0
)

// Members lists the hosts that serve a service.
type Members interface {
	Serving(service string) []catkinrun.Member
}

// server is the state that this daemon keeps of one host.
type server struct {
	incarnation     string
	inFlight        int     // requests from this daemon
	reportedLoad    float64 // load in its last response, per slot of its concurrency limit
	reportedAt      time.Time
	failureFraction float64 // at failuresAt, decays since
	failuresAt      time.Time
	ejection        time.Duration // length of the last ejection of an unreachable host, 0 once it has served a request
	ejectedUntil    time.Time
	latencies       map[string]latency // by route
}

// latency is the mean time that a server takes to respond to a route's requests.
type latency struct {
	mean      time.Duration
	updatedAt time.Time
}

// Router chooses servers. It is safe for concurrent use.
type Router struct {
	members Members
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	zone    string
	random  func() float64

	mu      sync.Mutex
	servers map[string]*server
}

// New returns a router for a daemon in a zone. random returns numbers from 0 to 1.
func New(members Members, clock catkinrun.Clock, log logrus.FieldLogger, zone string, random func() float64) *Router {
	return &Router{members: members, clock: clock, log: log, zone: zone, random: random, servers: make(map[string]*server)}
}

// Choice is a chosen host and the figures behind the choice.
type Choice struct {
	Member     catkinrun.Member
	Score      float64 // its load and penalties
	Candidates int     // number of hosts that serve the service
}

// Criteria hold what the choice for a request depends on.
type Criteria struct {
	Service   string
	Route     string
	Objective time.Duration // latency objective
	Tried     []string      // hosts of its earlier attempts
}

// Choose picks a host that has not been tried. ok is false if there is none.
func (r *Router) Choose(c Criteria) (choice Choice, ok bool) {
	candidates := r.members.Serving(c.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	offset := int(r.random() * float64(len(candidates)))
	best := math.Inf(1)
	compared := 0
	for i := range candidates {
		m := candidates[(offset+i)%len(candidates)]
		if slices.Contains(c.Tried, m.Host) {
			continue
		}
		s := r.serverLocked(m.Host, m.Incarnation)
		if now.Before(s.ejectedUntil) {
			continue
		}
		if score := r.scoreLocked(s, m, c, now); score < best {
			best = score
			choice.Member = m
		}
		compared++
		if compared == sampleSize {
			break
		}
	}
	choice.Score, choice.Candidates = best, len(candidates)
	if compared > 0 {
		return choice, true
	}
	return r.lastResortLocked(candidates, c.Tried)
}

// lastResortLocked returns the host whose ejection ends first, for a request for which all
// untried hosts are ejected.
func (r *Router) lastResortLocked(candidates []catkinrun.Member, tried []string) (choice Choice, ok bool) {
	var until time.Time
	for _, m := range candidates {
		s := r.serverLocked(m.Host, m.Incarnation)
		if slices.Contains(tried, m.Host) || ok && !s.ejectedUntil.Before(until) {
			continue
		}
		choice = Choice{Member: m, Score: math.Inf(1), Candidates: len(candidates)}
		until, ok = s.ejectedUntil, true
	}
	return choice, ok
}

func (r *Router) scoreLocked(s *server, m catkinrun.Member, c Criteria, now time.Time) float64 {
	score := float64(s.inFlight) / float64(m.Server.Slots)
	if now.Sub(s.reportedAt) < loadReportTTL {
		score = max(score, s.reportedLoad)
	}
	if m.Zone != r.zone {
		score += zonePenalty
	}
	if t, ok := s.latencies[c.Route]; ok && c.Objective > 0 {
		fraction := min(1, t.mean.Seconds()/c.Objective.Seconds())
		score += latencyPenalty * fraction * math.Exp(-now.Sub(t.updatedAt).Seconds()/latencyDecayTime.Seconds())
	}
	failures := s.failureFractionAt(now)
	if failures < minFailureFraction {
		return score // otherwise a server that failed once would lose every later tie
	}
	return score + failurePenalty*failures
}

// RecordStart counts a request to the host as in flight.
func (r *Router) RecordStart(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.servers[host]; ok {
		s.inFlight++
	}
}

// Result is how a request to a host ended.
type Result int

// The results of requests.
const (
	Served      Result = iota
	Failed             // the server failed or rejected the request, or its response is unusable
	Overloaded         // its daemon refused for overload
	Leaving            // it accepts no new requests
	Unreachable        // the daemon or its server could not be reached
	Unrelated          // the request ended for a reason unrelated to the server
)

// RecordResult records how a request to the host ended, and the load that the response
// reported; a negative load is unknown.
func (r *Router) RecordResult(host string, result Result, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[host]
	if !ok {
		return
	}
	now := r.clock.Now()
	s.inFlight = max(0, s.inFlight-1)
	if load >= 0 {
		s.reportedLoad, s.reportedAt = load, now
	}
	switch result {
	case Served:
		s.ejection = 0
		s.recordLocked(now, 0)
	case Failed:
		s.recordLocked(now, 1)
	case Overloaded:
		s.reportedLoad, s.reportedAt = max(s.reportedLoad, overloadedLoad), now
	case Leaving:
		s.ejectedUntil = now.Add(leavingEjection)
	case Unreachable:
		s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
		s.ejectedUntil = now.Add(s.ejection)
		r.log.WithFields(logrus.Fields{"host": host, "for": s.ejection.String()}).Info("router: host ejected")
	}
}

// recordLocked adds a result to the failure fraction: 1 for a failure, 0 for a success.
func (s *server) recordLocked(now time.Time, failed float64) {
	fraction := s.failureFractionAt(now)
	s.failureFraction = fraction + failureSmoothing*(failed-fraction)
	s.failuresAt = now
}

// failureFractionAt returns the failure fraction, decayed up to now.
func (s *server) failureFractionAt(now time.Time) float64 {
	return s.failureFraction * math.Exp(-now.Sub(s.failuresAt).Seconds()/failureDecayTime.Seconds())
}

// RecordLatency records how long a host took to respond to a request of a route.
func (r *Router) RecordLatency(host, route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[host]
	if !ok {
		return
	}
	if s.latencies == nil {
		s.latencies = make(map[string]latency)
	}
	mean := took
	if previous, ok := s.latencies[route]; ok {
		mean = previous.mean + time.Duration(latencySmoothing*float64(took-previous.mean))
	}
	s.latencies[route] = latency{mean: mean, updatedAt: r.clock.Now()}
}

// serverLocked returns the state of a host. The state of an earlier incarnation is dropped,
// except for the requests in flight.
func (r *Router) serverLocked(host, incarnation string) *server {
	s, ok := r.servers[host]
	if !ok {
		s = &server{incarnation: incarnation}
		r.servers[host] = s
	}
	if s.incarnation != incarnation {
		*s = server{incarnation: incarnation, inFlight: s.inFlight}
	}
	return s
}
