// Package puller brings the change log and the proof of its currency to this
// daemon: roots of the zone read the store, all others pull from their parent in
// the zone's tree. When neither answers, the other source is tried.
package puller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/committer"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/replicator"
)

const (
	// PullProcedure is the peer call that carries an Ask.
	PullProcedure = "/catkinrun.peer/pull"
	// KnockProcedure tells a silent host where it can pull from.
	KnockProcedure = "/catkinrun.peer/knock"
	// maxHints bounds the addresses kept from knocks.
	maxHints = 8
)

// Knock offers the sender as a host to pull from. Hosts of the roster knock at
// silent ones, so that a daemon which restarts while the store is away finds peers.
type Knock struct {
	Peer string `cbor:"peer"`
}

// Empty is an answer without content.
type Empty struct{}

// Puller runs the exchange with the store and the peers.
type Puller struct {
	replica   *replicator.Replica
	committer *committer.Committer
	peers     *messenger.Client
	clock     catkinrun.Clock
	log       logrus.FieldLogger
	interval  time.Duration
	address   string // own peer address

	mu    sync.Mutex
	hints []string
}

// New returns a puller that makes one round per interval. address is the own
// peer listener's, which knocks name.
func New(replica *replicator.Replica, c *committer.Committer, peers *messenger.Client, clock catkinrun.Clock, log logrus.FieldLogger, interval time.Duration, address string) *Puller {
	return &Puller{
		replica: replica, committer: c, peers: peers, clock: clock,
		log: log, interval: interval, address: address,
	}
}

// Pull answers another daemon's Ask.
func (p *Puller) Pull(_ context.Context, ask *replicator.Ask) (*replicator.Answer, error) {
	answer := p.replica.Answer(*ask)
	return &answer, nil
}

// Knocked takes a knock.
func (p *Puller) Knocked(_ context.Context, k *Knock) (*Empty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.hints, k.Peer) {
		p.hints = append(p.hints, k.Peer)
	}
	if len(p.hints) > maxHints {
		p.hints = p.hints[1:]
	}
	return &Empty{}, nil
}

// Serve runs rounds until ctx ends. It implements suture.Service.
func (p *Puller) Serve(ctx context.Context) error {
	for {
		p.round(ctx)
		if err := p.clock.Wait(ctx, p.interval); err != nil {
			return err
		}
	}
}

func (p *Puller) round(ctx context.Context) {
	snapshot := p.replica.Snapshot()
	identity := p.replica.Identity()
	place := replicator.Place(snapshot, identity.Host, identity.Zone)
	_, member := snapshot.Host(identity.Host)
	var sources errgroup.Group
	if place.Root || !member {
		sources.Go(func() error { return p.readStore(ctx) })
	}
	if place.Root {
		for _, remote := range place.Remotes {
			sources.Go(func() error { return p.pullHost(ctx, snapshot, remote) })
		}
	}
	sources.Go(func() error { return p.pullParents(ctx, snapshot, place) })
	_ = sources.Wait()
	p.replica.Count()
	if age, ok := p.replica.ProofAge(); !ok || age > 2*p.interval+p.interval/2 {
		p.fallBack(ctx, snapshot, place)
	}
	p.knock(ctx, snapshot, identity)
}

// pullParents takes the first parent that answers.
func (p *Puller) pullParents(ctx context.Context, snapshot *catkinrun.Snapshot, place replicator.Tree) error {
	var err error
	for _, parent := range place.Parents {
		held := p.replica.Snapshot().Version()
		if err = p.pullHost(ctx, snapshot, parent); err != nil {
			continue
		}
		if p.replica.Snapshot().Version() > held {
			err = p.pullHost(ctx, snapshot, parent) // reports the new version at once
		}
		return err
	}
	return err
}

// fallBack tries every other source when the proof grows old.
func (p *Puller) fallBack(ctx context.Context, snapshot *catkinrun.Snapshot, place replicator.Tree) {
	if !place.Root && p.readStore(ctx) == nil {
		return
	}
	for _, remote := range place.Remotes {
		if p.pullHost(ctx, snapshot, remote) == nil && p.young() {
			return
		}
	}
	p.mu.Lock()
	hints := slices.Clone(p.hints)
	p.mu.Unlock()
	for _, hint := range hints {
		if p.pull(ctx, hint) == nil && p.young() {
			return
		}
	}
}

func (p *Puller) young() bool {
	age, ok := p.replica.ProofAge()
	return ok && age < 2*p.interval
}

func (p *Puller) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	err := p.committer.CatchUp(ctx)
	if err != nil {
		p.log.WithError(err).Debug("puller: store read failed")
	}
	return err
}

func (p *Puller) callTimeout() time.Duration { return 2 * p.interval }

func (p *Puller) pullHost(ctx context.Context, snapshot *catkinrun.Snapshot, name string) error {
	host, ok := snapshot.Host(name)
	if !ok {
		return &catkinrun.NotFoundError{Kind: "host", Name: name}
	}
	return p.pull(ctx, host.Peer)
}

func (p *Puller) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout())
	defer cancel()
	ask := p.replica.Ask()
	sentAt := p.clock.Now()
	answer, err := messenger.Call[replicator.Ask, replicator.Answer](ctx, p.peers, address, PullProcedure, &ask)
	if err != nil {
		p.log.WithError(err).WithField("peer", address).Debug("puller: pull failed")
		return err
	}
	return p.replica.Absorb(sentAt, *answer)
}

// knock tells silent hosts of the own zone where to find this one.
func (p *Puller) knock(ctx context.Context, snapshot *catkinrun.Snapshot, identity replicator.Identity) {
	if place := replicator.Place(snapshot, identity.Host, identity.Zone); !place.Root {
		return
	}
	for name, status := range p.replica.Hosts() {
		if status.Seen || status.Host.Zone != identity.Zone || name == identity.Host {
			continue
		}
		p.knockAt(ctx, status.Host.Peer)
	}
}

func (p *Puller) knockAt(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, p.interval/2)
	defer cancel()
	_, err := messenger.Call[Knock, Empty](ctx, p.peers, address, KnockProcedure, &Knock{Peer: p.address})
	if err != nil {
		p.log.WithField("peer", address).Debug("puller: silent host does not answer")
	}
}
