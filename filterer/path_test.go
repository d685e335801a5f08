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
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/learner"
	"github.com/catkinrun/catkinrun/leveler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
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

// asker is an owner of rates that does not exist.
type asker struct{}

func (asker) Owner() broker.Owner                         { return broker.Owner{} }
func (asker) Answered(catkinrun.Revision, *broker.Answer) {}
func (asker) Ask(context.Context, broker.Owner, *broker.Ask) (*broker.Answer, error) {
	return nil, &catkinrun.NotFoundError{Kind: "owner"}
}

// store takes every write.
type store struct{ catkinrun.Store }

func (store) Commit(context.Context, catkinrun.Transaction) (catkinrun.Page, error) {
	return catkinrun.Page{Revision: 1}, nil
}

// newHost returns a daemon's gateway whose server is at address.
func newHost(t *testing.T, address string) *filterer.Gateway {
	return newStoppingHost(t, address, false)
}

// newStoppingHost is newHost for a daemon that may be about to stop.
func newStoppingHost(t *testing.T, address string, stopping bool) *filterer.Gateway {
	t.Helper()
	is := is.New(t)
	system := clock.System{}
	journal := journaler.New(system, io.Discard, logrus.InfoLevel)
	log := journal.Log()
	self := catkinrun.Member{Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "n"}
	conf := configurer.New(system, log)
	route := func(name string, idempotent bool) catkinrun.Resource {
		return catkinrun.Resource{Kind: catkinrun.KindRoute, Name: name, Route: &catkinrun.Route{
			Domain: "shop.example", Prefix: "/" + name + "/", Targets: []catkinrun.Weighted{{Service: service, Weight: 1}},
			Idempotent: idempotent, Timeout: catkinrun.Duration(time.Second), Attempts: 1,
		}}
	}
	_, err := conf.Offer(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{
		route("read", true), route("order", false),
		{Kind: catkinrun.KindTeam, Name: teamName, Team: &catkinrun.Team{Keys: []string{key}}},
	}}, "test")
	is.NoErr(err)
	hosts := locator.New(log)
	reg := registrar.New(store{}, hosts, system, log, self, 0)
	reg.Note(catkinrun.Server{ID: instance, Service: service, Slots: 8, Sequence: 1})
	is.NoErr(reg.Publish(context.Background()))
	adm := admitter.New(8, system)
	return filterer.NewGateway(&filterer.Parts{
		Self: self, Service: service, Server: address, Dialect: platform.Dialect{}, Configurer: conf,
		Learner: learner.New(), Leveler: leveler.New(system, func() float64 { return 0.5 }),
		Limiter: limiter.New(conf, hosts, asker{}, system, log, "h"),
		Router:  router.New(hosts, system, log, "z", func() float64 { return 0 }), Budget: retrier.New(48, hosts.Count),
		Registrar: reg, Admitter: adm, Syncer: syncer.New(conf, hosts, nil, system, log, self.Peer, func() bool { return false }),
		Peers: exchanger.New(time.Second, time.Second, 4), Backend: exchanger.New(time.Second, time.Second, 4),
		Stopping: func() bool { return stopping }, Clock: system, Journal: journal,
	}, func() float64 { return 0.5 }, func(filterer.Stage, string, time.Duration) {})
}

// raw answers each request with the bytes that answer returns, on connections that
// stay open.
func raw(t *testing.T, answer func(r *http.Request) string) (address string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &rawServer{socket: socket, answer: answer}
	go s.run()
	return socket.Addr().String()
}

// closing ends an answer after which the server closes the connection.
const closing = "\x00"

type rawServer struct {
	socket net.Listener
	answer func(r *http.Request) string
}

func (s *rawServer) run() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		c := &rawConn{conn: conn, answer: s.answer}
		go c.run()
	}
}

type rawConn struct {
	conn   net.Conn
	answer func(r *http.Request) string
}

func (c *rawConn) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, closes := strings.CutSuffix(c.answer(r), closing)
		if _, err := io.WriteString(c.conn, text); err != nil || closes {
			return
		}
	}
}

func answerTo(id, status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
}

const signed = "X-Response-Signature: s\r\n"

