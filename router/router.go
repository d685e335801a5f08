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
	// loadDecayTime is the time constant with which a load that a server reported loses its
	// meaning: other daemons send it requests too, and follow the same reports. An older one
	// tells no more than the mean of the servers near it.
	loadDecayTime = 300 * time.Millisecond
	// meanLoadSmoothing is the weight of a report in the mean load of a service in a zone.
	meanLoadSmoothing = 0.05
	// minEjection and maxEjection bound the time for which a host that cannot be reached is
	// ejected; it doubles with each failure. A host that is reachable again is used within
	// maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// leavingEjection is how long a host that accepts no new requests is ejected. Afterwards
	// it can be chosen again, unless its member row shows by then that it accepts none.
	leavingEjection = time.Second
	// sampleSize is the number of servers that are compared for one request.
	sampleSize = 4
	// overloadedLoad is the load assumed for a server that refused for overload.
	overloadedLoad = 1.0
)

// Members lists the hosts that serve a service.
type Members interface {
	Serving(service string) []catkinrun.Member
}

// group is the servers of a service in one zone.
type group struct {
	service, zone string
}

// server is the state that this daemon keeps of one host.
type server struct {
	incarnation     string
	group           group
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

	mu        sync.Mutex
	servers   map[string]*server
	meanLoads map[group]float64
}

// New returns a router for a daemon in a zone. random returns numbers from 0 to 1.
func New(members Members, clock catkinrun.Clock, log logrus.FieldLogger, zone string, random func() float64) *Router {
	return &Router{members: members, clock: clock, log: log, zone: zone, random: random, servers: make(map[string]*server), meanLoads: make(map[group]float64)}
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

// Choose picks a host that has not been tried. ok is false if there is none. It compares a
// random sample, half of it from the daemon's own zone if there are enough servers: daemons
// that all compared the same servers would agree on the same few, and a server near by is one
// whose load a daemon of a large fleet has heard of lately.
func (r *Router) Choose(c Criteria) (choice Choice, ok bool) {
	candidates := r.members.Serving(c.Service)
	near, far := splitByZone(candidates, r.zone)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	choice.Score, choice.Candidates = math.Inf(1), len(candidates)
	nearCount := min(len(near), max(sampleSize/2, sampleSize-len(far)))
	compared := r.compareLocked(&choice, near, nearCount, c, now)
	compared += r.compareLocked(&choice, far, sampleSize-compared, c, now)
	if compared > 0 {
		return choice, true
	}
	return r.lastResortLocked(candidates, c.Tried)
}

// splitByZone returns the members in a zone and those in the others, without copying them: it
// runs for each attempt of a request.
func splitByZone(members []catkinrun.Member, zone string) (near, far []*catkinrun.Member) {
	near, far = make([]*catkinrun.Member, 0, len(members)), make([]*catkinrun.Member, 0, len(members))
	for i := range members {
		if members[i].Zone == zone {
			near = append(near, &members[i])
		} else {
			far = append(far, &members[i])
		}
	}
	return near, far
}

// compareLocked scores up to count random members that can be chosen, and replaces choice by
// the best of them if it is better. It returns how many it has scored, and changes the order
// of the list.
func (r *Router) compareLocked(choice *Choice, members []*catkinrun.Member, count int, c Criteria, now time.Time) int {
	compared := 0
	for i := 0; i < len(members) && compared < count; i++ {
		j := i + int(r.random()*float64(len(members)-i))
		members[i], members[j] = members[j], members[i]
		m := *members[i]
		if slices.Contains(c.Tried, m.Host) {
			continue
		}
		s := r.serverLocked(m)
		if now.Before(s.ejectedUntil) {
			continue
		}
		if score := r.scoreLocked(s, m, c, now); score < choice.Score {
			choice.Score, choice.Member = score, m
		}
		compared++
	}
	return compared
}

// lastResortLocked returns the host whose ejection ends first, for a request for which all
// untried hosts are ejected.
func (r *Router) lastResortLocked(candidates []catkinrun.Member, tried []string) (choice Choice, ok bool) {
	var until time.Time
	for _, m := range candidates {
		s := r.serverLocked(m)
		if slices.Contains(tried, m.Host) || ok && !s.ejectedUntil.Before(until) {
			continue
		}
		choice = Choice{Member: m, Score: math.Inf(1), Candidates: len(candidates)}
		until, ok = s.ejectedUntil, true
	}
	return choice, ok
}

func (r *Router) scoreLocked(s *server, m catkinrun.Member, c Criteria, now time.Time) float64 {
	score := max(float64(s.inFlight)/float64(m.Server.Slots), r.expectedLoadLocked(s, now))
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

// expectedLoadLocked returns the load that a server probably has now: the last one that it
// reported, drawn towards the mean of its group by the report's age.
func (r *Router) expectedLoadLocked(s *server, now time.Time) float64 {
	mean := r.meanLoads[s.group]
	return mean + (s.reportedLoad-mean)*math.Exp(-now.Sub(s.reportedAt).Seconds()/loadDecayTime.Seconds())
}

// recordLoadLocked records a load that a server has reported.
func (r *Router) recordLoadLocked(s *server, load float64, now time.Time) {
	s.reportedLoad, s.reportedAt = load, now
	mean, known := r.meanLoads[s.group]
	if !known {
		mean = load
	}
	r.meanLoads[s.group] = mean + meanLoadSmoothing*(load-mean)
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
	if result == Overloaded {
		load = max(load, overloadedLoad)
	}
	if load >= 0 {
		r.recordLoadLocked(s, load, now)
	}
	switch result {
	case Served:
		s.ejection = 0
		s.recordLocked(now, 0)
	case Failed:
		s.recordLocked(now, 1)
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
func (r *Router) serverLocked(m catkinrun.Member) *server {
	s, ok := r.servers[m.Host]
	if !ok {
		s = &server{incarnation: m.Incarnation}
		r.servers[m.Host] = s
	}
	if s.incarnation != m.Incarnation {
		*s = server{incarnation: m.Incarnation, inFlight: s.inFlight}
	}
	s.group = group{service: m.Server.Service, zone: m.Zone}
	return s
}
