// Package router picks the backend server for a request: the own availability zone
// first, the less loaded of two random choices, cold servers carefully, and servers
// that fail put aside for a while, but never more than half of a service.
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/replicator"
)

const (
	// slowStart is the time over which a new server's weight rises to its full slots.
	slowStart = 10 * time.Second
	// coldWeight is the part of its slots that a new server counts at first.
	coldWeight = 0.1
	// failuresToEject is the number of failures in a row that put a server aside.
	failuresToEject = 3
	// ejection is the time for which a failing server is put aside.
	ejection = 5 * time.Second
	// spillLoad is the load of the own zone from which other zones are used too.
	spillLoad = 0.8
	// reportLife is how long a server's word about its load counts.
	reportLife = time.Second
	// statusLife is how long one reading of the hosts' status is used.
	statusLife = 100 * time.Millisecond
)

// Holder tells which hosts are ready.
type Holder interface {
	Hosts() map[string]replicator.Status
}

// server is what this daemon knows of one backend server.
type server struct {
	incarnation string
	readyAt     time.Time
	inFlight    int     // requests from here
	reported    float64 // load in its last answer, 0 to 1 and above
	reportedAt  time.Time
	failures    int // in a row
	asideUntil  time.Time
}

// Router picks servers.
type Router struct {
	holder Holder
	clock  catkinrun.Clock
	log    logrus.FieldLogger
	self   string
	zone   string
	random *rand.Rand

	mu       sync.Mutex
	servers  map[string]*server
	statuses map[string]replicator.Status
	services map[string][]string // ready hosts by service, sorted
	readAt   time.Time
}

// New returns a router for the daemon at host self in a zone. random makes the
// two choices.
func New(holder Holder, clock catkinrun.Clock, log logrus.FieldLogger, self, zone string, random *rand.Rand) *Router {
	return &Router{
		holder: holder, clock: clock, log: log, self: self, zone: zone, random: random,
		servers: make(map[string]*server),
	}
}

// Pick chooses a host for a service, other than those tried. ok is false if none
// is ready.
func (r *Router) Pick(service string, tried []string) (host string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readLocked()
	candidates := r.candidatesLocked(service, tried)
	if len(candidates) == 0 {
		return "", false
	}
	host = r.lighterLocked(candidates)
	r.log.WithFields(logrus.Fields{
		"service": service, "host": host, "among": len(candidates), "load": r.loadLocked(host), "tried": len(tried),
	}).Debug("router: host chosen")
	return host, true
}

// Address returns the peer address of a host.
func (r *Router) Address(host string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readLocked()
	status, ok := r.statuses[host]
	return status.Host.Peer, ok
}

// Started records that a request goes to the host.
func (r *Router) Started(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serverLocked(host).inFlight++
}

// Ended records how a request to the host ended, and the load that the answer
// reported; a negative load is unknown.
func (r *Router) Ended(host string, failed bool, load float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.serverLocked(host)
	s.inFlight--
	if load >= 0 {
		s.reported = load
		s.reportedAt = r.clock.Now()
	}
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	if s.failures >= failuresToEject {
		s.failures = 0
		s.asideUntil = r.clock.Now().Add(ejection)
		r.log.WithField("host", host).Info("router: failing host put aside")
	}
}

// Left records that the host said it takes no new work.
func (r *Router) Left(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serverLocked(host).asideUntil = r.clock.Now().Add(ejection)
}

func (r *Router) serverLocked(host string) *server {
	s, ok := r.servers[host]
	if !ok {
		s = &server{}
		r.servers[host] = s
	}
	return s
}

// readLocked takes a fresh reading of the hosts' status now and then.
func (r *Router) readLocked() {
	now := r.clock.Now()
	if r.statuses != nil && now.Sub(r.readAt) < statusLife {
		return
	}
	first := r.statuses == nil
	r.statuses = r.holder.Hosts()
	r.readAt = now
	r.services = make(map[string][]string)
	for name, status := range r.statuses {
		if !status.Ready {
			continue
		}
		r.services[status.Host.Service] = append(r.services[status.Host.Service], name)
		r.welcomeLocked(name, status.Host.Incarnation, first)
	}
	for _, hosts := range r.services {
		slices.Sort(hosts)
	}
}

// welcomeLocked starts the slow start of a new incarnation. Servers that were
// ready before this daemon started count as warm.
func (r *Router) welcomeLocked(host, incarnation string, warm bool) {
	s := r.serverLocked(host)
	if s.incarnation == incarnation {
		return
	}
	s.incarnation = incarnation
	s.failures = 0
	s.asideUntil = time.Time{}
	s.readyAt = r.clock.Now()
	if warm {
		s.readyAt = s.readyAt.Add(-slowStart)
	}
}

// candidatesLocked returns the own zone's servers, or all if that zone has none
// with room. Servers put aside come back if they are half of the service or more.
func (r *Router) candidatesLocked(service string, tried []string) []string {
	ready := r.services[service]
	untried := without(ready, func(h string) bool { return slices.Contains(tried, h) })
	now := r.clock.Now()
	sound := without(untried, func(h string) bool { return r.servers[h].asideUntil.After(now) })
	if len(sound)*2 < len(untried) {
		sound = untried
	}
	near := without(sound, func(h string) bool { return r.statuses[h].Host.Zone != r.zone })
	roomy := slices.ContainsFunc(near, func(h string) bool { return r.loadLocked(h) < spillLoad })
	if roomy {
		return near
	}
	return sound
}

func without(hosts []string, drop func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(hosts), drop)
}

// lighterLocked makes two random choices and takes the one with less load.
func (r *Router) lighterLocked(hosts []string) string {
	a := hosts[r.random.IntN(len(hosts))]
	b := hosts[r.random.IntN(len(hosts))]
	if r.loadLocked(b) < r.loadLocked(a) {
		return b
	}
	return a
}

// loadLocked is the part of a server's slots in use: the larger of its own last
// word and of what is in flight from here.
func (r *Router) loadLocked(host string) float64 {
	s := r.serverLocked(host)
	slots := float64(max(1, r.statuses[host].Host.Slots))
	warmth := float64(r.clock.Now().Sub(s.readyAt)) / float64(slowStart)
	weight := min(1, coldWeight+(1-coldWeight)*warmth)
	load := float64(s.inFlight) / slots
	if r.clock.Now().Sub(s.reportedAt) < reportLife {
		load = max(load, s.reported)
	}
	return load / weight
}
