package limiter_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/platform"
	standin "github.com/catkinrun/catkinrun/standin/platform"
)

// A liveFleet runs the real goroutines of many daemons in the fake time of a synctest bubble.
// Messages take time, so that token requests overlap as they do between hosts.
type liveFleet struct {
	hosts     []*liveHost
	members   atomic.Pointer[[]catkinrun.Member]
	teams     []catkinrun.Team
	snapshots *configurer.Configurer
	log       *logrus.Logger
	store     *liveStore
	patience  limiter.Patience

	served, refused atomic.Int64
	mu              sync.Mutex
	servedAt        map[string][]time.Time // by team
}

// liveHost is a host, on which a daemon may be started again.
type liveHost struct {
	fleet   *liveFleet
	name    string
	starts  int
	current atomic.Pointer[liveDaemon]
	crashed atomic.Bool // the process has ended
	cut     atomic.Bool // from the store and all other daemons
	alone   atomic.Bool // cut off from all other daemons, but not from the store
}

// liveDaemon is one start of a host's daemon.
type liveDaemon struct {
	host    *liveHost
	broker  *broker.Broker
	limiter *limiter.Limiter
	end     context.CancelFunc
}

// liveStore is the store that holds the assignment's row. It passes changes on to all daemons.
type liveStore struct {
	*platform.Store
	fleet  *liveFleet
	server *standin.Store
}

func newLiveStore(f *liveFleet) *liveStore {
	server := standin.New(clock.System{}, standin.Limits{})
	return &liveStore{Store: platform.NewStore("store", server.Client(), callTimeout, f.log), fleet: f, server: server}
}

const (
	networkDelay = time.Millisecond // one way, between availability zones
	storeDelay   = 5 * time.Millisecond
	// callTimeout is the time after which a message to a host that is cut off fails.
	callTimeout = 300 * time.Millisecond
	// settleTime is the time from the start of the daemons until traffic begins.
	settleTime = 8 * time.Second
)

func (s *liveStore) Commit(ctx context.Context, t catkinrun.Transaction) (catkinrun.Page, error) {
	time.Sleep(storeDelay)
	if t.Writes[0].Delete {
		return catkinrun.Page{Revision: 2}, nil
	}
	page, err := s.Store.Commit(ctx, t)
	if err == nil {
		time.AfterFunc(storeDelay, func() { s.deliver(false) })
	}
	return page, err
}

// deliver passes the table on to the daemons that the store reaches.
func (s *liveStore) deliver(complete bool) {
	page := s.list()
	for _, h := range s.fleet.hosts {
		if !h.cut.Load() && !h.crashed.Load() {
			h.current.Load().broker.Apply(page, complete)
		}
	}
}

// restore restores a backup of the store, whose tables all daemons that it reaches then list.
func (s *liveStore) restore(b standin.Backup) {
	s.server.Restore(b)
	s.deliver(true)
}

func (f *liveFleet) Members() []catkinrun.Member { return *f.members.Load() }
func (f *liveFleet) Count() int                  { return len(f.Members()) }

// Row returns the row of a host, which is written at its start alone.
func (f *liveFleet) Row(host string) catkinrun.Row {
	return catkinrun.Row{Key: host, Revision: 1}
}

// Apply removes the hosts whose rows are deleted.
func (f *liveFleet) Apply(page catkinrun.Page, _ bool) {
	members := slices.DeleteFunc(slices.Clone(f.Members()), func(m catkinrun.Member) bool {
		return slices.ContainsFunc(page.Rows, func(r catkinrun.Row) bool { return r.Deleted && r.Key == m.Host })
	})
	f.members.Store(&members)
}

// list returns all rows of the table.
func (s *liveStore) list() catkinrun.Page {
	page, err := s.List(context.Background(), ownerTable)
	if err != nil {
		panic(err)
	}
	return page
}

