// Package router chooses the backend server for a request: the least loaded one, with
// the own availability zone preferred, and those that are slow for what the request
// wants, fail or cannot be reached avoided in proportion.
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
	// zonePenalty is the load that another availability zone's server must be below the
	// own one's to be chosen: bytes between zones are paid for, and each crossing adds
	// over a millisecond.
	zonePenalty = 0.3
	// failurePenalty is the load by which a server that fails every request counts as
	// fuller; one that fails a third of them is used when the others are two thirds full.
	failurePenalty = 2.0
	// failureWeight weighs one more result against the failures so far.
	failureWeight = 0.1
	// failureMemory is the time in which a server's failures fade if it gets no requests,
	// so that it is tried again.
	failureMemory = 3 * time.Second
	// latencyPenalty is the load by which a server counts as fuller that takes as long as
	// the whole objective: of two half full ones, one that takes a fifth of it is preferred
	// to one that takes three fifths until it is fuller by a fifth.
	latencyPenalty = 0.5
	// latencyWeight weighs one more answer's time against the mean.
	latencyWeight = 0.1
	// latencyMemory is the time in which a mean fades if the server gets no such requests.
	latencyMemory = 3 * time.Second
	// fewFailures is the part of failed requests that any server may have.
	fewFailures = 0.01
	// reportLife is how long a server's word about its load counts.
	reportLife = time.Second
	// firstAside and lastAside bound the time for which a host that cannot be reached is
	// set aside; it doubles with each failure. A host that is back is used within the last.
	firstAside = 250 * time.Millisecond
	lastAside  = 2 * time.Second
	// leavingAside is the time for which a host that says it takes no work is set aside,
	// if its row does not say so by then.
	leavingAside = time.Second
	// sample is the number of servers that are compared for one request.
	sample = 6
	// full is the load of a server that refused for overload.
	full = 1.0
)

// Members knows which hosts serve what.
type Members interface {
	Serving(service string) []catkinrun.Member
}

// server is what this daemon knows of one host.
type server struct {
	incarnation string
	inFlight    int     // requests from here
	reported    float64 // load in its last answer, per slot
	reportedAt  time.Time
	failures    float64 // part of the results, fading
	failedAt    time.Time
	aside       time.Duration
	asideUntil  time.Time
	times       map[string]timing // by route
}

// timing is how long a server's answers to a route's requests take.
type timing struct {
	mean time.Duration
	at   time.Time
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

// Choice is a chosen host and why.
type Choice struct {
	Member catkinrun.Member
	Score  float64 // its load and penalties
	Among  int     // servers that could have been chosen
}

// Wish is what a request needs of a server.
type Wish struct {
	Service   string
	Route     string
	Objective time.Duration // latency wanted
	Tried     []string      // hosts that it has been offered to
}

// Choose picks a host, other than those tried. ok is false if there is none.
func (r *Router) Choose(w Wish) (choice Choice, ok bool) {
	candidates := r.members.Serving(w.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	offset := int(r.random() * float64(len(candidates)))
	best := math.Inf(1)
	compared := 0
	for i := range candidates {
		m := candidates[(offset+i)%len(candidates)]
		if slices.Contains(w.Tried, m.Host) {
			continue
		}
		s := r.serverLocked(m.Host, m.Incarnation)
		if now.Before(s.asideUntil) {
			continue
		}
		if score := r.scoreLocked(s, m, w, now); score < best {
			best = score
			choice.Member = m
		}
		compared++
		if compared == sample {
			break
		}
	}
	choice.Score, choice.Among = best, len(candidates)
	if compared > 0 {
		return choice, true
	}
	return r.lastResortLocked(candidates, w.Tried)
}

// lastResortLocked returns the host that has been set aside for the least time yet,
// when all are.
func (r *Router) lastResortLocked(candidates []catkinrun.Member, tried []string) (choice Choice, ok bool) {
	var until time.Time
	for _, m := range candidates {
		s := r.serverLocked(m.Host, m.Incarnation)
		if slices.Contains(tried, m.Host) || ok && !s.asideUntil.Before(until) {
			continue
		}
		choice = Choice{Member: m, Score: math.Inf(1), Among: len(candidates)}
		until, ok = s.asideUntil, true
	}
	return choice, ok
}

func (r *Router) scoreLocked(s *server, m catkinrun.Member, w Wish, now time.Time) float64 {
	score := float64(s.inFlight) / float64(m.Server.Slots)
	if now.Sub(s.reportedAt) < reportLife {
		score = max(score, s.reported)
	}
	if m.Zone != r.zone {
		score += zonePenalty
	}
	if t, ok := s.times[w.Route]; ok && w.Objective > 0 {
		part := min(1, t.mean.Seconds()/w.Objective.Seconds())
		score += latencyPenalty * part * math.Exp(-now.Sub(t.at).Seconds()/latencyMemory.Seconds())
	}
	failures := s.failing(now)
	if failures < fewFailures {
		return score // else a server that failed once would lose every tie for good
	}
	return score + failurePenalty*failures
}

// Started notes that a request goes to the host.
func (r *Router) Started(host string) {
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
	Failed             // the server failed, or its answer was not whole
	Full               // it refused for overload
	Leaving            // it takes no new work
	Unreachable        // the daemon could not be reached
	Ended              // the request ended for a reason that says nothing of the server
)

// Ended notes how a request to the host ended, and the load that the answer reported;
// a negative one is unknown.
func (r *Router) Ended(host string, result Result, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[host]
	if !ok {
		return
	}
	now := r.clock.Now()
	s.inFlight = max(0, s.inFlight-1)
	if load >= 0 {
		s.reported, s.reportedAt = load, now
	}
	switch result {
	case Served:
		s.aside = 0
		s.noteLocked(now, 0)
	case Failed:
		s.noteLocked(now, 1)
	case Full:
		s.reported, s.reportedAt = max(s.reported, full), now
	case Leaving:
		s.asideUntil = now.Add(leavingAside)
	case Unreachable:
		s.aside = min(max(2*s.aside, firstAside), lastAside)
		s.asideUntil = now.Add(s.aside)
		r.log.WithFields(logrus.Fields{"host": host, "for": s.aside.String()}).Info("router: host set aside")
	}
}

func (s *server) noteLocked(now time.Time, failed float64) {
	failures := s.failing(now)
	s.failures = failures + failureWeight*(failed-failures)
	s.failedAt = now
}

// failing returns the part of failed requests, faded up to now.
func (s *server) failing(now time.Time) float64 {
	return s.failures * math.Exp(-now.Sub(s.failedAt).Seconds()/failureMemory.Seconds())
}

// Took notes how long a host's answer to a request of a route took.
func (r *Router) Took(host, route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[host]
	if !ok {
		return
	}
	if s.times == nil {
		s.times = make(map[string]timing)
	}
	mean := took
	if before, ok := s.times[route]; ok {
		mean = before.mean + time.Duration(latencyWeight*float64(took-before.mean))
	}
	s.times[route] = timing{mean: mean, at: r.clock.Now()}
}

// serverLocked returns the state of a host; that of an earlier incarnation is dropped.
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
