// Package syncer passes configuration, members and the owners of the rates from daemon to
// daemon, for daemons that cannot reach the store, or that have read a backup from it. Each request from an entry daemon to a serving daemon and
// its response carry the sender's configuration version, and the daemon with the older
// configuration requests the newer one from the other.
package syncer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/messenger"
)

// Procedure is the path of the exchange on a peer listener.
const Procedure = "/catkinrun.peer/sync"

const (
	// exchangeTimeout bounds one exchange: opening a connection and two trips across a region.
	exchangeTimeout = time.Second
	// minExchangeInterval is the minimum time between the starts of two exchanges.
	minExchangeInterval = 100 * time.Millisecond
	// pollInterval is the time between exchanges with other members during a store outage. An
	// outage may extend the time until a withdrawn key is refused, but only to seconds.
	pollInterval = 500 * time.Millisecond
	// startExchanges is the number of exchanges with other members after the start, and when the store
	// has been restored from a backup: what the store shows then may be older than what others have.
	// One more than a single one, since the first member may have failed.
	startExchanges = 2
)

// Request has the configuration version, the store revision and the generation of the owners
// of the rates that the requesting daemon knows.
type Request struct {
	Version    catkinrun.Version  `cbor:"version"`
	Revision   catkinrun.Revision `cbor:"revision"`
	Generation uint64             `cbor:"generation"`
}

// Response has what the requesting daemon lacks.
type Response struct {
	Configuration *catkinrun.SnapshotData `cbor:"configuration,omitempty"`
	Rows          []catkinrun.Row         `cbor:"rows,omitempty"`
	Revision      catkinrun.Revision      `cbor:"revision"`
	Assignment    *broker.Assignment      `cbor:"assignment,omitempty"`
	Crashes       []catkinrun.CrashReport `cbor:"crashes,omitempty"`
}

// Validate checks a decoded response; it fails with *catkinrun.InvalidError.
func (r *Response) Validate() error {
	if r.Assignment == nil {
		return nil
	}
	return r.Assignment.Validate()
}

// Owners has the assignment of the owners of the rates.
type Owners interface {
	Assignment() (assignment broker.Assignment, changed <-chan struct{})
	ApplyAssignment(assignment broker.Assignment)
}

// Crashes has what is known of requests that crash servers.
type Crashes interface {
	Reports() []catkinrun.CrashReport
	Merge(reports []catkinrun.CrashReport)
}

// Syncer exchanges configuration and members with other daemons.
type Syncer struct {
	configurer   *configurer.Configurer
	locator      *locator.Locator
	owners       Owners
	crashes      Crashes
	peers        *messenger.Client
	clock        catkinrun.Clock
	log          logrus.FieldLogger
	self         string
	storeFailing func() bool
	ahead        chan string // address of a peer with a newer configuration

	mu          sync.Mutex
	exchangedAt time.Time // start of the last exchange
	peerIndex   int       // of the last member asked; random at the start, so that daemons that start together ask different ones
	era         uint64    // of the store, when exchanges were last due
	due         int       // exchanges with other members that are due
}

// New returns a syncer for the daemon whose peer address is self. storeFailing reports
// whether the store is unavailable to this daemon.
func New(c *configurer.Configurer, l *locator.Locator, owners Owners, crashes Crashes, peers *messenger.Client, clock catkinrun.Clock,
	log logrus.FieldLogger, self string, storeFailing func() bool,
) *Syncer {
	return &Syncer{configurer: c, locator: l, owners: owners, crashes: crashes, peers: peers, clock: clock, log: log, self: self, storeFailing: storeFailing, ahead: make(chan string, 1), due: startExchanges, peerIndex: rand.IntN(math.MaxInt32)}
}

// ObserveVersion requests an exchange with peer if version is newer than the configuration
// in force.
func (s *Syncer) ObserveVersion(peer string, version catkinrun.Version) {
	if version <= s.configurer.Snapshot().Version() || peer == "" {
		return
	}
	select {
	case s.ahead <- peer:
	default:
	}
}

// Handle responds to the request of another daemon.
func (s *Syncer) Handle(_ context.Context, request *Request) (*Response, error) {
	response := &Response{Revision: s.locator.Revision(), Crashes: s.crashes.Reports()}
	if snapshot := s.configurer.Snapshot(); snapshot.Version() > request.Version {
		data := snapshot.Data()
		response.Configuration = &data
	}
	if response.Revision > request.Revision {
		response.Rows = s.locator.Page().Rows
	}
	if assignment, _ := s.owners.Assignment(); assignment.Generation > request.Generation {
		response.Assignment = &assignment
	}
	return response, nil
}

// Serve pulls from daemons that have a newer configuration, and after the start, after a restore of the
// store and during a store outage from the other members in turn, until ctx ends. It implements
// suture.Service.
func (s *Syncer) Serve(ctx context.Context) error {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, pollInterval)
		var peer string
		select {
		case peer = <-s.ahead:
		case <-waitCtx.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if peer == "" && (s.exchangeDue() || s.storeFailing()) {
			peer = s.nextPeer()
		}
		if peer == "" || s.throttled() {
			continue
		}
		if err := s.pull(ctx, peer); err != nil {
			s.log.WithError(err).WithField("peer", peer).Info("syncer: exchange failed")
		}
	}
}

// exchangeDue reports whether an exchange with another member is due, and counts it if there are other
// members.
func (s *Syncer) exchangeDue() bool {
	era, others := s.locator.Revision().Era(), s.locator.Count() > 1
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > s.era {
		s.era, s.due = era, startExchanges
	}
	if s.due == 0 || !others {
		return false
	}
	s.due--
	return true
}

// throttled reports whether the last exchange began less than minExchangeInterval ago. If it
// did not, throttled records the start of a new one.
func (s *Syncer) throttled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.exchangedAt) < minExchangeInterval {
		return true
	}
	s.exchangedAt = now
	return false
}

// nextPeer cycles through the other members and returns the peer address of the next one, or
// an empty string if there are none.
func (s *Syncer) nextPeer() string {
	members := s.locator.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range members {
		s.peerIndex++
		if peer := members[s.peerIndex%len(members)].Peer; peer != s.self {
			return peer
		}
	}
	return ""
}

// pull requests and applies what peer has and this daemon lacks.
func (s *Syncer) pull(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	known, _ := s.owners.Assignment()
	request := &Request{Version: s.configurer.Snapshot().Version(), Revision: s.locator.Revision(), Generation: known.Generation}
	response, err := messenger.Call[Request, Response](ctx, s.peers, peer, Procedure, request)
	if err != nil {
		return err
	}
	if len(response.Rows) > 0 {
		s.locator.Merge(catkinrun.Page{Rows: response.Rows, Revision: response.Revision})
	}
	s.crashes.Merge(response.Crashes)
	if response.Assignment != nil {
		s.owners.ApplyAssignment(*response.Assignment)
	}
	if response.Configuration == nil {
		return nil
	}
	_, err = s.configurer.Apply(*response.Configuration, "daemon "+peer)
	return err
}
