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
	Ready(service string) []replicator.Status
	Snapshot() *catkinrun.Snapshot
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
	services map[string]*reading
}

// reading is the ready hosts of a service at some time.
type reading struct {
	at    time.Time
	hosts []string // sorted
	zones map[string]string
	slots map[string]int
}

// New returns a router for the daemon at host self in a zone. random makes the
// two choices.
func New(holder Holder, clock catkinrun.Clock, log logrus.FieldLogger, self, zone string, random *rand.Rand) *Router {
	return &Router{
		holder: holder, clock: clock, log: log, self: self, zone: zone, random: random,
		servers: make(map[string]*server), services: make(map[string]*reading),
	}
}

// Pick chooses a host for a service, other than those tried. ok is false if none
// is ready.
func (r *Router) Pick(service string, tried []string) (host string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := r.readLocked(service)
	candidates := r.candidatesLocked(ready, tried)
	if len(candidates) == 0 {
		return "", false
	}
	host = r.lighterLocked(ready, candidates)
	r.log.WithFields(logrus.Fields{
		"service": service, "host": host, "among": len(candidates), "load": r.loadLocked(ready, host), "tried": len(tried),
	}).Debug("router: host chosen")
	return host, true
}

// Address returns the peer address of a host.
func (r *Router) Address(host string) (string, bool) {
	entry, ok := r.holder.Snapshot().Host(host)
	return entry.Peer, ok
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

// readLocked returns a service's ready hosts, read anew now and then.
func (r *Router) readLocked(service string) *reading {
	now := r.clock.Now()
	old := r.services[service]
	if old != nil && now.Sub(old.at) < statusLife {
		return old
	}
	next := &reading{at: now, zones: make(map[string]string), slots: make(map[string]int)}
	for _, status := range r.holder.Ready(service) {
		next.hosts = append(next.hosts, status.Name)
		next.zones[status.Name] = status.Host.Zone
		next.slots[status.Name] = status.Host.Slots
		r.welcomeLocked(status.Name, status.Host.Incarnation, old == nil)
	}
	r.services[service] = next
	return next
}

// welcomeLocked starts the slow start of a new incarnation. Servers that were
// ready at this daemon's first reading count as warm.
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
func (r *Router) candidatesLocked(ready *reading, tried []string) []string {
	untried := without(ready.hosts, func(h string) bool { return slices.Contains(tried, h) })
	now := r.clock.Now()
	sound := without(untried, func(h string) bool { return r.servers[h].asideUntil.After(now) })
	if len(sound)*2 < len(untried) {
		sound = untried
	}
	near := without(sound, func(h string) bool { return ready.zones[h] != r.zone })
	roomy := slices.ContainsFunc(near, func(h string) bool { return r.loadLocked(ready, h) < spillLoad })
	if roomy {
		return near
	}
	return sound
}

func without(hosts []string, drop func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(hosts), drop)
}

// lighterLocked makes two random choices and takes the one with less load.
func (r *Router) lighterLocked(ready *reading, hosts []string) string {
	a := hosts[r.random.IntN(len(hosts))]
	b := hosts[r.random.IntN(len(hosts))]
	if r.loadLocked(ready, b) < r.loadLocked(ready, a) {
		return b
	}
	return a
}

// loadLocked is the part of a server's slots in use: the larger of its own last
// word and of what is in flight from here.
func (r *Router) loadLocked(ready *reading, host string) float64 {
	s := r.serverLocked(host)
	slots := float64(max(1, ready.slots[host]))
	warmth := float64(r.clock.Now().Sub(s.readyAt)) / float64(slowStart)
	weight := min(1, coldWeight+(1-coldWeight)*warmth)
	load := float64(s.inFlight) / slots
	if r.clock.Now().Sub(s.reportedAt) < reportLife {
		load = max(load, s.reported)
	}
	return load / weight
}
