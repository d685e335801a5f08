package deduplicator_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/replicator"
)

const (
	size      = 4
	keyCount  = 3
	retention = time.Hour
)

// node is one host with the real deduplicator.
type node struct {
	name    string
	inc     int
	cut     atomic.Bool
	replica *replicator.Replica
	dedupe  *deduplicator.Deduplicator
}

// running is a request that its owner began and has not ended.
type running struct {
	at           *node
	inc          int
	key, request string
}

// fleet is a log, nodes, and an oracle that counts the runs of each key.
type fleet struct {
	mu       sync.Mutex // of the nodes' parts, which messages under way read
	clock    *clock.Fake
	log      []catkinrun.Change
	nodes    []*node
	runs     map[string]int
	open     []running
	requests int
}

func newFleet() *fleet {
	f := &fleet{clock: clock.NewFake(), runs: make(map[string]int)}
	for i := range size {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("host-%d", i)})
		f.start(f.nodes[i])
		f.join(f.nodes[i])
	}
	f.settle()
	return f
}

func (f *fleet) start(n *node) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	identity := replicator.Identity{Host: n.name, Zone: "zone", Incarnation: fmt.Sprint(n.inc)}
	f.mu.Lock()
	defer f.mu.Unlock()
	n.replica = replicator.New(identity, replicator.Limits{Proof: time.Hour, Report: time.Hour}, f.clock)
	n.dedupe = deduplicator.New(n.replica, &wire{fleet: f, from: n}, f.clock, log,
		deduplicator.Limits{Retention: retention, Claim: time.Second, Interval: time.Second})
}

func (f *fleet) change(n *node, remove bool) {
	version := catkinrun.Version(len(f.log) + 1)
	f.log = append(f.log, catkinrun.Change{Version: version, ID: fmt.Sprint(version), Mutations: []catkinrun.Mutation{{
		Delete: remove,
		Resource: catkinrun.Resource{Kind: catkinrun.KindHost, Name: n.name, Host: &catkinrun.Host{
			Incarnation: fmt.Sprint(n.inc), Zone: "zone", Peer: "127.0.0.1:1", Service: "pay",
		}},
	}}})
}

func (f *fleet) join(n *node) { f.change(n, false) }

func (f *fleet) catchUp(n *node) {
	n.replica.Apply(f.log[n.replica.Snapshot().Version():]...)
	n.replica.ProveByStore(f.clock.Now(), catkinrun.Version(len(f.log)))
}

// settle lets all nodes learn the log and fetch records.
func (f *fleet) settle() {
	for range 3 {
		for _, n := range f.nodes {
			if !n.cut.Load() {
				f.catchUp(n)
				n.dedupe.Round(context.Background())
			}
		}
	}
}

type lostError struct{}

func (lostError) Error() string { return "lost" }

type wire struct {
	fleet *fleet
	from  *node
}

func (w *wire) find(host string) *deduplicator.Deduplicator {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, n := range w.fleet.nodes {
		if n.name == host && !n.cut.Load() && !w.from.cut.Load() {
			return n.dedupe
		}
	}
	return nil
}

func (w *wire) Claim(ctx context.Context, host string, c *deduplicator.Claim) (*deduplicator.ClaimAnswer, error) {
	if n := w.find(host); n != nil {
		return n.Claimed(ctx, c)
	}
	return nil, lostError{}
}

func (w *wire) Sync(ctx context.Context, host string, s *deduplicator.Sync) (*deduplicator.SyncAnswer, error) {
	if n := w.find(host); n != nil {
		return n.Synced(ctx, s)
	}
	return nil, lostError{}
}

// begin sends a request with a key to a host; if it is let through it runs.
func (f *fleet) begin(n *node, key string) error {
	f.requests++
	request := fmt.Sprint(f.requests)
	record, err := n.dedupe.Begin(context.Background(), key, request, "digest")
	if err == nil && record == nil {
		f.runs[key]++
		f.open = append(f.open, running{at: n, inc: n.inc, key: key, request: request})
	}
	return err
}