// publish changes the member row of a host.
func (f *liveFleet) publish(name string, change func(m *catkinrun.Member)) {
	members := slices.Clone(f.Members())
	for i := range members {
		if members[i].Host == name {
			change(&members[i])
		}
	}
	f.members.Store(&members)
}

// leave publishes that a host is leaving; its daemon goes on.
func (f *liveFleet) leave(h *liveHost) {
	f.publish(h.name, func(m *catkinrun.Member) { m.Leaving = true })
}

func (d *liveDaemon) Assignment() (assignment broker.Assignment, changed <-chan struct{}) {
	return d.broker.Assignment()
}

func (d *liveDaemon) RecordResponse(owner broker.Owner, response *broker.TokenResponse, err error) {
	d.broker.RecordResponse(owner, response, err)
}

func (d *liveDaemon) Standing() broker.Standing { return d.broker.Standing() }

func (d *liveDaemon) RequestTokens(ctx context.Context, owner broker.Owner, request *broker.TokenRequest) (*broker.TokenResponse, error) {
	to := d.host.fleet.host(owner.Host)
	if to == d.host {
		return d.broker.GrantTokens(ctx, request)
	}
	if to == nil || d.host.cut.Load() || to.cut.Load() || d.host.alone.Load() || to.alone.Load() {
		select {
		case <-time.After(callTimeout):
		case <-ctx.Done():
		}
		return nil, context.DeadlineExceeded
	}
	time.Sleep(networkDelay)
	if to.crashed.Load() {
		return nil, syscall.ECONNREFUSED
	}
	response, err := to.current.Load().broker.GrantTokens(ctx, request)
	time.Sleep(networkDelay)
	return response, err
}

func (f *liveFleet) host(name string) *liveHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// owner returns the host that owns a team's shard.
func (f *liveFleet) owner(team string) *liveHost {
	for _, h := range f.hosts {
		if h.crashed.Load() || h.cut.Load() || h.alone.Load() {
			continue
		}
		assignment, _ := h.current.Load().broker.Assignment()
		if owner, ok := assignment.Owner(broker.ShardOf(team)); ok {
			return f.host(owner.Host)
		}
	}
	return nil
}

// startFleet starts the daemons and waits until traffic may begin.
func startFleet(t *testing.T, hosts int, teams []catkinrun.Team) *liveFleet {
	t.Helper()
	f := &liveFleet{teams: teams, patience: defaultPatience, servedAt: make(map[string][]time.Time)}
	f.log = logrus.New()
	f.log.SetOutput(io.Discard)
	f.store = newLiveStore(f)
	f.snapshots = configurer.New(clock.System{}, f.log)
	var resources []catkinrun.Resource
	for i := range teams {
		resources = append(resources, catkinrun.Resource{Kind: catkinrun.KindTeam, Name: teamNames(i), Team: &teams[i]})
	}
	_, err := f.snapshots.Apply(catkinrun.SnapshotData{Version: 1, Resources: resources}, "test")
	is.New(t).NoErr(err)
	var members []catkinrun.Member
	for i := range hosts {
		h := &liveHost{fleet: f, name: fmt.Sprintf("host-%03d", i)}
		f.hosts = append(f.hosts, h)
		members = append(members, catkinrun.Member{Host: h.name, Peer: h.name})
	}
	f.members.Store(&members)
	for _, h := range f.hosts {
		h.start(t.Context())
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.current.Load().end()
		}
		synctest.Wait()
		time.Sleep(settleTime) // messages that are on their way end
	})
	time.Sleep(settleTime)
	return f
}

func teamNames(i int) string { return fmt.Sprint("team-", i) }

