package limiter_test

import (
	"context"
	"fmt"
	"io"
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
	// The users' bound: (rate x window + burst) x 1.1 + 20 in each window of 5 s.
	window     = 5 * time.Second
	overPart   = 0.1
	overSlack  = 20
	ownerTable = "members"
)

// store is a table with one row that all daemons see at once, unless they are cut off.
type store struct {
	catkinrun.Store
	row catkinrun.Row
}

func (s *store) Commit(_ context.Context, t catkinrun.Transaction) (catkinrun.Page, error) {
	if t.Checks[0].Revision != s.row.Revision {
		return catkinrun.Page{}, &catkinrun.CheckError{Key: t.Checks[0].Key, Current: s.row}
	}
	s.row = catkinrun.Row{Key: t.Writes[0].Key, Value: t.Writes[0].Value, Revision: s.row.Revision + 1}
	return catkinrun.Page{Revision: s.row.Revision}, nil
}

// fleet is daemons that share one team's rate.
type fleet struct {
	clock   *clock.Fake
	store   *store
	members []catkinrun.Member
	daemons []*daemon
	taken   []time.Time
}

type daemon struct {
	fleet   *fleet
	name    string
	broker  *broker.Broker
	limiter *limiter.Limiter
	cut     bool // from the store and from the other daemons
	dead    bool // for good
}

func (f *fleet) Members() []catkinrun.Member { return f.members }
func (f *fleet) Count() int                  { return len(f.members) }

func (d *daemon) Owner() broker.Owner { return d.broker.Owner() }
func (d *daemon) Answered(epoch catkinrun.Revision, answer *broker.Answer) {
	d.broker.Answered(epoch, answer)
}

func (d *daemon) Ask(ctx context.Context, owner broker.Owner, ask *broker.Ask) (*broker.Answer, error) {
	for _, other := range d.fleet.daemons {
		if other.name == owner.Host && !other.dead && (other == d || !d.cut && !other.cut) {
			return other.broker.Deal(ctx, ask)
		}
	}
	return nil, &catkinrun.NotFoundError{Kind: "host", Name: owner.Host}
}

// stopped is what the daemon's own does: a dead process is known to have ended.
func (d *daemon) stopped(ctx context.Context, earlier broker.Owner, epoch catkinrun.Revision) bool {
	for _, other := range d.fleet.daemons {
		if other.name == earlier.Host && other.dead && !d.cut {
			return true
		}
	}
	answer, err := d.Ask(ctx, earlier, &broker.Ask{Host: d.name, Epoch: epoch})
	return err == nil && !answer.Ready
}

func newFleet(t *rapid.T, count int) *fleet {
	f := &fleet{clock: clock.NewFake(), store: &store{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	teams := configurer.New(f.clock, log)
	_, err := teams.Offer(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{
		{Kind: catkinrun.KindTeam, Name: teamName, Team: &catkinrun.Team{Rate: teamRate, Burst: teamBurst}},
	}}, "test")
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		name := fmt.Sprint("host-", i)
		f.members = append(f.members, catkinrun.Member{Host: name, Peer: name, Incarnation: name})
		d := &daemon{fleet: f, name: name}
		d.broker = broker.New(f.store, f, teams, f.clock, log, ownerTable, broker.Owner{Host: name, Peer: name, Incarnation: name}, d.stopped)
		d.limiter = limiter.New(teams, f, d, f.clock, log, name)
		f.daemons = append(f.daemons, d)
	}
	return f
}

// tick lets 50 ms pass: rows travel, owners are claimed, tokens are asked for.
func (f *fleet) tick() {
	f.clock.Advance(50 * time.Millisecond)
	for _, d := range f.daemons {
		if d.dead {
			continue
		}
		if !d.cut {
			d.broker.Apply(catkinrun.Page{Rows: []catkinrun.Row{f.store.row}})
			d.broker.Look(context.Background())
		}
		d.limiter.Round(context.Background())
	}
}

func (f *fleet) take(d *daemon) {
	if d.dead {
		return
	}
	done, cancel := context.WithCancel(context.Background())
	cancel() // nothing waits
	if d.limiter.Take(done, teamName, 0) == nil {
		f.taken = append(f.taken, f.clock.Now())
	}
}

// over reports whether the last window let through more than the bound.
func (f *fleet) over() (int, bool) {
	count := 0
	for i := len(f.taken) - 1; i >= 0 && f.clock.Now().Sub(f.taken[i]) <= window; i-- {
		count++
	}
	bound := (teamRate*window.Seconds()+teamBurst)*(1+overPart) + overSlack
	return count, float64(count) > bound
}

// TestRateHoldsOverAllHosts cuts hosts off, owners among them, while callers press.
func TestRateHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 9).Draw(t, "hosts"))
		any := rapid.IntRange(0, len(f.daemons)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if count, over := f.over(); over {
					t.Fatalf("%d requests in a window", count)
				}
			},
			"time passes": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "ticks") {
					f.tick()
				}
			},
			"press": func(t *rapid.T) {
				from, hosts := any.Draw(t, "from"), rapid.IntRange(1, len(f.daemons)).Draw(t, "hosts")
				for range rapid.IntRange(1, 60).Draw(t, "ticks") {
					f.tick()
					for i := range 60 {
						f.take(f.daemons[(from+i%hosts)%len(f.daemons)])
					}
				}
			},
			"cut": func(t *rapid.T) {
				d := f.daemons[any.Draw(t, "host")]
				d.cut = !d.cut
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
		before := len(f.taken)
		for range 100 {
			f.tick()
			for range 3 {
				f.take(f.daemons[2])
			}
		}
		if served := len(f.taken) - before; served < 290 {
			t.Fatalf("%d of 300 requests served inside the rate", served)
		}
	})
}

// TestOwnerIsReplacedThoughTheNextIsDeadToo kills the owner and the two hosts that
// come first after it, and looks whether the others are served within four seconds.
func TestOwnerIsReplacedThoughTheNextIsDeadToo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 8)
		for range 100 {
			f.tick()
		}
		for range 3 {
			for range 16 { // 800 ms: the next host claims, and dies
				f.tick()
			}
			for _, d := range f.daemons {
				if owner := d.Owner(); owner.Host == d.name {
					d.dead = true
				}
			}
		}
		for range 80 {
			f.tick()
		}
		before, served := len(f.taken), 0
		for range 100 {
			f.tick()
			for range 3 {
				for _, d := range f.daemons {
					if !d.dead {
						f.take(d)
						break
					}
				}
			}
		}
		served = len(f.taken) - before
		if served < 280 {
			t.Fatalf("%d of 300 requests served inside the rate", served)
		}
	})
}
