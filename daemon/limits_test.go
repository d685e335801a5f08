package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
)

// startLimited starts a listener under limits that the test can change.
func startLimited(t *testing.T) (address string, limits *atomic.Pointer[catkinrun.Limits]) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	limits = &atomic.Pointer[catkinrun.Limits]{}
	limits.Store(&catkinrun.Limits{})
	l := &listener{name: "caller", net: socket, server: &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}}
	limited := newLimitedListener(l, func() catkinrun.Limits { return *limits.Load() })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- limited.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return socket.Addr().String(), limits
}

// status sends a request with a header of a size on a connection and returns the status of
// the response, 0 if the connection was closed.
func status(t *testing.T, conn net.Conn, headerBytes int) int {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: %s\r\n\r\n", strings.Repeat("a", headerBytes))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	return response.StatusCode
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestChangedLimitsApplyToNewConnections lowers the limit on headers while a connection is
// open.
func TestChangedLimitsApplyToNewConnections(t *testing.T) {
	is := is.New(t)
	address, limits := startLimited(t)
	open := dial(t, address)
	is.Equal(status(t, open, 30<<10), http.StatusOK)
	limits.Store(&catkinrun.Limits{HeaderBytes: 8 << 10})
	is.Equal(status(t, dial(t, address), 4<<10), http.StatusOK)
	is.Equal(status(t, dial(t, address), 30<<10), http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(status(t, open, 30<<10), http.StatusOK) // an open connection keeps its limits
	limits.Store(&catkinrun.Limits{HeaderBytes: 40 << 10})
	is.Equal(status(t, dial(t, address), 30<<10), http.StatusOK)
}

// TestDeclaredTimeoutsCloseConnections has a caller stay idle, and one stop in a header.
func TestDeclaredTimeoutsCloseConnections(t *testing.T) {
	is := is.New(t)
	address, limits := startLimited(t)
	limits.Store(&catkinrun.Limits{HeaderTimeout: catkinrun.Duration(1200 * time.Millisecond), IdleTimeout: catkinrun.Duration(time.Second)})
	idle, slow := dial(t, address), dial(t, address)
	is.Equal(status(t, idle, 1), http.StatusOK)
	_, err := io.WriteString(slow, "GET / HT")
	is.NoErr(err)
	for _, conn := range []net.Conn{idle, slow} {
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		_, err = io.Copy(io.Discard, conn)
		is.NoErr(err) // closed by the listener, not by the read deadline
	}
}

// TestUndeclaredLimitsKeepDefaults checks the limits for a configuration without any, and for
// mistyped ones.
func TestUndeclaredLimitsKeepDefaults(t *testing.T) {
	is := is.New(t)
	is.Equal(connLimitsOf(catkinrun.Limits{}), connLimits{headerBytes: maxHeaderBytes, headerTimeout: headerTimeout, idleTimeout: listenerIdleTimeout})
	mistyped := connLimitsOf(catkinrun.Limits{HeaderBytes: 1 << 40, HeaderTimeout: 1, IdleTimeout: 1})
	is.Equal(mistyped, connLimits{headerBytes: maxDeclaredHeaderBytes, headerTimeout: minHeaderTimeout, idleTimeout: minIdleTimeout})
}
