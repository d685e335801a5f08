package committer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/committer"
	"github.com/catkinrun/catkinrun/replicator"
	"github.com/catkinrun/catkinrun/standin/platform"
)

var limits = replicator.Limits{Proof: 4 * time.Second, Report: 3 * time.Second}

// answerUnderWay is a pull whose answer has not come yet.
type answerUnderWay struct {
	to     int
	inc    int // of the asking daemon
	sentAt time.Time
	answer replicator.Answer
}

// fleet drives real replicas and committers over a fake clock, store and network.
// Its oracle knows when each version was first accepted anywhere.
type fleet struct {
	clock      *clock.Fake
	store      *platform.Platform
	replicas   []*replicator.Replica
	committers []*committer.Committer
	incs       []int
	late       []answerUnderWay
	acceptedAt map[catkinrun.Version]time.Time
	changes    int
	highest    []catkinrun.Version // that each incarnation held
}

func newFleet(size int) *fleet {
	f := &fleet{clock: clock.NewFake(), acceptedAt: make(map[catkinrun.Version]time.Time)}
	f.store = platform.New(f.clock, platform.Limits{Reads: 1 << 30, Writes: 1 << 30})
	for i := range size {
		f.replicas = append(f.replicas, nil)
		f.committers = append(f.committers, nil)
		f.incs = append(f.incs, 0)
		f.highest = append(f.highest, 0)
		f.start(i)
	}
	return f
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%2) }

func (f *fleet) start(i int) {
	identity := replicator.Identity{Host: hostName(i), Zone: zoneOf(i), Incarnation: fmt.Sprintf("inc-%d", f.incs[i])}
	f.replicas[i] = replicator.New(identity, limits, f.clock)
	f.committers[i] = committer.New(f.store, f.store, f.replicas[i], f.clock)
	f.highest[i] = 0
}

func (f *fleet) hostMutation(i int) catkinrun.Mutation {
	current, _ := f.replicas[i].Snapshot().Get(catkinrun.KindHost, hostName(i))
	return catkinrun.Mutation{Replace: current.Version, Resource: catkinrun.Resource{
		Kind: catkinrun.KindHost, Name: hostName(i),
		Host: &catkinrun.Host{
			Incarnation: fmt.Sprintf("inc-%d", f.incs[i]), Zone: zoneOf(i),
			Peer: fmt.Sprintf("127.0.0.%d:1", i+1), Service: "stock", Slots: 10,
		},
	}}
}

// commit appends a change through daemon i; a conflict or a busy roster is no failure.
func (f *fleet) commit(i int, m catkinrun.Mutation) {
	f.changes++
	change := catkinrun.Change{ID: fmt.Sprintf("change-%d", f.changes), Actor: "test", Mutations: []catkinrun.Mutation{m}}
	_, _ = f.committers[i].Commit(context.Background(), change)
}

func (f *fleet) teamMutation(i int) catkinrun.Mutation {
	current, _ := f.replicas[i].Snapshot().Get(catkinrun.KindTeam, "team")
	return catkinrun.Mutation{Replace: current.Version, Resource: catkinrun.Resource{
		Kind: catkinrun.KindTeam, Name: "team", Team: &catkinrun.Team{Rate: float64(f.changes + 1), Burst: 1},
	}}
}

// changeTeam changes the team through daemon i, from the newest version it can read.
func (f *fleet) changeTeam(i int) {
	_ = f.committers[i].CatchUp(context.Background())
	f.commit(i, f.teamMutation(i))
}

func (f *fleet) ask(i, j int) {
	sentAt := f.clock.Now()
	answer := f.replicas[j].Answer(f.replicas[i].Ask())
	f.late = append(f.late, answerUnderWay{to: i, inc: f.incs[i], sentAt: sentAt, answer: answer})
}

func (f *fleet) deliver(n int) error {
	m := f.late[n]
	f.late = append(f.late[:n], f.late[n+1:]...)
	if f.incs[m.to] != m.inc {
		return nil
	}
	return f.replicas[m.to].Absorb(m.sentAt, m.answer)
}

// check is the oracle: no daemon is current on a version older than one accepted
// at least Proof ago, and none goes back.
func (f *fleet) check(t *rapid.T) {
	now := f.clock.Now()
	for i, r := range f.replicas {
		if v := r.Accepted(); f.acceptedAt[v].IsZero() {
			f.acceptedAt[v] = now
		}
		version := r.Snapshot().Version()
		if version < f.highest[i] {
			t.Fatalf("host %d went back from %d to %d", i, f.highest[i], version)
		}
		f.highest[i] = version
	}
	for i, r := range f.replicas {
		snapshot, current := r.Current()
		for v, at := range f.acceptedAt {
			if current && snapshot.Version() < v && now.Sub(at) >= limits.Proof {
				t.Fatalf("host %d serves on version %d; %d was accepted %s ago", i, snapshot.Version(), v, now.Sub(at))
			}
		}
	}
}

func TestNoDaemonServesAnOldVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		f := newFleet(size)
		host := rapid.IntRange(0, size-1)
		for i := range size {
			f.commit(i, f.hostMutation(i))
			for j := range i + 1 { // all so far learn of it, so that the next may join
				_ = f.committers[j].CatchUp(context.Background())
				for k := range i + 1 {
					_ = f.replicas[j].Absorb(f.clock.Now(), f.replicas[k].Answer(f.replicas[j].Ask()))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"time passes": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"store read": func(t *rapid.T) { _ = f.committers[host.Draw(t, "host")].CatchUp(context.Background()) },
			"ask":        func(t *rapid.T) { f.ask(host.Draw(t, "from"), host.Draw(t, "to")) },
			"answer comes": func(t *rapid.T) {
				if len(f.late) > 0 {
					if err := f.deliver(rapid.IntRange(0, len(f.late)-1).Draw(t, "answer")); err != nil {
						t.Fatal(err)
					}
				}
			},
			"all gossip": func(*rapid.T) {
				for i := range size {
					for j := range size {
						_ = f.replicas[i].Absorb(f.clock.Now(), f.replicas[j].Answer(f.replicas[i].Ask()))
					}
				}
			},
			"team changes": func(t *rapid.T) {
				i := host.Draw(t, "host")
				f.changeTeam(i)
			},
			"answer of the store is lost": func(t *rapid.T) {
				i := host.Draw(t, "host")
				f.store.SetFaults(platform.Faults{LoseWrites: 1})
				f.changeTeam(i)
				f.store.SetFaults(platform.Faults{})
			},
			"restart": func(t *rapid.T) {
				i := host.Draw(t, "host")
				f.incs[i]++
				f.start(i)
			},
			"join": func(t *rapid.T) {
				i := host.Draw(t, "host")
				_ = f.committers[i].CatchUp(context.Background())
				f.commit(i, f.hostMutation(i))
			},
			"removal": func(t *rapid.T) {
				i := host.Draw(t, "host")
				_ = f.committers[i].CatchUp(context.Background())
				m := f.hostMutation(host.Draw(t, "removed"))
				current, ok := f.replicas[i].Snapshot().Get(catkinrun.KindHost, m.Resource.Name)
				if ok && f.replicas[i].Snapshot().Count(catkinrun.KindHost) > 2 {
					f.commit(i, catkinrun.Mutation{Replace: current.Version, Delete: true, Resource: current})
				}
			},
		})
	})
}
