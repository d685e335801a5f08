package limiter_test

import (
	"context"
	"fmt"
	"io"
	"slices"
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
	row    catkinrun.Row
	backup []catkinrun.Row // as of each transaction of the present era and of those before its backup
	era    uint64
}

func (s *store) Commit(_ context.Context, t catkinrun.Transaction) (catkinrun.Page, error) {
	if expected := t.Preconditions[0].Revision; expected != s.row.Revision && (expected.Count() != 0 || s.row.Revision.Count() != 0) {
		return catkinrun.Page{}, &catkinrun.PreconditionError{Key: t.Preconditions[0].Key, Current: s.row}
	}
	s.backup = append(s.backup, s.row)
	s.row = catkinrun.Row{Key: t.Writes[0].Key, Value: t.Writes[0].Value, Revision: catkinrun.NewRevision(s.era, s.row.Revision.Count()+1)}
	return catkinrun.Page{Revision: s.row.Revision}, nil
}

// restore begins a new era with a backup from before the last transactions.
func (s *store) restore(lost int) {
	s.era++
	if n := max(0, len(s.backup)-lost); n < len(s.backup) {
		s.row, s.backup = s.backup[n], s.backup[:n]
	}
	s.row.Revision = catkinrun.NewRevision(s.era, s.row.Revision.Count())
}

// list returns the row, if there is one.
func (s *store) list() catkinrun.Page {
	page := catkinrun.Page{Revision: s.row.Revision}
	if s.row.Revision.Count() > 0 {
		page.Rows = []catkinrun.Row{s.row}
	}
	return page
}

// fleet is a set of daemons that share one team's rate.
type fleet struct {
	clock    *clock.Fake
	store    *store
	members  []catkinrun.Member
	daemons  []*daemon
	servedAt []time.Time

	snapshots *configurer.Configurer
	log       *logrus.Logger
}

type daemon struct {
	fleet       *fleet
	name        string
	broker      *broker.Broker
	limiter     *limiter.Limiter
	partitioned bool // from the store and from the other daemons
	crashed     bool // never restarted
	starts      int
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

func (d *daemon) Standing() broker.Standing { return d.broker.Standing() }

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
	f.snapshots, f.log = snapshots, log
	for i := range count {
		name := fmt.Sprintf("host-%03d", i)
		f.members = append(f.members, catkinrun.Member{Host: name, Peer: name})
		f.daemons = append(f.daemons, &daemon{fleet: f, name: name})
		f.start(i)
	}
	return f
}

// start starts the daemon of a host, again if it runs.
func (f *fleet) start(host int) {
	d := f.daemons[host]
	d.starts++
	incarnation := fmt.Sprint(d.name, "-", d.starts)
	f.members = slices.Clone(f.members)
	f.members[host].Incarnation = incarnation
	d.broker = broker.New(f.store, f, f.snapshots, f.clock, f.log, ownerTable, broker.Owner{Host: d.name, Peer: d.name, Incarnation: incarnation}, d.RequestTokens)
	d.limiter = limiter.New(f.snapshots, f, d, f.clock, f.log, d.name)
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
			d.broker.Apply(f.store.list(), true)
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
	t.Parallel()
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

// TestRateHoldsOverRestores restores the store from backups and restarts daemons, alone and together,
// beside partitions. Two owners at the same time would serve twice the rate.
func TestRateHoldsOverRestores(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(3, 7).Draw(t, "hosts"))
		anyHost := rapid.IntRange(0, len(f.daemons)-1)
		press := func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "ticks") {
				f.tick()
				for i := range 60 {
					f.request(f.daemons[i%len(f.daemons)])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if count, exceeded := f.exceedsBound(); exceeded {
					t.Fatalf("%d requests served in a window, above the bound", count)
				}
			},
			"press":       press,
			"press again": press,
			"restore":     func(t *rapid.T) { f.store.restore(rapid.IntRange(0, 3).Draw(t, "lost")) },
			"restore and restart": func(t *rapid.T) {
				f.store.restore(rapid.IntRange(0, 3).Draw(t, "lost"))
				spared := anyHost.Draw(t, "spared")
				for host := range f.daemons {
					if host != spared {
						f.start(host)
					}
				}
			},
			"restart": func(t *rapid.T) { f.start(anyHost.Draw(t, "host")) },
			"cut": func(t *rapid.T) {
				d := f.daemons[anyHost.Draw(t, "host")]
				d.partitioned = !d.partitioned
			},
		})
	})
}

// TestSteadyDemandBelowTheRateIsServed sends 60 % of the rate to one of six hosts.
func TestSteadyDemandBelowTheRateIsServed(t *testing.T) {
	t.Parallel()
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
	t.Parallel()
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
