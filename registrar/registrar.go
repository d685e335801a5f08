// Package registrar keeps the state of the backend server beside this daemon, as the
// server announces it. It publishes this state and the daemon's own as the host's row in
// the members table.
package registrar

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// replaceTimeout is how long the recorded server must have announced nothing before one with a later
	// start replaces it, unless it drains or is unreachable: a server announces itself every 1.5 s.
	replaceTimeout = 2 * time.Second
	// returnTimeout is how long a server that was replaced must announce itself, and its successor not, before
	// it is used again; two announcements are more than a single late one.
	returnTimeout = time.Second
	// silenceTimeout is how long the recorded server must have announced nothing before one with an
	// earlier start replaces it, or a lower sequence number is accepted: late announcements of a server that
	// has ended arrive within seconds.
	silenceTimeout = 4 * time.Second
	// refusalInterval is the minimum time between two log lines on announcements that name no server.
	refusalInterval = time.Minute
	// maxEndedServers limits the ended and the replaced servers kept to recognize their late announcements.
	maxEndedServers = 64
)

// Locator holds the published rows.
type Locator interface {
	Row(host string) catkinrun.Row
	Revision() catkinrun.Revision
	Apply(page catkinrun.Page, complete bool)
}

// Registrar publishes one host's member row. It is safe for concurrent use.
type Registrar struct {
	store      catkinrun.Store
	locator    Locator
	clock      catkinrun.Clock
	log        logrus.FieldLogger
	host       string
	drainGrace time.Duration
	changed    chan struct{}         // requests a write of the row
	unchecked  chan catkinrun.Server // to be asked whether it is leaving
	doubted    chan struct{}         // a server of another service than the settings' has announced itself

	mu          sync.Mutex
	service     string    // of this host by the settings
	serviceAt   time.Time // since when the settings name it
	foreignAt   time.Time // last announcement of another service since then, zero for none
	self        catkinrun.Member
	announced   bool   // the server has announced itself to this incarnation of the daemon
	down        bool   // a connection was refused, or reached another server, since the last announcement
	restarted   bool   // an earlier incarnation of this daemon has published a row
	unconfirmed bool   // the server is known from that row alone
	checkedAs   string // start of the server for which a check has been requested
	coldUntil   time.Time
	acceptUntil time.Time // until when a draining server still accepts requests
	unannounced bool      // the server drains by its own responses, and has announced nothing about it
	announcedAt time.Time // last announcement of the server, or the start of this daemon
	rival       rival
	candidate   *catkinrun.Server // later start that is used once the recorded server is unreachable
	ended       []endedServer
	replaced    []catkinrun.Server // by others, without a deregistration
	refusals    refusals
	waiters     []chan struct{} // each closed once the row is published
}

// New returns a registrar for the daemon that self describes, on a host whose service the settings name. A draining server still
// accepts requests for drainGrace, from entry daemons that know no other server.
func New(store catkinrun.Store, locator Locator, clock catkinrun.Clock, log logrus.FieldLogger, self catkinrun.Member, service string, drainGrace time.Duration) *Registrar {
	return &Registrar{
		store: store, locator: locator, clock: clock, log: log, host: self.Host, self: self, service: service, drainGrace: drainGrace,
		changed: make(chan struct{}, 1), unchecked: make(chan catkinrun.Server, 1), doubted: make(chan struct{}, 1), announcedAt: clock.Now(), serviceAt: clock.Now(),
	}
}

// Server returns the server beside this daemon; accepting reports whether the server accepts
// new requests.
func (r *Registrar) Server() (server catkinrun.Server, accepting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Server == nil {
		return catkinrun.Server{}, false
	}
	server = *r.self.Server
	server.ColdLeft = max(0, r.coldUntil.Sub(r.clock.Now()))
	return server, !r.down && !r.unconfirmed && (!server.Draining || r.clock.Now().Before(r.acceptUntil))
}

// Announce implements platform.Registrar. It records the announcement and, if that changes
// the row, waits until the row is published, for at most publishTimeout. It fails with
// *catkinrun.InvalidError if the announcement names no server.
func (r *Registrar) Announce(s catkinrun.Server) error {
	published, err := r.RecordAnnouncement(s)
	if published != nil {
		await(published)
	}
	return err
}

// Reject implements platform.Registrar.
func (r *Registrar) Reject(id string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportRefusalLocked(id, cause)
}

// RecordAnnouncement records an announcement; it fails with *catkinrun.InvalidError, and without any effect, if the
// announcement names no server. The returned channel is closed once the announcement is
// published; the channel is nil if there is nothing to publish.
func (r *Registrar) RecordAnnouncement(s catkinrun.Server) (chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkLocked(s); err != nil {
		r.foreignAt = r.clock.Now()
		select {
		case r.doubted <- struct{}{}:
		default:
		}
		return nil, err
	}
	if !r.acceptsLocked(s) {
		r.log.WithFields(logrus.Fields{"server": s.ID, "service": s.Service, "born": s.StartUnixMilli, "sequence": s.Sequence}).Info("registrar: late or doubtful announcement ignored")
		return nil, nil
	}
	return r.recordLocked(s), nil
}

