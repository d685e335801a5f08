// Package registrar keeps the roster: it takes the announcements of the backend
// server beside this daemon, asks for this host's place on the roster, and, on
// roots, puts hosts on the roster and takes silent ones off.
//
//	server -> Announce -> join row in the table -> root commits a roster change
package registrar

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/committer"
	"github.com/catkinrun/catkinrun/replicator"
)

// Announcement is what a backend server says of itself, about once a second.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"` // IP and port that take requests
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Draining    bool   `json:"draining"`
}

// Validate checks a decoded announcement; it fails with *catkinrun.InvalidError.
func (a Announcement) Validate() error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return &catkinrun.InvalidError{Where: "announcement", Field: "address", Reason: "expected IP:port"}
	}
	if a.Slots < 1 || a.Connections < 1 {
		return &catkinrun.InvalidError{Where: "announcement", Field: "slots", Reason: "slots and connections must be at least 1"}
	}
	route := catkinrun.Route{Service: a.Service, Method: http.MethodGet, Path: "/", Timeout: catkinrun.Duration(time.Second)}
	return catkinrun.Resource{Kind: catkinrun.KindRoute, Name: "announced", Route: &route}.Validate()
}

const (
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 4096
	// AnnouncementLife is how long a silent server still counts as ready.
	AnnouncementLife = 3 * time.Second
	// drainGrace is how long a draining server still gets what is under way to it.
	drainGrace = 2 * time.Second
	// firstAnnouncementWait delays the join so that it can name the service.
	firstAnnouncementWait = 2 * time.Second
)

// Limits are the registrar's times.
type Limits struct {
	Interval time.Duration // between rounds
	Silence  time.Duration // after which a silent host is taken off the roster
}

// Registrar keeps this host's place on the roster.
type Registrar struct {
	table     catkinrun.Table
	committer *committer.Committer
	replica   *replicator.Replica
	clock     catkinrun.Clock
	log       logrus.FieldLogger
	limits    Limits
	peer      string // own peer address
	newID     func() string

	mu        sync.Mutex
	startedAt time.Time
	announced Announcement
	heardAt   time.Time
	leaving   bool
	drainedAt time.Time // when the drain began; zero without one
	askedFor  *catkinrun.Host
	askedAt   time.Time
	silent    map[string]time.Time // host to the time when its silence began
}

// New returns a registrar for the daemon whose peer listener is at peer. newID
// makes unique change ids.
func New(table catkinrun.Table, c *committer.Committer, replica *replicator.Replica, clock catkinrun.Clock, log logrus.FieldLogger, limits Limits, peer string, newID func() string) *Registrar {
	return &Registrar{
		table: table, committer: c, replica: replica, clock: clock, log: log,
		limits: limits, peer: peer, newID: newID,
		startedAt: clock.Now(), silent: make(map[string]time.Time),
	}
}

// ServeHTTP takes an announcement.
func (r *Registrar) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Announce(a)
	w.WriteHeader(http.StatusNoContent)
}

// Announce takes the word of the server beside this daemon.
func (r *Registrar) Announce(a Announcement) {
	r.mu.Lock()
	if a.Draining != r.announced.Draining || a.Service != r.announced.Service {
		r.log.WithFields(logrus.Fields{"service": a.Service, "draining": a.Draining}).Info("registrar: server announced itself")
	}
	r.announced = a
	r.heardAt = r.clock.Now()
	r.mu.Unlock()
	r.refreshReady()
}

// Server returns the announced server; ok is false if requests must not be sent to
// it. While this daemon leaves, its server stays open. For drainGrace after a drain has begun it is still open, so that what other
// daemons sent before they learned of the drain is served.
func (r *Registrar) Server() (a Announcement, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	draining := !r.drainedAt.IsZero() && r.clock.Now().Sub(r.drainedAt) > drainGrace
	return r.announced, r.freshLocked() && !draining
}

func (r *Registrar) freshLocked() bool {
	return !r.heardAt.IsZero() && r.clock.Now().Sub(r.heardAt) < AnnouncementLife
}

func (r *Registrar) refreshReady() {
	r.mu.Lock()
	service := ""
	if r.freshLocked() && !r.announced.Draining && !r.leaving {
		service = r.announced.Service
	}
	r.noteDrainLocked()
	r.mu.Unlock()
	r.replica.SetReady(service)
}

// noteDrainLocked dates the beginning of a drain.
func (r *Registrar) noteDrainLocked() {
	switch {
	case !r.announced.Draining:
		r.drainedAt = time.Time{}
	case r.drainedAt.IsZero():
		r.drainedAt = r.clock.Now()
	}
}

// Leaving reports whether this daemon is stopping.
func (r *Registrar) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// StartLeaving stops new work from being sent here.
func (r *Registrar) StartLeaving() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.refreshReady()
	r.log.Info("registrar: leaving")
}

// Serve runs rounds until ctx ends. It implements suture.Service.
func (r *Registrar) Serve(ctx context.Context) error {
	for {
		r.round(ctx)
		if err := r.clock.Wait(ctx, r.limits.Interval); err != nil {
			return err
		}
	}
}

func (r *Registrar) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*r.limits.Interval)
	defer cancel()
	r.refreshReady()
	if err := r.join(ctx); err != nil {
		r.log.WithError(err).Debug("registrar: join not stored")
	}
	if !r.steward() {
		return
	}
	if err := r.updateRoster(ctx); err != nil {
		r.log.WithError(err).Debug("registrar: roster not changed")
	}
}

// steward reports whether this daemon commits roster changes: roots do, and a
// daemon that waits for its place on an empty roster.
func (r *Registrar) steward() bool {
	identity := r.replica.Identity()
	snapshot := r.replica.Snapshot()
	if snapshot.Count(catkinrun.KindHost) == 0 {
		return true
	}
	return replicator.Place(snapshot, identity.Host, identity.Zone).Root || r.orphaned(snapshot)
}

// orphaned reports whether this host has waited long for its place.
func (r *Registrar) orphaned(s *catkinrun.Snapshot) bool {
	_, member := s.Host(r.replica.Identity().Host)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !member && !r.askedAt.IsZero() && r.clock.Now().Sub(r.startedAt) > r.limits.Silence
}
