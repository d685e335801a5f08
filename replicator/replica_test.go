package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/replicator"
)

func joins(version catkinrun.Version, hosts ...int) catkinrun.Change {
	change := catkinrun.Change{Version: version, ID: fmt.Sprint(version)}
	for _, i := range hosts {
		change.Mutations = append(change.Mutations, catkinrun.Mutation{Resource: catkinrun.Resource{
			Kind: catkinrun.KindHost, Name: fmt.Sprint("host-", i),
			Host: &catkinrun.Host{Incarnation: "1", Zone: "zone", Peer: "127.0.0.1:1", Service: "stock"},
		}})
	}
	return change
}

func TestRosterChangeLosesNoReadiness(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	limits := replicator.Limits{Proof: 4 * time.Second, Report: 3 * time.Second}
	var replicas []*replicator.Replica
	for i := range 2 {
		r := replicator.New(replicator.Identity{Host: fmt.Sprint("host-", i), Zone: "zone", Incarnation: "1"}, limits, c)
		r.Apply(joins(1, 0, 1))
		r.SetReady("stock")
		replicas = append(replicas, r)
	}
	is.NoErr(replicas[0].Absorb(c.Now(), replicas[1].Answer(replicas[0].Ask())))
	is.True(replicas[0].Hosts()["host-1"].Ready)
	replicas[0].Apply(joins(2, 2))
	is.True(replicas[0].Hosts()["host-1"].Ready) // known before, and still the same incarnation
}

func TestTreeReachesEveryHostInFewSteps(t *testing.T) {
	is := is.New(t)
	change := catkinrun.Change{Version: 1, ID: "1"}
	for i := range 1000 {
		change.Mutations = append(change.Mutations, joins(1, i).Mutations...)
	}
	s := catkinrun.NewSnapshot().With(change)
	children := make(map[string]int)
	for i := range 1000 {
		name := fmt.Sprint("host-", i)
		steps := 0
		for !replicator.Place(s, name, "zone").Root {
			name = replicator.Place(s, name, "zone").Parents[0]
			steps++
		}
		is.True(steps <= 4)
		children[replicator.Place(s, fmt.Sprint("host-", i), "zone").Parents[0]]++
	}
	for _, n := range children {
		is.True(n <= 9) // eight below, and the other root
	}
}
