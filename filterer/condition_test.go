package filterer_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/locator"
)

// testDrainGrace is how long the daemons of a pair send requests to a leaving server.
const testDrainGrace = 300 * time.Millisecond

// pair is an entry daemon and the daemon beside the only server. They share no store.
type pair struct {
	t       *testing.T
	entry   *filterer.Gateway
	serving atomic.Pointer[filterer.Gateway]
	peer    string // address of the serving daemon
	server  string // address of the server

	mu        sync.Mutex
	condition string // headers that the server adds to its responses
	delay     time.Duration
	arrivals  []time.Time
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	p.server = strings.TrimPrefix(server.URL, "http://")
	peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serving.Load().PeerHandler().ServeHTTP(w, r)
	}))
	t.Cleanup(peers.Close)
	p.peer = strings.TrimPrefix(peers.URL, "http://")
	p.entry = p.start("entry")
	p.restartServing()
	return p
}

// ServeHTTP is the backend server.
func (p *pair) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	condition, delay := p.condition, p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	if name, value, ok := strings.Cut(condition, ": "); ok {
		w.Header().Set(name, value)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "s")
	_, _ = io.WriteString(w, "done")
}

// state sets what the server states about itself, and how long it works.
func (p *pair) state(condition string, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition, p.delay = condition, delay
}

// restartServing replaces the serving daemon by a new start, which knows its server as ready.
func (p *pair) restartServing() { p.serving.Store(p.start("h")) }

// start returns the gateway of a daemon that has just started.
func (p *pair) start(host string) *filterer.Gateway {
	p.t.Helper()
	is := is.New(p.t)
	server := catkinrun.Server{ID: instance, Service: service, Slots: 500, StartUnixMilli: 1}
	row, err := json.Marshal(catkinrun.Member{Host: "h", Zone: "z", Peer: p.peer, Incarnation: "former", Server: &server})
	is.NoErr(err)
	hosts := locator.New(logrus.New())
	hosts.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: locator.Key("h"), Value: row, Revision: 1}}, Revision: 1}, true)
	deps := newDependencies(p.t, host, p.server, hosts, testDrainGrace)
	if host == "h" {
		deps.Registrar.Restore(hosts.Row("h"))
		deps.Registrar.Confirm(server.Start()) // as if it had answered a health check without saying that it leaves
	}
	_, err = deps.Configurer.Apply(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{{Kind: catkinrun.KindRoute, Name: "read", Route: &catkinrun.Route{
		Domain: "shop.example", Prefix: "/read/", Targets: []catkinrun.Target{{Service: service, Weight: 1}},
		Idempotent: true, Timeout: catkinrun.Duration(time.Second), Attempts: 1,
	}}}}, "test")
	is.NoErr(err)
	return newGatewayOf(deps)
}

// load sends requests through the entry daemon at a rate for a while, and waits for their ends.
func (p *pair) load(perSecond int, duration time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for range int(float64(perSecond) * duration.Seconds()) {
		running.Go(func() { send(p.entry, http.MethodGet, readPath, "") })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// arrivedSince returns the number of requests that reached the server after a time.
func (p *pair) arrivedSince(since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, at := range p.arrivals {
		if at.After(since) {
			count++
		}
	}
	return count
}

// allowed returns the users' bound on the requests that a server gets in a time, in which it names
// a limit.
func allowed(limit float64, duration time.Duration) int { return int(1.5*limit*duration.Seconds()) + 5 }

// TestServerGetsNoMoreThanItsLimit sends ten times the limit that a server names.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.state("Server-Limit: 20.0", 0)
	is.Equal(send(p.entry, http.MethodGet, readPath, "").Code, http.StatusOK)
	since := time.Now()
	p.load(200, 2*time.Second)
	arrived := p.arrivedSince(since)
	is.True(arrived <= allowed(20, time.Since(since)))
	is.True(arrived >= 30) // the server gets what it takes
}

// TestRestartedDaemonKeepsItsServersLimit restarts the daemon beside a server that has named its
// limit, and that responds so slowly that the daemon cannot learn the limit anew in time.
func TestRestartedDaemonKeepsItsServersLimit(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.state("Server-Limit: 10", 0)
	is.Equal(send(p.entry, http.MethodGet, readPath, "").Code, http.StatusOK)
	p.restartServing()
	p.state("Server-Limit: 10", 700*time.Millisecond)
	since := time.Now()
	p.load(200, 500*time.Millisecond)
	is.True(p.arrivedSince(since) <= allowed(10, 500*time.Millisecond))
}

// TestLiftedLimitIsForgotten has a server cease to name its limit.
func TestLiftedLimitIsForgotten(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	p.state("Server-Limit: 5", 0)
	is.Equal(send(p.entry, http.MethodGet, readPath, "").Code, http.StatusOK)
	p.state("", 0)
	p.load(20, 1500*time.Millisecond)
	since := time.Now()
	p.load(100, time.Second)
	is.True(p.arrivedSince(since) > 80)
}

// TestLeavingServerGetsNoRequestsAfterItsDaemonRestarts has a server state that it leaves. The
// daemon beside it restarts, and finds it ready in the store, which could not be written.
func TestLeavingServerGetsNoRequestsAfterItsDaemonRestarts(t *testing.T) {
	for _, restart := range []bool{false, true} {
		is := is.New(t)
		p := newPair(t)
		p.state("Server-Leaving: 1", 0)
		is.Equal(send(p.entry, http.MethodGet, readPath, "").Code, http.StatusOK)
		time.Sleep(testDrainGrace + 50*time.Millisecond)
		if restart {
			p.restartServing()
		}
		since := time.Now()
		w := send(p.entry, http.MethodGet, readPath, "")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get(filterer.OutcomeHeader), string(catkinrun.OutcomeNotRun))
		is.Equal(p.arrivedSince(since), 0)
	}
}
