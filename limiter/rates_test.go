package limiter_test

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/limiter"
)

const (
	teamName  = "team"
	teamRate  = 100.0 // requests per second
	teamBurst = 60.0
	// The users' bound: (rate x window + burst) x 1.1 + 20 requests in each window of 5 s.
	window         = 5 * time.Second
	boundTolerance = 0.1
	boundAllowance = 20
	ownerTable     = "members"
)

// store is a table with one row. All daemons that are not partitioned read it at each tick.
type store struct {
	catkinrun.Store
	row catkinrun.Row
}

func (s *store) Commit(_ context.Context, t catkinrun.Transaction) (catkinrun.Page, error) {
	if t.Preconditions[0].Revision != s.row.Revision {
		return catkinrun.Page{}, &catkinrun.PreconditionError{Key: t.Preconditions[0].Key, Current: s.row}
	}
	s.row = catkinrun.Row{Key: t.Writes[0].Key, Value: t.Writes[0].Value, Revision: s.row.Revision + 1}
	return catkinrun.Page{Revision: s.row.Revision}, nil
}

// fleet is a set of daemons that share one team's rate.
type fleet struct {
	clock    *clock.Fake
	store    *store
	members  []catkinrun.Member
	daemons  []*daemon
	servedAt []time.Time
}

type daemon struct {
	fleet       *fleet
	name        string
	broker      *broker.Broker
	limiter     *limiter.Limiter
	partitioned bool // from the store and from the other daemons
	crashed     bool // never restarted
}

func (f *fleet) Members() []catkinrun.Member { return f.members }
func (f *fleet) Count() int                  { return len(f.members) }
func (f *fleet) Row(string) catkinrun.Row    { return catkinrun.Row{} }
func (f *fleet) Apply(catkinrun.Page, bool)  {}

func (d *daemon) Assignment() (assignment broker.Assignment, changed <-chan struct{}) {
	return d.broker.Assignment()
}

func (d *daemon) RecordResponse(owner broker.Owner, response *broker.TokenResponse, err error) {
	d.broker.RecordResponse(owner, response, err)
}

func (d *daemon) Standing() (votes, isVoter bool) { return d.broker.Standing() }

// ownsTeam reports whether this daemon believes that it owns the team's shard.
func (d *daemon) ownsTeam() bool {
	assignment, _ := d.broker.Assignment()
	owner, ok := assignment.Owner(broker.ShardOf(teamName))
	return ok && owner.Host == d.name
}

func (d *daemon) RequestTokens(ctx context.Context, owner broker.Owner, request *broker.TokenRequest) (*broker.TokenResponse, error) {
	for _, other := range d.fleet.daemons {
		if other.name != owner.Host || other != d && (d.partitioned || other.partitioned) {
			continue
		}
		if other.crashed {
			return nil, syscall.ECONNREFUSED
		}
		return other.broker.GrantTokens(ctx, request)
	}
	return nil, &catkinrun.NotFoundError{Kind: "host", Name: owner.Host}
}

func newFleet(t *rapid.T, count int) *fleet {
	f := &fleet{clock: clock.NewFake(), store: &store{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	snapshots := configurer.New(f.clock, log)
	_, err := snapshots.Apply(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{
		{Kind: catkinrun.KindTeam, Name: teamName, Team: &catkinrun.Team{Rate: teamRate, Burst: teamBurst}},
	}}, "test")
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		name := fmt.Sprintf("host-%03d", i)
		f.members = append(f.members, catkinrun.Member{Host: name, Peer: name, Incarnation: name})
		d := &daemon{fleet: f, name: name}
		d.broker = broker.New(f.store, f, snapshots, f.clock, log, ownerTable, broker.Owner{Host: name, Peer: name, Incarnation: name}, d.RequestTokens)
		d.limiter = limiter.New(snapshots, f, d, f.clock, log, name)
		f.daemons = append(f.daemons, d)
	}
	return f
}

// tick advances the clock by 50 ms. Each daemon then reads the store, claims the ownership
// if it should, and requests tokens.
func (f *fleet) tick() {
	f.clock.Advance(50 * time.Millisecond)
	for _, d := range f.daemons {
		if d.crashed {
			continue
		}
		if !d.partitioned {
			d.broker.Apply(catkinrun.Page{Rows: []catkinrun.Row{f.store.row}}, true)
			d.broker.Poll(context.Background())
		}
		d.limiter.RequestTokens(context.Background())
	}
}

func (f *fleet) request(d *daemon) {
	if d.crashed {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Take does not wait
	if d.limiter.Take(ctx, teamName, limiter.Patience{}) == nil {
		f.servedAt = append(f.servedAt, f.clock.Now())
	}
}

// exceedsBound returns the number of requests served in the last window, and whether it
// exceeds the bound.
func (f *fleet) exceedsBound() (int, bool) {
	count := 0
	for i := len(f.servedAt) - 1; i >= 0 && f.clock.Now().Sub(f.servedAt[i]) <= window; i-- {
		count++
	}
	bound := (teamRate*window.Seconds()+teamBurst)*(1+boundTolerance) + boundAllowance
	return count, float64(count) > bound
}

// TestRateHoldsOverAllHosts partitions hosts, including owners, while callers send requests
// far above the rate, and checks the bound over all hosts together.
func TestRateHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 9).Draw(t, "hosts"))
		anyHost := rapid.IntRange(0, len(f.daemons)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if count, exceeded := f.exceedsBound(); exceeded {
					t.Fatalf("%d requests served in a window, above the bound", count)
				}
			},
			"time passes": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "ticks") {
					f.tick()
				}
			},
			"press": func(t *rapid.T) {
				from, hosts := anyHost.Draw(t, "from"), rapid.IntRange(1, len(f.daemons)).Draw(t, "hosts")
				for range rapid.IntRange(1, 60).Draw(t, "ticks") {
					f.tick()
					for i := range 60 {
						f.request(f.daemons[(from+i%hosts)%len(f.daemons)])
					}
				}
			},
			"cut": func(t *rapid.T) {
				d := f.daemons[anyHost.Draw(t, "host")]
				d.partitioned = !d.partitioned
			},
		})
	})
}

// TestSteadyDemandBelowTheRateIsServed sends 60 % of the rate to one of six hosts.
func TestSteadyDemandBelowTheRateIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 6)
		for range 200 {
			f.tick()
		}
		before := len(f.servedAt)
		for range 100 {
			f.tick()
			for range 3 {
				f.request(f.daemons[2])
			}
		}
		if served := len(f.servedAt) - before; served < 290 {
			t.Fatalf("%d of 300 requests served within the rate", served)
		}
	})
}

// TestOwnerIsReplacedWhenSuccessorsCrash crashes the owner and the next two owners after
// it, and checks that requests below the rate are served four seconds after the last crash.
func TestOwnerIsReplacedWhenSuccessorsCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 8)
		for range 100 {
			f.tick()
		}
		for range 3 {
			for range 16 { // 800 ms: the next host claims the ownership before it crashes
				f.tick()
			}
			for _, d := range f.daemons {
				if d.ownsTeam() {
					d.crashed = true
				}
			}
		}
		for range 80 {
			f.tick()
		}
		before, served := len(f.servedAt), 0
		for range 100 {
			f.tick()
			for range 3 {
				for _, d := range f.daemons {
					if !d.crashed {
						f.request(d)
						break
					}
				}
			}
		}
		served = len(f.servedAt) - before
		if served < 280 {
			t.Fatalf("%d of 300 requests served within the rate", served)
		}
	})
}
