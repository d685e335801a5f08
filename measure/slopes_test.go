//go:build measure

package measure

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/replicator"
)

// The size of letter 1.
const (
	fullHosts    = 13000
	fullServices = 830
	fullZones    = 13
)

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// resources makes so many of one kind.
func resources(kind catkinrun.Kind, count int) []catkinrun.Resource {
	list := make([]catkinrun.Resource, 0, count)
	for i := range count {
		r := catkinrun.Resource{Kind: kind, Name: fmt.Sprintf("%s-%06d", kind, i), Actor: "operator"}
		switch kind {
		case catkinrun.KindTeam:
			r.Team = &catkinrun.Team{Rate: 10, Burst: 10}
		case catkinrun.KindKey:
			r.Key = &catkinrun.Key{Team: fmt.Sprintf("team-%06d", i), Hash: fmt.Sprintf("%064d", i)}
		case catkinrun.KindRoute:
			r.Route = &catkinrun.Route{Service: fmt.Sprint("service-", i%fullServices), Method: "GET", Path: fmt.Sprint("/route/", i), Timeout: catkinrun.Duration(time.Second)}
		case catkinrun.KindHost:
			r.Host = &catkinrun.Host{
				Incarnation: fmt.Sprintf("%032d", i), Zone: fmt.Sprintf("zone-%02d", i%fullZones),
				Peer: fmt.Sprintf("10.%d.%d.%d:7003", i/65536, i/256%256, i%256), Service: fmt.Sprint("service-", i%fullServices), Slots: 100,
			}
		}
		list = append(list, r)
	}
	return list
}

func load(count map[catkinrun.Kind]int) *catkinrun.Snapshot {
	data := catkinrun.SnapshotData{Version: 1, RosterVersion: 1}
	for kind, n := range count {
		data.Resources = append(data.Resources, resources(kind, n)...)
	}
	s, err := catkinrun.LoadSnapshot(data)
	if err != nil {
		panic(err)
	}
	return s
}

func TestStateSlopes(t *testing.T) {
	for _, kind := range catkinrun.Kinds {
		const n = 20000
		before := heap()
		s := load(map[catkinrun.Kind]int{kind: n})
		note(fmt.Sprintf("state-bytes-per-%s", kind), (heap()-before)/n, "B")
		runtime.KeepAlive(s)
	}
}

// TestFullSizeMessages times the exchange of one host at full size, and weighs its
// messages.
func TestFullSizeMessages(t *testing.T) {
	for _, hosts := range []int{13, 1300, fullHosts} {
		measureExchange(t, hosts)
	}
}

func measureExchange(t *testing.T, hosts int) {
	s := load(map[catkinrun.Kind]int{catkinrun.KindHost: hosts})
	c := clock.System{}
	limits := replicator.Limits{Proof: 16 * time.Second, Report: 12 * time.Second}
	newReplica := func(name string) *replicator.Replica {
		entry, _ := s.Host(name)
		r := replicator.New(replicator.Identity{Host: name, Zone: entry.Zone, Incarnation: entry.Incarnation}, limits, c)
		r.Load(s)
		r.SetReady(entry.Service)
		r.ProveByStore(c.Now(), 1)
		return r
	}
	parent, child := newReplica("host-000000"), newReplica("host-000013")
	if hosts <= 13 {
		child = newReplica("host-000001")
	}
	fillViews(t, parent, s)
	ask, answer := child.Ask(), parent.Answer(child.Ask())
	rawAsk, _ := messenger.Encode(ask)
	rawAnswer, _ := messenger.Encode(answer)
	suffix := fmt.Sprintf("-at-%d-hosts", hosts)
	note("pull-ask-bytes"+suffix, float64(len(rawAsk)), "B")
	note("pull-answer-bytes"+suffix, float64(len(rawAnswer)), "B")
	note("pull-answer-cpu-us"+suffix, micros(func() { parent.Answer(ask) }), "us")
	note("pull-absorb-cpu-us"+suffix, micros(func() { _ = child.Absorb(c.Now(), answer) }), "us")
	note("hosts-status-cpu-us"+suffix, micros(func() { child.Hosts() }), "us")
	owned := s.With(restart(s, "host-000000")) // names the owners of all shards
	change := restart(owned, "host-000001")
	note("roster-change-cpu-us"+suffix, micros(func() { owned.With(change) }), "us")
}

// restart is the change that a new incarnation of a host makes.
func restart(s *catkinrun.Snapshot, name string) catkinrun.Change {
	entry, _ := s.Get(catkinrun.KindHost, name)
	moved := *entry.Host
	moved.Incarnation += "-moved"
	entry.Host = &moved
	return catkinrun.Change{Version: s.Version() + 1, ID: "restart", Mutations: []catkinrun.Mutation{{Replace: entry.Version, Resource: entry}}}
}

// fillViews gives a replica word of every host of every zone.
func fillViews(t *testing.T, r *replicator.Replica, s *catkinrun.Snapshot) {
	var answer replicator.Answer
	for _, zone := range s.Zones() {
		tally := replicator.Tally{Zone: zone, Roster: s.RosterVersion(), Held: s.Version(), Age: time.Second}
		for i := range s.ZoneHosts(zone) {
			tally.Seen = tally.Seen.With(i)
		}
		tally.Voters, tally.Ready = tally.Seen, tally.Seen
		answer.Tallies = append(answer.Tallies, tally)
	}
	if err := r.Absorb(time.Now(), answer); err != nil {
		t.Fatal(err)
	}
}

// micros is the mean time of a call.
func micros(call func()) float64 {
	const patience = 300 * time.Millisecond
	begun := time.Now()
	calls := 0
	for time.Since(begun) < patience {
		call()
		calls++
	}
	return float64(time.Since(begun).Microseconds()) / float64(calls)
}

func TestShareMessages(t *testing.T) {
	ask := broker.Ask{Host: "host-000000", Incarnation: fmt.Sprintf("%032d", 1), Sequence: 1000}
	answer := broker.Answer{Sequence: 1000}
	size := func() float64 {
		a, _ := messenger.Encode(ask)
		b, _ := messenger.Encode(answer)
		return float64(len(a) + len(b))
	}
	base := size()
	for i := range 100 {
		name := fmt.Sprintf("team-%06d", i)
		ask.Wants = append(ask.Wants, broker.Want{Team: name, Epoch: 100000, Held: broker.Share{Rate: 1.5, Burst: 2.5}, Demand: 3.5})
		answer.Grants = append(answer.Grants, broker.Grant{Team: name, Epoch: 100000, Share: broker.Share{Rate: 1.5, Burst: 2.5}, Tokens: 0.5})
	}
	note("share-bytes-per-exchange", base, "B")
	note("share-bytes-per-team", (size()-base)/100, "B")
}