func (f *fleet) end(i int, answered bool) {
	r := f.open[i]
	f.open = append(f.open[:i], f.open[i+1:]...)
	if r.at.inc != r.inc {
		return
	}
	status := 0
	if answered {
		status = 200
	}
	r.at.dedupe.Finish(context.Background(), r.key, r.request, status, nil, []byte("done"))
}

func (f *fleet) check(t *rapid.T) {
	for key, runs := range f.runs {
		if runs > 1 {
			t.Fatalf("%s ran %d times", key, runs)
		}
	}
}

func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		host := rapid.IntRange(0, size-1)
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"request": func(t *rapid.T) {
				_ = f.begin(f.nodes[host.Draw(t, "host")], fmt.Sprint("key-", rapid.IntRange(1, keyCount).Draw(t, "key")))
			},
			"request ends": func(t *rapid.T) {
				if len(f.open) > 0 {
					f.end(rapid.IntRange(0, len(f.open)-1).Draw(t, "request"), rapid.Bool().Draw(t, "answered"))
				}
			},
			"catch up": func(t *rapid.T) { f.catchUp(f.nodes[host.Draw(t, "host")]) },
			"round":    func(t *rapid.T) { f.nodes[host.Draw(t, "host")].dedupe.Round(context.Background()) },
			"settle":   func(*rapid.T) { f.settle() },
			"cut":      func(t *rapid.T) { n := f.nodes[host.Draw(t, "host")]; n.cut.Store(!n.cut.Load()) },
			"leave":    func(t *rapid.T) { f.change(f.nodes[host.Draw(t, "host")], true) },
			"join":     func(t *rapid.T) { f.join(f.nodes[host.Draw(t, "host")]) },
			"restart": func(t *rapid.T) {
				n := f.nodes[host.Draw(t, "host")]
				n.inc++
				f.start(n)
			},
		})
	})
}

// owner returns the host that owns a key, as the hosts that are not cut off see it.
func (f *fleet) owner(key string) *node {
	var view catkinrun.View
	for _, n := range f.nodes {
		if v := n.replica.Snapshot().View("pay"); !n.cut.Load() && v.Version > view.Version {
			view = v
		}
	}
	owner := deduplicator.Holders(key, view.Hosts)[0]
	for _, n := range f.nodes {
		if n.name == owner {
			return n
		}
	}
	return nil
}

func TestRepetitionGetsTheFirstAnswerAfterTheOwnersDeath(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	owner := f.owner("key")
	is.NoErr(f.begin(owner, "key"))
	f.end(0, true)
	owner.dedupe.Flush()
	owner.cut.Store(true)
	f.change(owner, true)
	f.settle()
	record, err := f.owner("key").dedupe.Begin(context.Background(), "key", "again", "digest")
	is.NoErr(err)
	is.True(record != nil) // the next owner knows of the run
	is.Equal(f.runs["key"], 1)
}

func TestOwnerKilledDuringTheRunLeavesUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	owner := f.owner("key")
	is.NoErr(f.begin(owner, "key"))
	owner.cut.Store(true)
	f.change(owner, true)
	f.settle()
	err := f.begin(f.owner("key"), "key")
	var refusal *catkinrun.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, catkinrun.Unknown) // never a second run, never a false not-run
	is.NoErr(f.begin(f.owner("fresh"), "fresh")) // other keys go on at once
}

func TestPausedOwnerCannotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	owner := f.owner("key")
	f.change(owner, true)
	for _, n := range f.nodes {
		if n != owner { // the owner does not learn that it owns the key no longer
			f.catchUp(n)
		}
	}
	for range 3 {
		for _, n := range f.nodes {
			if n != owner {
				n.dedupe.Round(context.Background())
			}
		}
	}
	err := f.begin(owner, "key")
	var refusal *catkinrun.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, catkinrun.NotRun)
	is.Equal(f.runs["key"], 0)
}
