package filterer_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/locator"
)

// rawPath is the daemons between a caller and the only server: one, or the entry daemon and the one beside the server.
type rawPath struct {
	caller string             // address of the entry daemon's caller listener
	seen   chan *http.Request // heads that the server has received
}

func newRawPath(t *testing.T, twoHosts bool) *rawPath {
	p := &rawPath{seen: make(chan *http.Request, 1)}
	p.caller = startPath(t, serveRaw(t, func(r *http.Request) string {
		_, _ = io.Copy(io.Discard, r.Body) // the trailers follow it
		p.seen <- r
		return formatResponse(r.Header.Get("X-Request-Id"), "200 OK", signatureHeader, "done")
	}), twoHosts)
	return p
}

// startPath starts the daemons between a caller and the server at address: one, or the entry daemon and the one beside
// the server. It returns the address of the entry daemon's caller listener.
func startPath(t *testing.T, address string, twoHosts bool) (caller string) {
	hosts := locator.New(logrus.New())
	entry := newRawGateway(t, "h", address, hosts)
	if twoHosts {
		peers := httptest.NewServer(entry.PeerHandler())
		t.Cleanup(peers.Close)
		hosts = locator.New(logrus.New())
		row, err := json.Marshal(catkinrun.Member{
			Host: "h", Zone: "z", Peer: peers.Listener.Addr().String(), Incarnation: "n", Server: &catkinrun.Server{ID: instance, Service: service, Slots: 8},
		})
		is.New(t).NoErr(err)
		hosts.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: locator.Key("h"), Value: row, Revision: 1}}, Revision: 1}, true)
		entry = newRawGateway(t, "entry", address, hosts)
	}
	callers := httptest.NewServer(entry.CallerHandler())
	t.Cleanup(callers.Close)
	return callers.Listener.Addr().String()
}

// newRawGateway returns the gateway of a daemon. The server has announced itself to that of host h.
func newRawGateway(t *testing.T, host, address string, hosts *locator.Locator) *filterer.Gateway {
	t.Helper()
	is := is.New(t)
	deps := newDependencies(t, host, address, hosts, 0)
	resources := []catkinrun.Resource{{Kind: catkinrun.KindTeam, Name: teamName, Team: &catkinrun.Team{Keys: []string{key}}}}
	for _, name := range []string{"read", "order", "open"} {
		resources = append(resources, catkinrun.Resource{Kind: catkinrun.KindRoute, Name: name, Route: &catkinrun.Route{
			Domain: "shop.example", Prefix: "/" + name + "/", Targets: []catkinrun.Target{{Service: service, Weight: 1}},
			Idempotent: name == "read", Open: name == "open", Timeout: catkinrun.Duration(5 * time.Second), Attempts: 1,
		}})
	}
	_, err := deps.Configurer.Apply(catkinrun.SnapshotData{Version: 1, Resources: resources}, "test")
	is.NoErr(err)
	if host == "h" {
		_, err = deps.Registrar.RecordAnnouncement(catkinrun.Server{ID: instance, Service: service, Slots: 8, Sequence: 1})
		is.NoErr(err)
		is.NoErr(deps.Registrar.Publish(t.Context()))
	}
	return newGatewayOf(deps)
}

// exchange sends the bytes of a request. It returns the final status, and what the server received, nil for nothing.
func (p *rawPath) exchange(t *testing.T, request string) (status int, received *http.Request) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", p.caller)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for status < http.StatusOK { // after interim responses
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		status = response.StatusCode
		_ = response.Body.Close()
	}
	select {
	case received = <-p.seen:
	default:
	}
	return status, received
}

// onEachPath runs a test with a server on the caller's host, and with one on another host.
func onEachPath(t *testing.T, name string, test func(t *testing.T, p *rawPath)) {
	t.Run(name+", own host", func(t *testing.T) { test(t, newRawPath(t, false)) })
	t.Run(name+", other host", func(t *testing.T) { test(t, newRawPath(t, true)) })
}

