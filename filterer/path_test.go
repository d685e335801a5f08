package filterer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/correlator"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/observer"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/screener"
	"github.com/catkinrun/catkinrun/shedder"
	"github.com/catkinrun/catkinrun/syncer"
)

const (
	service   = "orders"
	instance  = "i-1"
	key       = "secret-key"
	teamName  = "luna"
	readPath  = "/read/1"
	orderPath = "/order/1"
)

// ownerless reports that no daemon owns the rates.
type ownerless struct{}

func (ownerless) Assignment() (assignment broker.Assignment, changed <-chan struct{}) {
	return broker.Assignment{}, nil
}
func (ownerless) ApplyAssignment(broker.Assignment)                         {}
func (ownerless) RecordResponse(broker.Owner, *broker.TokenResponse, error) {}
func (ownerless) Standing() broker.Standing                                 { return broker.Standing{} }

func (ownerless) RequestTokens(context.Context, broker.Owner, *broker.TokenRequest) (*broker.TokenResponse, error) {
	return nil, &catkinrun.NotFoundError{Kind: "owner"}
}

// store accepts every write.
type store struct{ catkinrun.Store }

func (store) Commit(context.Context, catkinrun.Transaction) (catkinrun.Page, error) {
	return catkinrun.Page{Revision: 1}, nil
}

// newGateway returns the gateway of a daemon whose server is at address.
func newGateway(t *testing.T, address string) *filterer.Gateway {
	return newStoppableGateway(t, address, false)
}

// newStoppableGateway is newGateway for a daemon that is shutting down if stopping is set.
func newStoppableGateway(t *testing.T, address string, stopping bool) *filterer.Gateway {
	t.Helper()
	is := is.New(t)
	deps := newDependencies(t, "h", address, locator.New(logrus.New()), 0)
	deps.Stopping = func() bool { return stopping }
	route := func(name string, idempotent bool) catkinrun.Resource {
		return catkinrun.Resource{Kind: catkinrun.KindRoute, Name: name, Route: &catkinrun.Route{
			Domain: "shop.example", Prefix: "/" + name + "/", Targets: []catkinrun.Target{{Service: service, Weight: 1}},
			Idempotent: idempotent, Timeout: catkinrun.Duration(time.Second), Attempts: 1,
		}}
	}
	_, err := deps.Configurer.Apply(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{
		route("read", true), route("order", false),
		{Kind: catkinrun.KindTeam, Name: teamName, Team: &catkinrun.Team{Keys: []string{key}}},
	}}, "test")
	is.NoErr(err)
	_, err = deps.Registrar.RecordAnnouncement(catkinrun.Server{ID: instance, Service: service, Slots: 8, Sequence: 1})
	is.NoErr(err)
	is.NoErr(deps.Registrar.Publish(context.Background()))
	return newGatewayOf(deps)
}

// newDependencies returns the components of a host's daemon whose server is at address. It has no
// configuration, and sheds nothing before the highest pressure.
func newDependencies(t *testing.T, host, address string, hosts *locator.Locator, drainGrace time.Duration) *filterer.Dependencies {
	t.Helper()
	system := clock.System{}
	journal := journaler.New(system, io.Discard, logrus.InfoLevel)
	log := journal.Logger()
	self := catkinrun.Member{Host: host, Zone: "z", Peer: "127.0.0.1:1", Incarnation: "n"}
	conf := configurer.New(system, log)
	obs := observer.New(system, log, drainGrace)
	adm := admitter.New(8, system)
	go func() { _ = adm.Serve(t.Context()) }()
	reg := registrar.New(store{}, hosts, system, log, self, service, drainGrace)
	scr := screener.New(system, log, host, reg.ReportCrashes)
	return &filterer.Dependencies{
		Self: self, Server: address, HeaderCodec: platform.HeaderCodec{}, Configurer: conf,
		Correlator: correlator.New(), Shedder: shedder.New(system, func() float64 { return 0.99 }),
		Limiter: limiter.New(conf, hosts, ownerless{}, system, log, host),
		Router:  router.New(observer.NewMembers(hosts, obs), system, log, "z", func() float64 { return 0 }), Budget: retrier.New(48, hosts.Count),
		Registrar: reg, Admitter: adm, Observer: obs, Screener: scr,
		Syncer: syncer.New(conf, hosts, ownerless{}, scr, nil, system, log, self.Peer, func() bool { return false }),
		Peers:  exchanger.New(time.Second, time.Second, 64), Backend: exchanger.New(time.Second, time.Second, 64),
		Stopping: func() bool { return false }, Clock: system, Journal: journal,
	}
}

// newGatewayOf returns the gateway of a daemon with the given components.
func newGatewayOf(deps *filterer.Dependencies) *filterer.Gateway {
	return filterer.NewGateway(deps, func() float64 { return 0.5 }, func(filterer.Listener, string, time.Duration) {})
}

// serveRaw starts a server that responds to each request with the bytes that the response
// function returns, on connections that stay open.
func serveRaw(t *testing.T, response func(r *http.Request) string) (address string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &rawServer{socket: socket, response: response}
	go s.run()
	return socket.Addr().String()
}

// closeMarker ends a response after which the server closes the connection.
const closeMarker = "\x00"

type rawServer struct {
	socket   net.Listener
	response func(r *http.Request) string
}

func (s *rawServer) run() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		c := &rawConn{conn: conn, response: s.response}
		go c.run()
	}
}

