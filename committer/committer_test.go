package committer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/standin/platform"
)

func TestRaceHasOneWinnerAndOneConflict(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	ctx := context.Background()
	f.commit(0, f.teamMutation(0))
	is.NoErr(f.committers[1].CatchUp(ctx))
	both := f.teamMutation(0)
	_, err := f.committers[0].Commit(ctx, catkinrun.Change{ID: "a", Actor: "ana", Mutations: []catkinrun.Mutation{both}})
	is.NoErr(err)
	_, err = f.committers[1].Commit(ctx, catkinrun.Change{ID: "b", Actor: "ben", Mutations: []catkinrun.Mutation{both}})
	var conflict *catkinrun.ConflictError
	is.True(errors.As(err, &conflict)) // the loser is told
	is.Equal(conflict.Actor, "ana")
	is.Equal(conflict.Current, catkinrun.Version(2))
}

func TestLostAnswerIsKnownExactlyOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.store.SetFaults(platform.Faults{LoseWrites: 1})
	committed, err := f.committers[0].Commit(context.Background(),
		catkinrun.Change{ID: "a", Actor: "ana", Mutations: []catkinrun.Mutation{f.teamMutation(0)}})
	is.NoErr(err)
	is.Equal(committed.Version, catkinrun.Version(1))
	is.Equal(f.replicas[0].Snapshot().Version(), catkinrun.Version(1)) // not written twice
}

func TestOutageOfUnsentChangeIsNoUnknownResult(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.store.SetFaults(platform.Faults{Outage: true})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.committers[0].Commit(ctx, catkinrun.Change{ID: "a", Mutations: []catkinrun.Mutation{f.teamMutation(0)}})
	var store *catkinrun.StoreError
	is.True(errors.As(err, &store)) // nothing was sent, so nothing is unknown
}

func TestRosterChangesWaitForEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.commit(0, f.hostMutation(0))
	_, err := f.committers[1].Commit(context.Background(),
		catkinrun.Change{ID: "early", Mutations: []catkinrun.Mutation{f.hostMutation(1)}})
	is.True(err != nil) // the first roster change is not accepted yet
	f.replicas[0].Count()
	is.Equal(f.replicas[0].Accepted(), catkinrun.Version(1))
}

func TestPausedDaemonIsNotCurrent(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	is.NoErr(f.committers[0].CatchUp(context.Background()))
	_, current := f.replicas[0].Current()
	is.True(current)
	f.clock.Advance(limits.Proof + time.Millisecond)
	_, current = f.replicas[0].Current()
	is.True(!current) // nothing tells it that its copy is still the latest
}

func TestSnapshotsShortenTheStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for range 300 {
		f.commit(0, f.teamMutation(0))
	}
	reads := f.store.Counts().Reads
	is.NoErr(f.committers[1].CatchUp(context.Background()))
	is.Equal(f.replicas[1].Snapshot().Version(), catkinrun.Version(300))
	is.True(f.store.Counts().Reads-reads <= 8) // not one read per change
}

func TestMajorityKeepsServingWithoutTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	ctx := context.Background()
	for i := range 3 {
		f.commit(i, f.hostMutation(i))
		for j := range 3 {
			is.NoErr(f.committers[j].CatchUp(ctx))
		}
		f.gossip(is, 0, 1, 2)
	}
	f.store.SetFaults(platform.Faults{Outage: true})
	for range 20 {
		f.clock.Advance(time.Second)
		f.gossip(is, 0, 1)
	}
	_, current := f.replicas[0].Current()
	is.True(current) // two of three vouch for each other
	_, current = f.replicas[2].Current()
	is.True(!current) // the third is cut off
}

func (f *fleet) gossip(is *is.I, among ...int) {
	for range 3 {
		for _, i := range among {
			for _, j := range among {
				is.NoErr(f.replicas[i].Absorb(f.clock.Now(), f.replicas[j].Answer(f.replicas[i].Ask())))
			}
		}
	}
}