func call(g *filterer.Gateway, method, path, secret string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://shop.example"+path, nil)
	r.RequestURI = path
	r.Header.Set("X-Request-Id", "id-1")
	r.Header.Set("X-Deadline-Ms", "900")
	r.Header.Set("X-Tenant", "forged")
	if secret != "" {
		r.Header.Set("Authorization", "Bearer "+secret)
	}
	w := httptest.NewRecorder()
	g.Caller().ServeHTTP(w, r)
	return w
}

func TestServerLearnsTheTeamAndNeverTheKey(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	address := raw(t, func(r *http.Request) string {
		seen = r.Header
		return answerTo(r.Header.Get("X-Request-Id"), "200 OK", signed, "done")
	})
	w := call(newHost(t, address), http.MethodGet, readPath, key)
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
	g := newHost(t, raw(t, func(*http.Request) string { runs.Add(1); return closing }))
	is.Equal(call(g, http.MethodGet, readPath, "wrong").Code, http.StatusUnauthorized)
	is.Equal(call(g, http.MethodGet, readPath, "").Code, http.StatusUnauthorized)
	is.Equal(call(g, http.MethodGet, "/none/1", key).Code, http.StatusNotFound)
	is.Equal(runs.Load(), int64(0))
}

// TestAnswersThatAreNotTheServersOwnWork lists what a faulty server may send to a
// request that must not run twice, and what the caller may be told.
func TestAnswersThatAreNotTheServersOwnWork(t *testing.T) {
	cases := []struct {
		name, answer string
		status       int
	}{
		{"of another request", answerTo("id-0", "200 OK", signed, "other"), http.StatusBadGateway},
		{"without a signature", answerTo("id-1", "200 OK", "", "forged"), http.StatusBadGateway},
		{"encoded", answerTo("id-1", "200 OK", signed+"Content-Encoding: gzip\r\n", "x"), http.StatusBadGateway},
		{"cut short", strings.TrimSuffix(answerTo("id-1", "200 OK", signed, "whole body"), "body") + closing, http.StatusBadGateway},
		{"no protocol", "what is this\r\n\r\n", http.StatusBadGateway},
		{"none", closing, http.StatusBadGateway},
		{"a promise without the mark", answerTo("id-1", "503 Service Unavailable", signed, ""), http.StatusBadGateway},
		{"a promise with the mark", answerTo("id-1", "503 Service Unavailable", "X-Not-Executed: 1\r\n", ""), http.StatusServiceUnavailable},
		{"of another instance", answerTo("id-1", "421 Misdirected Request", "", ""), http.StatusServiceUnavailable},
		{"the server's own failure", answerTo("id-1", "500 Internal Server Error", signed, "sorry"), http.StatusInternalServerError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			address := raw(t, func(*http.Request) string {
				runs.Add(1)
				return c.answer
			})
			w := call(newHost(t, address), http.MethodPost, orderPath, key)
			is.Equal(w.Code, c.status)
			is.Equal(runs.Load(), int64(1)) // never sent again
		})
	}
}

// TestExtraAnswerBelongsToNobody sends a second answer behind a whole one.
func TestExtraAnswerBelongsToNobody(t *testing.T) {
	is := is.New(t)
	address := raw(t, func(r *http.Request) string {
		id := r.Header.Get("X-Request-Id")
		return answerTo(id, "200 OK", signed, "first") + answerTo("id-0", "200 OK", signed, "extra")
	})
	g := newHost(t, address)
	for range 20 {
		w := call(g, http.MethodGet, readPath, key)
		is.True(w.Code != http.StatusOK || w.Body.String() == "first")
	}
}

func TestServerThatStopsTakesNoMoreUntilItAnnouncesItself(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	is.NoErr(socket.Close())
	g := newHost(t, address)
	w := call(g, http.MethodPost, orderPath, key)
	is.Equal(w.Code, http.StatusServiceUnavailable) // nobody has run it
	is.True(w.Header().Get("Retry-After") != "" || w.Header().Get(filterer.OutcomeHeader) == string(catkinrun.NotRun))
}

// TestRequestOnAnOpenConnectionIsNotBegunAtTheEnd asks a daemon that is about to stop.
func TestRequestOnAnOpenConnectionIsNotBegunAtTheEnd(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	g := newStoppingHost(t, raw(t, func(*http.Request) string { runs.Add(1); return closing }), true)
	w := call(g, http.MethodPost, orderPath, key)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(filterer.OutcomeHeader), string(catkinrun.NotRun))
	is.Equal(runs.Load(), int64(0)) // it could not end before the process does
}
