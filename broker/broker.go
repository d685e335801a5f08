// Package broker grants tokens of the teams' rates. The teams are divided into shards by
// hash, and each shard has an owner, a daemon that holds a bucket for each of the shard's
// teams. All daemons request tokens from the owners as their callers need them.
//
// It answers two load patterns: one team's requests that arrive at a few of many hosts, or
// at other hosts than a moment ago, and one team that sends many times its rate through
// all of them.
//
// A row in the store assigns the owners; each assignment has a generation, and a shard's
// epoch is the generation in which its owner last changed. An owner grants tokens only while
// a majority of the shard's voters, hosts chosen by rendezvous hashing, supports its epoch,
// and only after the authority of every earlier owner has certainly ended. Two owners
// therefore never grant tokens of one shard at the same time, and an owner continues to grant
// tokens during a store outage.
//
// Each host has a local share of every rate, for the time without an owner. While a host is in
// touch with the owner it does not use its share, and the owner grants those tokens too.
// docs/design/rates.md gives the argument.
package broker

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// maxLocalFraction is the fraction of each rate that the local shares of all hosts have
	// together.
	maxLocalFraction = 0.35
	// localShareHosts is the number of hosts from which on the local shares become smaller:
	// the share of one of many hosts is below one request for most teams, while a large fleet
	// always has hosts that are out of touch and whose shares nobody can use.
	localShareHosts = 32
)

// LocalShare returns the fraction of each rate that one of count hosts may use while it is
// out of touch with the owner, 0 if no hosts are known.
func LocalShare(count int) float64 {
	if count == 0 {
		return 0
	}
	return maxLocalFraction * min(1, localShareHosts/float64(count)) / float64(count)
}

// Members lists the hosts, sorted by name, and has their rows.
type Members interface {
	Members() []catkinrun.Member
	Row(host string) catkinrun.Row
	Apply(page catkinrun.Page, complete bool)
}

// SnapshotSource provides the configuration in force, which declares the teams.
type SnapshotSource interface {
	Snapshot() *catkinrun.Snapshot
}

// Ask sends a token request to an owner.
type Ask func(ctx context.Context, owner Owner, request *TokenRequest) (*TokenResponse, error)

// Broker grants the tokens of the shards that this daemon owns, and claims shards whose
// owner has failed.
type Broker struct {
	store     catkinrun.Store
	members   Members
	snapshots SnapshotSource
	clock     catkinrun.Clock
	log       logrus.FieldLogger
	table     string
	self      Owner
	ask       Ask
	wake      chan struct{} // an owner's process has ended

	startedAt time.Time

	mu            sync.Mutex
	assignment    Assignment
	revision      catkinrun.Revision // of the assignment's row
	changed       chan struct{}      // closed and replaced when the assignment changes
	listed        bool               // the store has been read since the start of this daemon
	superseded    bool               // a later generation exists, but has not arrived yet
	supported     []support          // votes for the owners of earlier assignments that may still count
	abstainsUntil time.Duration      // reading of this daemon's clock until which it does not vote
	resigned      bool
	health        map[string]*ownerHealth // by host
	refusedIn     uint64                  // generation in which the voters last refused to replace an owner

	// As an owner.
	supporters  map[string]*supporter // by host
	ledgers     map[int]*ledger       // of the shards whose tokens are granted
	ready       ShardSet              // shards whose tokens are granted
	unconfirmed map[Owner]ShardSet    // by former owner: own shards of which it may still grant tokens
	retired     map[int]*ledger       // of shards that this daemon has lost to another in this generation
	handedOver  map[string]int        // by team: tokens received from the former owner
	hosts       []string
	eligible    []string // hosts that may be voters: those that are not leaving, whose row may stay after they have left
	voters      [voterGroupCount][]string
	updatedAt   time.Duration
	signs       map[string]lastSign // by host
	departedAt  time.Duration       // last search for hosts that are gone
}

