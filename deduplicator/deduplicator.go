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
	view    catkinrun.View
	viewAt  time.Time
	fence   catkinrun.Version // claims of older views are refused
	whole   catkinrun.Version // newest view in which all of this host's records are known
	sources map[string]bool   // hosts of the previous view that told their records
	records map[string]*entry
}

// New returns a deduplicator without records.
func New(replica *replicator.Replica, peers Peers, clock catkinrun.Clock, log logrus.FieldLogger, limits Limits) *Deduplicator {
	return &Deduplicator{
		replica: replica, peers: peers, clock: clock, log: log, limits: limits,
		records: make(map[string]*entry),
	}
}

// advance moves to the newest view of the own service that the replica knows.
func (d *Deduplicator) advance() {
	snapshot := d.replica.Snapshot()
	identity := d.replica.Identity()
	host, ok := snapshot.Host(identity.Host)
	if !ok || host.Incarnation != identity.Incarnation || host.Service == "" {
		return
	}
	view := snapshot.View(host.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.service == host.Service && d.view.Version >= view.Version {
		return
	}
	d.service = host.Service
	d.view = view
	d.viewAt = d.clock.Now()
	d.fence = max(d.fence, view.Version)
	d.sources = make(map[string]bool)
	if d.whole != 0 && d.whole >= view.PreviousVersion {
		d.sources[identity.Host] = true
	}
	d.settleLocked()
	d.log.WithFields(logrus.Fields{
		"service": d.service, "view": view.Version, "hosts": view.Hosts, "previous": view.Previous,
	}).Info("deduplicator: new view")
}

// settleLocked notes when every key of the previous view is known: at most one
// holder of any three may be missing.
func (d *Deduplicator) settleLocked() {
	if d.whole >= d.view.Version {
		return
	}
	missing := 0
	for _, host := range d.view.Previous {
		if !d.sources[host] {
			missing++
		}
	}
	holders := min(holderCount, len(d.view.Previous))
	tolerated := holders - syncQuorum(holders)
	old := d.clock.Now().Sub(d.viewAt) >= d.limits.Retention
	if len(d.view.Previous) == 0 || missing <= tolerated || old {
		d.whole = d.view.Version
		d.log.WithFields(logrus.Fields{"service": d.service, "view": d.view.Version}).Info("deduplicator: records complete")
	}
}

// knownLocked reports whether every claim of the key that may have run is known.
func (d *Deduplicator) knownLocked(key string) bool {
	if d.whole >= d.view.Version {
		return true
	}
	holders := Holders(key, d.view.Previous)
	told := 0
	for _, host := range holders {
		if d.sources[host] {
			told++
		}
	}
	return told >= syncQuorum(len(holders))
}

// Claimed takes another owner's claim.
func (d *Deduplicator) Claimed(_ context.Context, c *Claim) (*ClaimAnswer, error) {
	d.advance()
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
	d.advance()
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
	d.advance()
	d.expire()
	for _, host := range d.missing() {
		d.syncWith(ctx, host)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settleLocked()
}

func (d *Deduplicator) missing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.whole >= d.view.Version {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(d.view.Previous), func(h string) bool { return d.sources[h] })
}

func (d *Deduplicator) syncWith(ctx context.Context, host string) {
	d.mu.Lock()
	view := d.view
	message := &Sync{
		Service: d.service, View: view.Version, Previous: view.PreviousVersion,
		Host: d.replica.Identity().Host, Hosts: view.Hosts,
	}
	d.mu.Unlock()
	if host == message.Host {
		return // a host that forgot its records is no source for itself
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
	if d.view.Version != view.Version {
		return
	}
	for _, r := range answer.Records {
		d.storeLocked(r)
	}
	d.sources[host] = true
	d.settleLocked()
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