// start starts the host's daemon, which reads the store first.
func (h *liveHost) start(ctx context.Context) {
	h.starts++
	f, system := h.fleet, clock.System{}
	incarnation := fmt.Sprint(h.name, "-", h.starts)
	f.publish(h.name, func(m *catkinrun.Member) { m.Incarnation = incarnation })
	ctx, cancel := context.WithCancel(ctx)
	d := &liveDaemon{host: h, end: cancel}
	d.broker = broker.New(f.store, f, f.snapshots, system, f.log, ownerTable, broker.Owner{Host: h.name, Peer: h.name, Incarnation: incarnation}, d.RequestTokens)
	d.limiter = limiter.New(f.snapshots, f, d, system, f.log, h.name)
	d.broker.Apply(f.store.list(), true)
	h.current.Store(d)
	h.crashed.Store(false)
	go func() { _ = d.broker.Serve(ctx) }()
	go func() { _ = d.limiter.Serve(ctx) }()
}

func (h *liveHost) crash() {
	h.crashed.Store(true)
	h.current.Load().end()
}

// defaultPatience is that of a route with an objective of 2 s.
var defaultPatience = limiter.Patience{NoAnswer: 500 * time.Millisecond, AboveRate: 250 * time.Millisecond}

// request sends a request of a team through a host.
func (h *liveHost) request(ctx context.Context, team string) {
	if h.current.Load().limiter.Take(ctx, team, h.fleet.patience) != nil {
		h.fleet.refused.Add(1)
		return
	}
	h.fleet.served.Add(1)
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.servedAt[team] = append(h.fleet.servedAt[team], time.Now())
}

// load sends requests of a team at a rate through random hosts for a while and waits for
// their ends.
func (f *liveFleet) load(ctx context.Context, random *rand.Rand, team string, perSecond float64, hosts []*liveHost, duration time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		h := hosts[random.IntN(len(hosts))]
		if !h.crashed.Load() {
			running.Go(func() { h.request(ctx, team) })
		}
	}
}

// startLoads begins a load of each team at a rate. The caller waits for the ends.
func (f *liveFleet) startLoads(ctx context.Context, seed uint64, perSecond float64, hosts []*liveHost, duration time.Duration) *sync.WaitGroup {
	random := rand.New(rand.NewPCG(1, seed))
	var loads sync.WaitGroup
	for i := range f.teams {
		team := rand.New(rand.NewPCG(2, random.Uint64()))
		loads.Go(func() { f.load(ctx, team, teamNames(i), perSecond, hosts, duration) })
	}
	return &loads
}

// requireRefusedBelow fails the test if more than a percentage of the requests since the last
// call were refused.
func (f *liveFleet) requireRefusedBelow(t *testing.T, percent float64) {
	t.Helper()
	served, refused := f.served.Swap(0), f.refused.Swap(0)
	if refusedPercent := 100 * float64(refused) / float64(max(1, served+refused)); refusedPercent >= percent {
		t.Fatalf("%.1f %% of %d requests within the rate refused, expected less than %.0f %%", refusedPercent, served+refused, percent)
	}
}

// checkBound fails the test if a team was served more than the users' bound in some window.
func (f *liveFleet) checkBound(t *testing.T) {
	t.Helper()
	for i, team := range f.teams {
		times := f.servedAt[teamNames(i)]
		bound := (team.Rate*window.Seconds()+team.Burst)*(1+boundTolerance) + boundAllowance
		first := 0
		for last, at := range times {
			for at.Sub(times[first]) > window {
				first++
			}
			if count := last - first + 1; float64(count) > bound {
				t.Fatalf("%d requests of %s served in a window, above the bound of %.0f", count, teamNames(i), bound)
			}
		}
	}
}

func sameTeams(count int, rate float64) []catkinrun.Team {
	teams := make([]catkinrun.Team, count)
	for i := range teams {
		teams[i] = catkinrun.Team{Rate: rate, Burst: rate}
	}
	return teams
}

// TestThinDemandAcrossManyHosts sends 62 % of the rates of 90 small teams through 100 hosts,
// so that a host sees a request of a team every 20 s. An even division of the rates among
// the hosts, or tokens held in advance by hosts, would refuse many of them.
func TestThinDemandAcrossManyHosts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 100, sameTeams(90, 7))
		f.startLoads(t.Context(), 1, 0.62*7, f.hosts, 10*time.Second).Wait()
		f.requireRefusedBelow(t, 2)
		f.checkBound(t)
	})
}

