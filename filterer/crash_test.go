package filterer_test

import (
	"context"
	"fmt"
	"io"
	"net"
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
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/screener"
)

const (
	deadlyPath = "/read/deadly"
	// crashDelay is how long a deadly request runs before the server ends, downTime the time until the
	// server is back, and workTime the service time of other requests.
	crashDelay = 30 * time.Millisecond
	downTime   = 150 * time.Millisecond
	workTime   = 20 * time.Millisecond
)

// crashFleet has daemons beside servers that a request can crash. It implements catkinrun.Store: rows
// reach all daemons at once.
type crashFleet struct {
	catkinrun.Store
	t        *testing.T
	ids      atomic.Int64
	deadly   atomic.Int64 // runs of deadly requests
	hosts    []*crashHost
	mu       sync.Mutex
	rows     map[string]catkinrun.Row
	revision catkinrun.Revision
}

// crashHost is a daemon and the server beside it.
type crashHost struct {
	fleet   *crashFleet
	name    string
	address string // of the server
	peer    *httptest.Server
	locator *locator.Locator
	deps    *filterer.Dependencies
	gateway *filterer.Gateway
	server  atomic.Pointer[http.Server]
	starts  atomic.Int64
}

func (f *crashFleet) Commit(_ context.Context, t catkinrun.Transaction) (catkinrun.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	page := catkinrun.Page{Revision: f.revision}
	for _, w := range t.Writes {
		f.rows[w.Key] = catkinrun.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		page.Rows = append(page.Rows, f.rows[w.Key])
	}
	for _, h := range f.hosts {
		h.apply(page)
	}
	return page, nil
}

// apply applies rows that the store has sent, as the daemon does.
func (h *crashHost) apply(page catkinrun.Page) {
	h.locator.Apply(page, false)
	h.deps.Screener.Merge(h.locator.CrashReports())
}

func startCrashFleet(t *testing.T, count int) *crashFleet {
	f := &crashFleet{t: t, rows: make(map[string]catkinrun.Row)}
	for i := range count {
		h := &crashHost{fleet: f, name: fmt.Sprint("host-", i)}
		f.hosts = append(f.hosts, h)
		h.address = "127.0.0.1:0"
		h.startServer()
		h.startDaemon()
	}
	for _, h := range f.hosts {
		go func() { _ = h.deps.Registrar.Serve(t.Context()) }()
		h.announce()
	}
	return f
}

// startDaemon starts the daemon of a host, which knows the rows of the store.
func (h *crashHost) startDaemon() {
	is := is.New(h.fleet.t)
	if h.peer == nil {
		h.peer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.gateway.PeerHandler().ServeHTTP(w, r) }))
		h.fleet.t.Cleanup(h.peer.Close)
	}
	h.locator = locator.New(logrus.New())
	h.deps = newDependencies(h.fleet.t, h.name, h.address, h.locator, 0)
	h.deps.Self.Peer = h.peer.Listener.Addr().String()
	h.deps.Registrar = registrar.New(h.fleet, h.locator, h.deps.Clock, h.deps.Journal.Logger(), h.deps.Self, service, 0)
	h.deps.Screener = screener.New(h.deps.Clock, h.deps.Journal.Logger(), h.name, h.deps.Registrar.ReportCrashes)
	route := func(name string, idempotent bool) catkinrun.Resource {
		return catkinrun.Resource{Kind: catkinrun.KindRoute, Name: name, Route: &catkinrun.Route{
			Domain: "shop.example", Prefix: "/" + name + "/", Targets: []catkinrun.Target{{Service: service, Weight: 1}},
			Idempotent: idempotent, Timeout: catkinrun.Duration(2 * time.Second), Attempts: 2,
		}}
	}
	_, err := h.deps.Configurer.Apply(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{route("read", true), route("order", false)}}, "test")
	is.NoErr(err)
	h.gateway = newGatewayOf(h.deps)
}

// startServer starts a server, which ends a while after a deadly request and starts again.
func (h *crashHost) startServer() {
	socket, err := net.Listen("tcp", h.address)
	is.New(h.fleet.t).NoErr(err)
	h.address = socket.Addr().String()
	id := h.instance(h.starts.Add(1))
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if strings.Contains(r.URL.Path, "deadly") {
			h.fleet.deadly.Add(1)
			time.Sleep(crashDelay)
			if h.server.CompareAndSwap(server, nil) {
				_ = server.Close()
				time.AfterFunc(downTime, func() { h.startServer(); h.announce() })
			}
			panic(http.ErrAbortHandler)
		}
		time.Sleep(workTime)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		_, _ = io.WriteString(w, "done")
	})
	h.server.Store(server)
	h.fleet.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(socket) }()
}

// instance returns the ID of a start of the server.
func (h *crashHost) instance(start int64) string { return fmt.Sprint(h.name, "-", start) }

// announce has the present start of the server announce itself.
func (h *crashHost) announce() {
	start := h.starts.Load()
	is.New(h.fleet.t).NoErr(h.deps.Registrar.Announce(catkinrun.Server{ID: h.instance(start), Service: service, Slots: 50, StartUnixMilli: start, Sequence: 1}))
}

// send sends a request through a host, with an ID of its own.
func (f *crashFleet) send(host int, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://shop.example"+path, strings.NewReader(body))
	r.RequestURI = path
	r.Header.Set("X-Request-Id", fmt.Sprint("id-", f.ids.Add(1)))
	r.Header.Set("X-Deadline-Ms", "1500")
	w := httptest.NewRecorder()
	f.hosts[host%len(f.hosts)].gateway.CallerHandler().ServeHTTP(w, r)
	return w
}

// maxDeadlyRuns is the users' bound: three servers, and three retries after the third has ended, besides
// those that are on their way meanwhile.
const maxDeadlyRuns = 6

// TestRequestThatCrashesServersIsNotSentToAllOfThem sends one deadly request again and again through all hosts,
// besides requests that harm nobody.
func TestRequestThatCrashesServersIsNotSentToAllOfThem(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			f := startCrashFleet(t, 4)
			path := deadlyPath
			if method == http.MethodPost {
				path = "/order/deadly"
			}
			var refused, lost atomic.Int64
			var callers sync.WaitGroup
			for i := range 100 {
				callers.Go(func() {
					if code := f.send(i, http.MethodGet, fmt.Sprint("/read/", i), "").Code; code != http.StatusOK {
						lost.Add(1)
					}
				})
				if i%5 == 0 {
					callers.Go(func() {
						if f.send(i/5, method, path, "body").Code == http.StatusServiceUnavailable {
							refused.Add(1)
						}
					})
				}
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			if runs := f.deadly.Load(); runs > maxDeadlyRuns {
				t.Errorf("%d runs of the deadly request, at most %d allowed", runs, maxDeadlyRuns)
			}
			is.True(refused.Load() > 0)
			lost.Store(0)
			for i := range 20 {
				if f.send(i, http.MethodGet, fmt.Sprint("/read/", i), "").Code != http.StatusOK {
					lost.Add(1)
				}
			}
			is.Equal(lost.Load(), int64(0)) // the servers are back, and serve all others
		})
	}
}
