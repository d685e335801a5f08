// Package deduplicator makes a request with an idempotency key run at most once.
package deduplicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/replicator"
)

// holderCount is the number of hosts that hold a key's record.
const holderCount = 3

// Holders returns the hosts that hold a key's record, the owner first.
func Holders(key string, hosts []string) []string {
	ranked := catkinrun.Rendezvous(key, hosts)
	return ranked[:min(holderCount, len(ranked))]
}

// claimQuorum is the number of holders, the owner among them, that have a claim
// before it runs. syncQuorum is the number of old holders that must have told
// their records before a key counts as known. Any two such sets share a host.
func claimQuorum(holders int) int { return holders/2 + 1 }

func syncQuorum(holders int) int { return holders - claimQuorum(holders) + 1 }

// Peers sends messages to other hosts.
type Peers interface {
	Claim(ctx context.Context, host string, c *Claim) (*ClaimAnswer, error)
	Sync(ctx context.Context, host string, s *Sync) (*SyncAnswer, error)
}

// Limits are the deduplicator's times.
type Limits struct {
	Retention time.Duration // for which records are kept
	Claim     time.Duration // longest wait for another holder
	Interval  time.Duration // between rounds of syncing
}

// entry is a record with the local time of its making.
type entry struct {
	Record
	madeAt time.Time
}

// pendingView is a view in which this host does not know all of its records yet.
type pendingView struct {
	catkinrun.View
	at      time.Time
	sources map[string]bool // hosts of the previous view that told their records
}

// missing returns the hosts of the previous view that did not tell their records.
func (p *pendingView) missing() []string {
	return slices.DeleteFunc(slices.Clone(p.Previous), func(h string) bool { return p.sources[h] })
}

// Deduplicator keeps the records of one host for the service of the server beside
// it. It is safe for concurrent use.
type Deduplicator struct {
	replica *replicator.Replica
	peers   Peers
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	limits  Limits
	sends   errgroup.Group // messages under way

	mu      sync.Mutex
	service string
	view    catkinrun.View    // the newest one
	pending []*pendingView    // views up to it whose records are not known yet, oldest first
	fence   catkinrun.Version // claims of older views are refused
	whole   catkinrun.Version // newest view in which all of this host's records are known
	records map[string]*entry
}

// New returns a deduplicator without records.
func New(replica *replicator.Replica, peers Peers, clock catkinrun.Clock, log logrus.FieldLogger, limits Limits) *Deduplicator {
	d := &Deduplicator{
		replica: replica, peers: peers, clock: clock, log: log, limits: limits,
		records: make(map[string]*entry),
	}
	replica.Observe(d.advance)
	return d
}