// TestTeamOnFewHostsSurvivesCrashOfOwner ends the process of the owner. Requests of a team on
// two of 100 hosts wait for the next owner instead of being refused.
func TestTeamOnFewHostsSurvivesCrashOfOwner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 100, sameTeams(1, 100))
		owner := f.owner(teamNames(0))
		var hosts []*liveHost
		for _, h := range f.hosts {
			if h != owner && len(hosts) < 2 {
				hosts = append(hosts, h)
			}
		}
		random := rand.New(rand.NewPCG(1, 2))
		f.load(t.Context(), random, teamNames(0), 60, hosts, 2*time.Second)
		f.requireRefusedBelow(t, 2)
		owner.crash()
		f.load(t.Context(), random, teamNames(0), 60, hosts, 2*time.Second)
		f.requireRefusedBelow(t, 5)
		f.checkBound(t)
	})
}

// TestPlannedStopOfOwnerRefusesNothing has the owner leave while a team sends 60 % of its rate
// through four hosts with an objective of half a second. The next owner takes over what is
// left in the buckets; with empty ones, requests that wait for the change would be refused.
func TestPlannedStopOfOwnerRefusesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4, sameTeams(1, 200))
		f.patience = limiter.Patience{NoAnswer: 125 * time.Millisecond, AboveRate: 62 * time.Millisecond}
		random := rand.New(rand.NewPCG(1, 5))
		owner := f.owner(teamNames(0))
		var loads sync.WaitGroup
		loads.Go(func() { f.load(t.Context(), random, teamNames(0), 120, f.hosts, 3*time.Second) })
		time.Sleep(time.Second)
		f.leave(owner)
		loads.Wait()
		if f.owner(teamNames(0)) == owner {
			t.Fatal("the leaving daemon still owns the team's shard")
		}
		if refused := f.refused.Load(); refused > 0 {
			t.Fatalf("%d of %d requests refused", refused, refused+f.served.Load())
		}
		f.checkBound(t)
	})
}

// TestAllProcessesRestart ends all processes at one moment and starts them again within half
// a second. The daemon on the owner's host takes over at once, and requests wait for it.
func TestAllProcessesRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 13, sameTeams(8, 100))
		for _, h := range f.hosts {
			h.crash()
		}
		random := rand.New(rand.NewPCG(1, 6))
		for _, i := range random.Perm(len(f.hosts)) {
			time.Sleep(500 * time.Millisecond / 13)
			f.hosts[i].start(t.Context())
		}
		f.startLoads(t.Context(), 7, 60, f.hosts, 2*time.Second).Wait()
		f.requireRefusedBelow(t, 5)
		f.checkBound(t)
	})
}

// TestOwnerCutOffIsReplaced cuts the owner off without a sign to the other hosts, and checks
// that teams are served within their rates three seconds later.
func TestOwnerCutOffIsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 100, sameTeams(20, 30))
		f.owner(teamNames(0)).cut.Store(true)
		time.Sleep(3 * time.Second)
		var reachable []*liveHost
		for _, h := range f.hosts {
			if !h.cut.Load() {
				reachable = append(reachable, h)
			}
		}
		f.startLoads(t.Context(), 3, 0.62*30, reachable, 3*time.Second).Wait()
		f.requireRefusedBelow(t, 2)
	})
}

// TestBoundHoldsWhileHostsAreCutOff sends eight times the rate of each team through all
// hosts, while a sixth of the hosts, the owner among them, is cut off and returns.
func TestBoundHoldsWhileHostsAreCutOff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 30, sameTeams(4, 40))
		loads := f.startLoads(t.Context(), 4, 8*40, f.hosts, 25*time.Second)
		time.Sleep(6 * time.Second)
		for _, h := range f.hosts[:5] {
			h.cut.Store(true)
		}
		f.owner(teamNames(1)).cut.Store(true)
		time.Sleep(6 * time.Second)
		for _, h := range f.hosts {
			h.cut.Store(false)
			h.current.Load().broker.Apply(f.store.list(), true)
		}
		time.Sleep(4 * time.Second)
		f.owner(teamNames(1)).crash()
		loads.Wait()
		f.checkBound(t)
	})
}