// New returns a broker for the daemon that self describes. The assignment's row is in table.
func New(store catkinrun.Store, members Members, snapshots SnapshotSource, clock catkinrun.Clock, log logrus.FieldLogger, table string, self Owner, ask Ask) *Broker {
	return &Broker{
		store: store, members: members, snapshots: snapshots, clock: clock, log: log, table: table, self: self, ask: ask,
		wake: make(chan struct{}, 1), startedAt: clock.Now(), changed: make(chan struct{}), health: make(map[string]*ownerHealth),
		supporters: make(map[string]*supporter), ledgers: make(map[int]*ledger), unconfirmed: make(map[Owner]ShardSet), updatedAt: math.MinInt64,
	}
}

// Apply applies rows that the store has returned, which are all rows of the table if complete
// is true; all but the assignment's row are ignored.
func (b *Broker) Apply(page catkinrun.Page, complete bool) {
	for _, row := range page.Rows {
		if row.Key == RowKey && !row.Deleted {
			b.applyRow(row)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if complete {
		b.applyAbsenceLocked(page)
	}
	b.listed = b.listed || complete
}

func (b *Broker) applyRow(row catkinrun.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if row.Revision <= b.revision {
		return
	}
	b.revision = row.Revision
	var assignment Assignment
	err := json.Unmarshal(row.Value, &assignment)
	if err == nil {
		err = assignment.Validate()
	}
	if err != nil {
		b.log.WithError(err).Warn("broker: cannot decode the assignment of owners")
		return
	}
	b.applyLocked(assignment)
}

// ApplyAssignment applies an assignment that another daemon has sent.
func (b *Broker) ApplyAssignment(assignment Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyLocked(assignment)
}

// applyLocked applies an assignment if it is newer than the one in force. Shards that stay
// with this daemon keep their ledgers.
func (b *Broker) applyLocked(assignment Assignment) {
	if assignment.Generation <= b.assignment.Generation {
		return
	}
	b.abstainLocked(assignment)
	var reassigned ShardSet
	b.retired, b.handedOver = make(map[int]*ledger), make(map[string]int)
	for shard := range ShardCount {
		if assignment.Epoch(shard) == b.assignment.Epoch(shard) {
			continue
		}
		reassigned = reassigned.With(shard)
		if l, ok := b.ledgers[shard]; ok {
			b.retired[shard] = l
			delete(b.ledgers, shard)
		}
	}
	b.assignment = assignment
	b.superseded = false
	b.ready = b.ready.Without(reassigned)
	b.updateUnconfirmedLocked(reassigned)
	b.forgetEpochsLocked(reassigned)
	close(b.changed)
	b.changed = make(chan struct{})
	hosts := make([]string, 0, len(assignment.Owners))
	for _, owner := range assignment.Owners {
		hosts = append(hosts, owner.Host)
	}
	b.log.WithFields(logrus.Fields{"owners": hosts, "generation": assignment.Generation}).Info("broker: owners changed")
}

// updateUnconfirmedLocked adds the former owners of shards that this daemon has got, and
// removes the shards that it has lost.
func (b *Broker) updateUnconfirmedLocked(reassigned ShardSet) {
	owned := b.assignment.OwnedBy(b.self)
	for owner, shards := range b.unconfirmed {
		b.unconfirmed[owner] = shards & owned & ^reassigned
	}
	for _, owner := range b.assignment.Former {
		b.unconfirmed[owner] |= b.assignment.FormerOf(owner) & owned & reassigned
	}
	if b.assignment.eraOf() < b.revision.Era() { // written without knowing that the store was restored
		b.unconfirmed[Owner{}] |= owned & reassigned
	}
}

// Assignment returns the assignment in force and a channel that is closed when it changes.
func (b *Broker) Assignment() (assignment Assignment, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.assignment, b.changed
}

// Resign makes this daemon grant no more tokens. It must be called before the daemon refuses
// connections, which other daemons take as proof that its process has ended.
func (b *Broker) Resign() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resigned = true
	b.ledgers = make(map[int]*ledger)
}