const rawHead = " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 700\r\nAuthorization: Bearer " + key + "\r\n"

// TestCallersCannotSetWhatTheSystemSets sends the system's headers in forms that a check of their first value,
// or of their usual spelling, would miss.
func TestCallersCannotSetWhatTheSystemSets(t *testing.T) {
	const forged = "x-caller-SERVICE: forged\r\nX-Caller-Service: forged\r\nx-tenant: forged\r\nX-TENANT: forged\r\n" +
		"x-expect-instance: forged\r\nX-Expect-Instance: forged\r\nauthorization: Basic other\r\n" +
		"Proxy-Authorization: Bearer other\r\ncatkinrun-envelope: AAAA\r\nCATKINRUN-SERVER: i/1\r\n"
	const trailers = "0\r\nX-Caller-Service: forged\r\nX-Tenant: forged\r\nAuthorization: Bearer other\r\nCatkinrun-Envelope: AAAA\r\n\r\n"
	cases := []struct{ name, request string }{
		{"repeated and in other cases", "GET /read/1" + rawHead + forged + "\r\n"},
		{"listed by Connection", "GET /read/1" + rawHead + forged + "Connection: X-Caller-Service, x-tenant\r\nconnection: X-Expect-Instance, Catkinrun-Envelope\r\n\r\n"},
		{"in announced trailers", "POST /order/1" + rawHead + forged + "Trailer: X-Caller-Service, X-Tenant\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n" + trailers},
		{"in other trailers", "POST /order/1" + rawHead + forged + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n" + trailers},
		{"in trailers of a long body", "POST /order/1" + rawHead + forged + "Trailer: X-Tenant\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("a", 0x20000) + "\r\n" + trailers},
		{"with an upgrade", "GET /read/1" + rawHead + forged + "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n\r\n"},
		{"with an expectation", "POST /order/1" + rawHead + forged + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab"},
	}
	for _, c := range cases {
		onEachPath(t, c.name, func(t *testing.T, p *rawPath) {
			is := is.New(t)
			status, r := p.exchange(t, c.request)
			is.Equal(status, http.StatusOK)
			is.Equal(r.Header["X-Caller-Service"], []string{service})
			is.Equal(r.Header["X-Tenant"], []string{teamName})
			is.Equal(r.Header["X-Expect-Instance"], []string{instance})
			for name := range r.Header {
				is.True(!strings.HasPrefix(name, "Catkinrun-"))
			}
			for _, name := range []string{"Authorization", "Proxy-Authorization", "Connection", "Upgrade", "Http2-Settings"} {
				is.Equal(len(r.Header[name]), 0)
			}
			is.Equal(len(r.Trailer), 0)
		})
	}
}

// TestKeylessRequestHasNoTeam sends a request of an open route with forged headers and without a key.
func TestKeylessRequestHasNoTeam(t *testing.T) {
	onEachPath(t, "open", func(t *testing.T, p *rawPath) {
		is := is.New(t)
		status, r := p.exchange(t, "GET /open/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nx-tenant: forged\r\nX-Tenant: "+teamName+"\r\nConnection: x-tenant\r\n\r\n")
		is.Equal(status, http.StatusOK)
		is.Equal(len(r.Header["X-Tenant"]), 0)
		is.Equal(r.Header["X-Caller-Service"], []string{service})
	})
}

// TestRequestsWithoutAnEnvelopeReachNoServer sends to the peer listener what is no request of a daemon.
func TestRequestsWithoutAnEnvelopeReachNoServer(t *testing.T) {
	for _, envelope := range []string{"", "Catkinrun-Envelope: \r\n", "Catkinrun-Envelope: AAAA\r\n", "Connection: Catkinrun-Envelope\r\nCatkinrun-Envelope: oA\r\n"} {
		t.Run(strconv.Quote(envelope), func(t *testing.T) {
			is := is.New(t)
			p := newRawPath(t, false)
			address := serveRaw(t, func(r *http.Request) string { p.seen <- r; return closeMarker })
			peers := httptest.NewServer(newRawGateway(t, "h", address, locator.New(logrus.New())).PeerHandler())
			defer peers.Close()
			p.caller = peers.Listener.Addr().String()
			status, r := p.exchange(t, "GET /read/1"+rawHead+"X-Caller-Service: forged\r\n"+envelope+"\r\n")
			is.Equal(status, http.StatusBadRequest)
			is.True(r == nil)
		})
	}
}

// TestConnectionTakesNothingFromTheSystem has callers list in Connection what the system reads for itself. The request must
// be treated as without the list: the deadline and the key do not concern one connection, whatever a caller states.
func TestConnectionTakesNothingFromTheSystem(t *testing.T) {
	for _, path := range []string{"/read/1", "/open/1"} {
		for _, name := range []string{"X-Deadline-Ms", "Authorization", "X-Request-Id"} {
			onEachPath(t, path+" "+name, func(t *testing.T, p *rawPath) {
				is := is.New(t)
				status, r := p.exchange(t, "GET "+path+rawHead+"Connection: "+name+"\r\n\r\n")
				is.Equal(status, http.StatusOK)
				is.Equal(r.Header.Get("X-Tenant"), teamName)
				timeLeft, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
				is.NoErr(err)
				is.True(timeLeft <= 700)
				is.Equal(len(r.Header["Authorization"]), 0)
			})
		}
	}
}

// TestInvalidRequestHeadsReachNoServer sends heads that HTTP does not allow, or that say twice where the body ends.
func TestInvalidRequestHeadsReachNoServer(t *testing.T) {
	const chunks = "\r\n4\r\ndone\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"blank in a name":            {"POST /order/1" + rawHead + "X-Bad Name: x\r\n\r\n", http.StatusBadRequest},
		"blank before a colon":       {"POST /order/1" + rawHead + "Content-Length : 4\r\n\r\ndone", http.StatusBadRequest},
		"blank before the coding":    {"POST /order/1" + rawHead + "Transfer-Encoding : chunked\r\n" + chunks, http.StatusBadRequest},
		"tab before a colon":         {"POST /order/1" + rawHead + "Content-Length\t: 4\r\n\r\ndone", http.StatusBadRequest},
		"control byte in a name":     {"POST /order/1" + rawHead + "X-\x01Bad: x\r\n\r\n", http.StatusBadRequest},
		"NUL in a name":              {"POST /order/1" + rawHead + "X-\x00Bad: x\r\n\r\n", http.StatusBadRequest},
		"carriage return in a name":  {"POST /order/1" + rawHead + "X-\rBad: x\r\n\r\n", http.StatusBadRequest},
		"no name":                    {"POST /order/1" + rawHead + ": x\r\n\r\n", http.StatusBadRequest},
		"no colon":                   {"POST /order/1" + rawHead + "X-Bad\r\n\r\n", http.StatusBadRequest},
		"control byte in a value":    {"POST /order/1" + rawHead + "X-Bad: a\x01b\r\n\r\n", http.StatusBadRequest},
		"NUL in a value":             {"POST /order/1" + rawHead + "X-Bad: a\x00b\r\n\r\n", http.StatusBadRequest},
		"carriage return in a value": {"POST /order/1" + rawHead + "X-Bad: a\rb\r\n\r\n", http.StatusBadRequest},
		"two lengths":                {"POST /order/1" + rawHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone", http.StatusBadRequest},
		"another coding":             {"POST /order/1" + rawHead + "Transfer-Encoding: identity\r\n" + chunks, http.StatusNotImplemented},
		"two codings":                {"POST /order/1" + rawHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks, http.StatusNotImplemented},
		"another major version":      {"POST /order/1 HTTP/2.0\r\nHost: shop.example\r\nX-Request-Id: id-1\r\n\r\n", http.StatusHTTPVersionNotSupported},
	} {
		onEachPath(t, name, func(t *testing.T, p *rawPath) {
			is := is.New(t)
			status, r := p.exchange(t, c.request)
			is.Equal(status, c.status)
			is.True(r == nil)
		})
	}
}