// advance takes the next view of the own service from a new configuration.
func (d *Deduplicator) advance(snapshot *catkinrun.Snapshot) {
	identity := d.replica.Identity()
	host, ok := snapshot.Host(identity.Host)
	if !ok || host.Incarnation != identity.Incarnation || host.Service == "" {
		return
	}
	view := snapshot.View(host.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.service != host.Service {
		d.service = host.Service
		d.pending = nil
		d.whole = 0
	} else if d.view.Version >= view.Version {
		return
	}
	d.view = view
	d.fence = max(d.fence, view.Version)
	d.pending = append(d.pending, &pendingView{View: view, at: d.clock.Now(), sources: make(map[string]bool)})
	d.settleLocked()
	d.log.WithFields(logrus.Fields{
		"service": d.service, "view": view.Version, "hosts": view.Hosts, "previous": view.Previous,
	}).Info("deduplicator: new view")
}

// settleLocked notes the views in which every record is known, from the oldest up.
// A host that knew all in the view before is a source for itself.
func (d *Deduplicator) settleLocked() {
	for len(d.pending) > 0 {
		next := d.pending[0]
		if d.whole != 0 && d.whole >= next.PreviousVersion {
			next.sources[d.replica.Identity().Host] = true
		}
		if !d.completeLocked(next) {
			return
		}
		d.whole = next.Version
		d.pending = d.pending[1:]
		d.log.WithFields(logrus.Fields{"service": d.service, "view": next.Version}).Info("deduplicator: records complete")
	}
}

// completeLocked reports whether at most so many hosts of the previous view are
// missing that every key's holders have still told enough. Records older than the
// retention need not be known.
func (d *Deduplicator) completeLocked(p *pendingView) bool {
	holders := min(holderCount, len(p.Previous))
	tolerated := holders - syncQuorum(holders)
	old := d.clock.Now().Sub(p.at) >= d.limits.Retention
	return len(p.Previous) == 0 || len(p.missing()) <= tolerated || old
}

// knownLocked reports whether every claim of the key that may have run is known.
func (d *Deduplicator) knownLocked(key string) bool {
	if len(d.pending) != 1 {
		return len(d.pending) == 0
	}
	holders := Holders(key, d.pending[0].Previous)
	told := 0
	for _, host := range holders {
		if d.pending[0].sources[host] {
			told++
		}
	}
	return told >= syncQuorum(len(holders))
}

// Claimed takes another owner's claim.
func (d *Deduplicator) Claimed(_ context.Context, c *Claim) (*ClaimAnswer, error) {
	if !d.replica.Member() {
		return &ClaimAnswer{}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Service != d.service || c.View < d.fence || c.View != d.view.Version {
		return &ClaimAnswer{}, nil
	}
	return &ClaimAnswer{Held: d.storeLocked(c.Record)}, nil
}

// storeLocked keeps a record and reports whether it did. The record of a finished
// request stays, and a claim is dropped only by the word of its own request.
func (d *Deduplicator) storeLocked(r Record) bool {
	old, ok := d.records[r.Key]
	if r.State == Dropped {
		if ok && old.Request == r.Request && old.State == Claimed {
			delete(d.records, r.Key)
		}
		return true
	}
	if ok && old.State == Done {
		return old.Request == r.Request
	}
	madeAt := d.clock.Now().Add(-time.Duration(r.AgeMS) * time.Millisecond)
	d.records[r.Key] = &entry{Record: r, madeAt: madeAt}
	return true
}

// Synced tells a host of a newer view the records that it holds there.
func (d *Deduplicator) Synced(_ context.Context, s *Sync) (*SyncAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Service != d.service || d.whole == 0 || d.whole < s.Previous {
		return &SyncAnswer{}, nil
	}
	d.fence = max(d.fence, s.View)
	answer := &SyncAnswer{Complete: true}
	now := d.clock.Now()
	for key, e := range d.records {
		if slices.Contains(Holders(key, s.Hosts), s.Host) {
			record := e.Record
			record.AgeMS = now.Sub(e.madeAt).Milliseconds()
			answer.Records = append(answer.Records, record)
		}
	}
	return answer, nil
}

// Serve syncs after changes of the view until ctx ends. It implements suture.Service.
func (d *Deduplicator) Serve(ctx context.Context) error {
	for {
		d.Round(ctx)
		if err := d.clock.Wait(ctx, d.limits.Interval); err != nil {
			return err
		}
	}
}

// Round asks the previous view's hosts that have not told their records yet, and
// drops records past their retention.
func (d *Deduplicator) Round(ctx context.Context) {
	d.expire()
	for _, host := range d.missing() {
		d.syncWith(ctx, host)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settleLocked()
}

// missing returns the hosts to ask for the oldest pending view.
func (d *Deduplicator) missing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) == 0 {
		return nil
	}
	self := d.replica.Identity().Host // a host that forgot its records is no source for itself
	return slices.DeleteFunc(d.pending[0].missing(), func(h string) bool { return h == self })
}

func (d *Deduplicator) syncWith(ctx context.Context, host string) {
	view, message := d.syncMessage()
	if view == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*d.limits.Interval)
	defer cancel()
	answer, err := d.peers.Sync(ctx, host, message)
	if err != nil || !answer.Complete {
		d.log.WithField("host", host).Debug("deduplicator: no records from host")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range answer.Records {
		d.storeLocked(r)
	}
	view.sources[host] = true
	d.settleLocked()
}

// syncMessage asks for the records of the oldest pending view; nil if none is.
func (d *Deduplicator) syncMessage() (*pendingView, *Sync) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) == 0 {
		return nil, nil
	}
	view := d.pending[0]
	return view, &Sync{
		Service: d.service, View: view.Version, Previous: view.PreviousVersion,
		Host: d.replica.Identity().Host, Hosts: view.Hosts,
	}
}

func (d *Deduplicator) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for key, e := range d.records {
		if now.Sub(e.madeAt) > d.limits.Retention {
			delete(d.records, key)
		}
	}
}

// Size returns the number of records held.
func (d *Deduplicator) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records)
}