type rawConn struct {
	conn     net.Conn
	response func(r *http.Request) string
}

func (c *rawConn) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, closeAfter := strings.CutSuffix(c.response(r), closeMarker)
		if _, err := io.WriteString(c.conn, text); err != nil || closeAfter {
			return
		}
	}
}

func formatResponse(id, status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
}

const signatureHeader = "X-Response-Signature: s\r\n"

func send(g *filterer.Gateway, method, path, callerKey string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://shop.example"+path, nil)
	r.RequestURI = path
	r.Header.Set("X-Request-Id", "id-1")
	r.Header.Set("X-Deadline-Ms", "900")
	r.Header.Set("X-Tenant", "forged")
	if callerKey != "" {
		r.Header.Set("Authorization", "Bearer "+callerKey)
	}
	w := httptest.NewRecorder()
	g.CallerHandler().ServeHTTP(w, r)
	return w
}

func TestServerReceivesTheTeamAndNotTheKey(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	address := serveRaw(t, func(r *http.Request) string {
		seen = r.Header
		return formatResponse(r.Header.Get("X-Request-Id"), "200 OK", signatureHeader, "done")
	})
	w := send(newGateway(t, address), http.MethodGet, readPath, key)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), "done")
	is.Equal(seen.Get("X-Tenant"), teamName)
	is.Equal(seen.Get("X-Caller-Service"), service)
	is.Equal(seen.Get("X-Expect-Instance"), instance)
	is.Equal(seen.Get("Authorization"), "")
	is.Equal(seen.Get("User-Agent"), "")
}

func TestUnknownKeysAndRoutesReachNoServer(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	g := newGateway(t, serveRaw(t, func(*http.Request) string { runs.Add(1); return closeMarker }))
	is.Equal(send(g, http.MethodGet, readPath, "wrong").Code, http.StatusUnauthorized)
	is.Equal(send(g, http.MethodGet, readPath, "").Code, http.StatusUnauthorized)
	is.Equal(send(g, http.MethodGet, "/none/1", key).Code, http.StatusNotFound)
	is.Equal(runs.Load(), int64(0))
}

// TestResponsesOfFaultyServer covers the responses of a faulty server to a request that must
// not run twice, and the status that the caller receives.
func TestResponsesOfFaultyServer(t *testing.T) {
	cases := []struct {
		name, response string
		status         int
	}{
		{"to another request", formatResponse("id-0", "200 OK", signatureHeader, "other"), http.StatusBadGateway},
		{"without a signature", formatResponse("id-1", "200 OK", "", "forged"), http.StatusBadGateway},
		{"encoded", formatResponse("id-1", "200 OK", signatureHeader+"Content-Encoding: gzip\r\n", "x"), http.StatusBadGateway},
		{"with a truncated body", strings.TrimSuffix(formatResponse("id-1", "200 OK", signatureHeader, "whole body"), "body") + closeMarker, http.StatusBadGateway},
		{"not in HTTP", "what is this\r\n\r\n", http.StatusBadGateway},
		{"none", closeMarker, http.StatusBadGateway},
		{"not-run status without the header", formatResponse("id-1", "503 Service Unavailable", signatureHeader, ""), http.StatusBadGateway},
		{"not-run status with the header", formatResponse("id-1", "503 Service Unavailable", "X-Not-Executed: 1\r\n", ""), http.StatusServiceUnavailable},
		{"from another instance", formatResponse("id-1", "421 Misdirected Request", "", ""), http.StatusServiceUnavailable},
		{"with the server's own failure", formatResponse("id-1", "500 Internal Server Error", signatureHeader, "sorry"), http.StatusInternalServerError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			address := serveRaw(t, func(*http.Request) string {
				runs.Add(1)
				return c.response
			})
			w := send(newGateway(t, address), http.MethodPost, orderPath, key)
			is.Equal(w.Code, c.status)
			is.Equal(runs.Load(), int64(1)) // never sent again
		})
	}
}

// TestExtraResponseIsDiscarded guards against taking a second response on a connection for
// the response to the next request.
func TestExtraResponseIsDiscarded(t *testing.T) {
	is := is.New(t)
	address := serveRaw(t, func(r *http.Request) string {
		id := r.Header.Get("X-Request-Id")
		return formatResponse(id, "200 OK", signatureHeader, "first") + formatResponse("id-0", "200 OK", signatureHeader, "extra")
	})
	g := newGateway(t, address)
	for range 20 {
		w := send(g, http.MethodGet, readPath, key)
		is.True(w.Code != http.StatusOK || w.Body.String() == "first")
	}
}

func TestClosedServerPortIsReportedAsUnavailable(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	is.NoErr(socket.Close())
	g := newGateway(t, address)
	w := send(g, http.MethodPost, orderPath, key)
	is.Equal(w.Code, http.StatusServiceUnavailable) // no server has run it
	is.True(w.Header().Get("Retry-After") != "" || w.Header().Get(filterer.OutcomeHeader) == string(catkinrun.OutcomeNotRun))
}

// TestStoppingDaemonRefusesNewRequests guards against starting a request just before
// the process exits.
func TestStoppingDaemonRefusesNewRequests(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	g := newStoppableGateway(t, serveRaw(t, func(*http.Request) string { runs.Add(1); return closeMarker }), true)
	w := send(g, http.MethodPost, orderPath, key)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(filterer.OutcomeHeader), string(catkinrun.OutcomeNotRun))
	is.Equal(runs.Load(), int64(0)) // it might not finish before the process exits
}
