// Package syncer passes configuration and members from daemon to daemon, for those
// that cannot reach the store. Every message between daemons names the sender's
// version; whoever is behind asks whoever is ahead.
package syncer

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/messenger"
)

// Procedure is the path of the exchange on a peer listener.
const Procedure = "/catkinrun.peer/sync"

const (
	// askTimeout bounds one exchange: a connection and two crossings of a region.
	askTimeout = time.Second
	// askEvery is the least time between two exchanges for the same reason.
	askEvery = 100 * time.Millisecond
	// pollEvery is the time between exchanges with some member while the store does not
	// answer: a revoked key must be known within the stretched bound of seconds.
	pollEvery = 500 * time.Millisecond
)

// Ask names what the asking daemon has.
type Ask struct {
	Version  catkinrun.Version  `cbor:"version"`
	Revision catkinrun.Revision `cbor:"revision"`
}

// Answer has what the asking daemon lacks.
type Answer struct {
	Configuration *catkinrun.SnapshotData `cbor:"configuration,omitempty"`
	Rows          []catkinrun.Row         `cbor:"rows,omitempty"`
	Revision      catkinrun.Revision      `cbor:"revision"`
}

// Syncer exchanges with other daemons.
type Syncer struct {
	configurer *configurer.Configurer
	locator    *locator.Locator
	peers      *messenger.Client
	clock      catkinrun.Clock
	log        logrus.FieldLogger
	self       string
	failing    func() bool
	behind     chan string // peer addresses that are ahead

	mu      sync.Mutex
	askedAt time.Time
	turn    int
}

// New returns a syncer for the daemon whose peer address is self. failing tells
// whether the store does not answer this daemon.
func New(c *configurer.Configurer, l *locator.Locator, peers *messenger.Client, clock catkinrun.Clock,
	log logrus.FieldLogger, self string, failing func() bool,
) *Syncer {
	return &Syncer{configurer: c, locator: l, peers: peers, clock: clock, log: log, self: self, failing: failing, behind: make(chan string, 1)}
}

// Saw notes the version of a daemon that was heard of.
func (s *Syncer) Saw(peer string, version catkinrun.Version) {
	if version <= s.configurer.Snapshot().Version() || peer == "" {
		return
	}
	select {
	case s.behind <- peer:
	default:
	}
}

// Answer serves another daemon.
func (s *Syncer) Answer(_ context.Context, ask *Ask) (*Answer, error) {
	answer := &Answer{Revision: s.locator.Revision()}
	if snapshot := s.configurer.Snapshot(); snapshot.Version() > ask.Version {
		data := snapshot.Data()
		answer.Configuration = &data
	}
	if answer.Revision > ask.Revision {
		answer.Rows = s.locator.Page().Rows
	}
	return answer, nil
}

// Serve asks daemons that are ahead, and any while the store fails, until ctx ends.
// It implements suture.Service.
func (s *Syncer) Serve(ctx context.Context) error {
	for {
		waiting, cancel := context.WithTimeout(ctx, pollEvery)
		var peer string
		select {
		case peer = <-s.behind:
		case <-waiting.Done():
		}
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if peer == "" && s.failing() {
			peer = s.next()
		}
		if peer == "" || s.tooSoon() {
			continue
		}
		if err := s.pull(ctx, peer); err != nil {
			s.log.WithError(err).WithField("peer", peer).Info("syncer: daemon does not answer")
		}
	}
}

func (s *Syncer) tooSoon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.askedAt) < askEvery {
		return true
	}
	s.askedAt = now
	return false
}

// next returns the members in turn.
func (s *Syncer) next() string {
	members := s.locator.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range members {
		s.turn++
		if peer := members[s.turn%len(members)].Peer; peer != s.self {
			return peer
		}
	}
	return ""
}

func (s *Syncer) pull(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask := &Ask{Version: s.configurer.Snapshot().Version(), Revision: s.locator.Revision()}
	answer, err := messenger.Call[Ask, Answer](ctx, s.peers, peer, Procedure, ask)
	if err != nil {
		return err
	}
	if len(answer.Rows) > 0 {
		s.locator.Apply(catkinrun.Page{Rows: answer.Rows, Revision: answer.Revision}, true)
	}
	if answer.Configuration == nil {
		return nil
	}
	_, err = s.configurer.Offer(*answer.Configuration, "daemon "+peer)
	return err
}