// reachable returns the hosts that are in touch with each other and with the store.
func (f *liveFleet) reachable() []*liveHost {
	var hosts []*liveHost
	for _, h := range f.hosts {
		if !h.cut.Load() && !h.alone.Load() && !h.crashed.Load() {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// TestHostsCutOffFromOthersTakeNoOwnership cuts two of twelve hosts off from the others, the
// owner first, while they still reach the store. They used to replace every owner.
func TestHostsCutOffFromOthersTakeNoOwnership(t *testing.T) {
	t.Parallel()
	for _, restart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 12, sameTeams(8, 100))
			random := rand.New(rand.NewPCG(1, 8))
			for range 2 {
				f.owner(teamNames(0)).alone.Store(true)
				time.Sleep(4 * time.Second)
			}
			if restart {
				for _, i := range random.Perm(len(f.hosts)) {
					f.hosts[i].crash()
				}
				for _, i := range random.Perm(len(f.hosts)) {
					time.Sleep(500 * time.Millisecond / 12)
					f.hosts[i].start(t.Context())
				}
				time.Sleep(4 * time.Second)
			}
			f.startLoads(t.Context(), 9, 60, f.reachable(), 10*time.Second).Wait()
			f.requireRefusedBelow(t, 2)
			f.checkBound(t)
		})
	}
}

// addGone adds member rows of hosts that are gone for good, which left or died silently.
func (f *liveFleet) addGone(count int, left bool) {
	members := slices.Clone(f.Members())
	for i := range count {
		members = append(members, catkinrun.Member{Host: fmt.Sprintf("gone-%03d-%t", i, left), Peer: "gone", Leaving: left})
	}
	f.members.Store(&members)
}

// TestHostsThatLeftForGoodAreNoVoters has the rows of 24 hosts that have left stay behind, and
// restarts all 12 daemons. No owner had a majority then.
func TestHostsThatLeftForGoodAreNoVoters(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, sameTeams(8, 100))
		f.addGone(24, true)
		for _, h := range f.hosts {
			h.crash()
		}
		for _, h := range f.hosts {
			h.start(t.Context())
		}
		time.Sleep(3 * time.Second)
		f.startLoads(t.Context(), 10, 60, f.hosts, 5*time.Second).Wait()
		f.requireRefusedBelow(t, 2)
		f.checkBound(t)
	})
}

// TestHostsThatDiedForGoodAreRemoved has seven of twelve hosts die silently, three and four at a time,
// beside the rows of hosts that left long ago, and checks that the others are served within their
// rates and alone in the members table.
func TestHostsThatDiedForGoodAreRemoved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, sameTeams(8, 100))
		f.addGone(4, true)
		for _, dying := range [][]*liveHost{f.hosts[:3], f.hosts[3:7]} {
			for _, h := range dying {
				h.cut.Store(true)
			}
			time.Sleep(50 * time.Second)
		}
		f.startLoads(t.Context(), 11, 60, f.reachable(), 5*time.Second).Wait()
		f.requireRefusedBelow(t, 2)
		if count := f.Count(); count != 5 {
			t.Fatalf("%d members, expected 5", count)
		}
	})
}

// TestMinorityRemovesNobody cuts five of twelve hosts off from the others, but not from the store,
// the owner among them.
func TestMinorityRemovesNobody(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, sameTeams(8, 100))
		for _, h := range f.hosts[5:] {
			h.cut.Store(true)
		}
		time.Sleep(90 * time.Second)
		if count := f.Count(); count != 12 {
			t.Fatalf("%d members, expected 12", count)
		}
	})
}