// recordLocked records the state of the server beside this daemon. The returned channel is as for
// RecordAnnouncement.
func (r *Registrar) recordLocked(s catkinrun.Server) chan struct{} {
	r.announcedAt, r.rival, r.candidate = r.clock.Now(), rival{}, nil
	previous := r.self.Server
	if previous != nil && previous.Start() != s.Start() {
		r.replaceLocked(*previous)
	}
	r.replaced = slices.DeleteFunc(r.replaced, func(former catkinrun.Server) bool { return former.Start() == s.Start() })
	r.coldUntil = r.clock.Now().Add(s.ColdLeft)
	announcesDrain, sameStart := s.Draining, previous != nil && previous.Start() == s.Start()
	if sameStart && announcesDrain {
		s.Sequence = max(s.Sequence, previous.Sequence) // it may be late
	}
	if sameStart && previous.Draining {
		s.Draining = true // a draining server becomes ready again only after a restart
	}
	r.startDrainLocked(s, previous)
	first := !r.announced
	r.announced, r.down, r.unconfirmed = true, false, false
	if !sameStart || announcesDrain {
		r.unannounced = false
	}
	r.self = r.self.WithServer(&s)
	if first && r.restarted || r.endedUnknownLocked(s.ID) {
		r.requestCheckLocked() // the announcement may be late
	}
	if sameStart && previous.Slots == s.Slots && previous.Draining == s.Draining {
		return nil
	}
	r.log.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "slots": s.Slots, "draining": s.Draining, "born": s.StartUnixMilli, "cold": s.ColdLeft.String(),
	}).Info("registrar: server announced")
	return r.publishLocked()
}

// startDrainLocked sets the end of the grace period of a server that starts draining. There
// is no grace period if the server has not announced itself to this incarnation of the
// daemon before, since it may have started draining during an earlier one.
func (r *Registrar) startDrainLocked(s catkinrun.Server, previous *catkinrun.Server) {
	if r.announced && s.Draining && previous != nil && previous.Start() == s.Start() && !previous.Draining {
		r.acceptUntil = r.clock.Now().Add(r.drainGrace)
	}
}

// drainLocked records that the current server is draining.
func (r *Registrar) drainLocked(current *catkinrun.Server) {
	draining := *current
	draining.Draining = true
	r.startDrainLocked(draining, current)
	r.self = r.self.WithServer(&draining)
}

// MarkLeaving records that a server states in its responses that it is leaving, which other daemons
// may have seen before a restart of this one.
func (r *Registrar) MarkLeaving(start string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markLeavingLocked(start, "registrar: server is leaving")
}

// markLeavingLocked records that a start of the server is leaving, unless another one is recorded or that is known. It
// reports whether it did.
func (r *Registrar) markLeavingLocked(start, message string) bool {
	current := r.self.Server
	if current == nil || current.Start() != start || current.Draining {
		return false
	}
	r.drainLocked(current)
	r.unannounced = true
	r.log.WithFields(logrus.Fields{"server": current.ID, "service": current.Service}).Info(message)
	r.publishLocked()
	return true
}

// Deregister implements platform.Registrar. It records that the server is about to end and,
// if that changes the row, waits until the row is published, for at most publishTimeout.
func (r *Registrar) Deregister(id string, startUnixMilli int64) {
	if published := r.RecordDeregistration(id, startUnixMilli); published != nil {
		await(published)
	}
}

// RecordDeregistration records that a start of a server is about to end, or whichever is recorded if the start is 0. A
// server that was not draining starts draining; one that was draining is removed from the row. A late
// deregistration of an earlier start does not concern the recorded one. The returned channel is as
// for RecordAnnouncement.
func (r *Registrar) RecordDeregistration(id string, startUnixMilli int64) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.self.Server
	if current == nil || current.ID != id || startUnixMilli != 0 && startUnixMilli < current.StartUnixMilli {
		r.endOthersLocked(id, startUnixMilli)
		return nil
	}
	r.endLocked(catkinrun.Server{ID: id, StartUnixMilli: max(startUnixMilli, current.StartUnixMilli)})
	if current.Draining && !r.unannounced {
		r.self = r.self.WithServer(nil)
	} else {
		r.drainLocked(current)
	}
	r.unannounced = false
	r.log.WithFields(logrus.Fields{"server": id, "service": current.Service, "draining-before": current.Draining}).Info("registrar: server deregistered")
	return r.publishLocked()
}

// MarkDown records that the server refused a connection, or that another one has its
// address. The server gets no requests until it announces itself again.
func (r *Registrar) MarkDown(server, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.self.Server == nil || r.self.Server.ID != server {
		return
	}
	r.down = true
	r.log.WithFields(logrus.Fields{"server": server, "cause": cause}).Warn("registrar: server marked as down")
	if r.candidate != nil {
		r.recordLocked(*r.candidate)
	}
}

// Leave publishes that this daemon is leaving.
func (r *Registrar) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = r.self.WithLeaving()
	r.publishLocked()
}
