package exchanger_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/exchanger"
)

const (
	endlessConns = 200 // connections on which a server sends without end at the same time
	// maxEndlessMemory bounds the live heap while they do: half of the memory of the smallest
	// host's daemon.
	maxEndlessMemory = 92 << 20
	// endlessBytes ends a connection on which nobody stops reading.
	endlessBytes = 8 << 20
)

// endlessServer responds to each request with a start and then a part that it repeats until
// the connection is closed.
type endlessServer struct {
	socket       net.Listener
	start, part  string
	sent, unread atomic.Int64 // bytes, and connections on which all endlessBytes were taken
}

func (s *endlessServer) run() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		c := &endlessConn{server: s, conn: conn}
		go c.run()
	}
}

type endlessConn struct {
	server *endlessServer
	conn   net.Conn
}

func (c *endlessConn) run() {
	defer func() { _ = c.conn.Close() }()
	if _, err := c.conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	if _, err := io.WriteString(c.conn, c.server.start); err != nil {
		return
	}
	chunk := bytes.Repeat([]byte(c.server.part), 1+4096/len(c.server.part))
	for sent := 0; sent < endlessBytes; sent += len(chunk) {
		if _, err := c.conn.Write(chunk); err != nil {
			return
		}
		c.server.sent.Add(int64(len(chunk)))
	}
	c.server.unread.Add(1)
}

// TestBytesWithoutEnd has a server in trouble send heads, interim responses, chunk extensions
// and trailers without end on many connections at once. Each must fail early and in bounded
// memory.
func TestBytesWithoutEnd(t *testing.T) {
	for name, s := range map[string]struct{ start, part string }{
		"no response":       {"", "x"},
		"status line":       {"HTTP/1.1 200 ", "OK"},
		"headers":           {"HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
		"one header":        {"HTTP/1.1 200 OK\r\nX-Filler: ", "aaaa"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "aaaa"},
		"empty extensions":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 200) + "\r\na\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Filler\r\n\r\n1\r\na\r\n0\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaa\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startEndless(t, s.start, s.part)
			failed, peak := exchangeAll(t, server)
			is.Equal(failed, int64(endlessConns))
			is.Equal(server.unread.Load(), int64(0)) // no connection was read to its end
			is.True(peak < maxEndlessMemory)
		})
	}
}

// TestBodyWithoutEndStopsAtDeadline streams a body without end, which is passed on as long as
// the request's time lasts.
func TestBodyWithoutEndStopsAtDeadline(t *testing.T) {
	is := is.New(t)
	server := startEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "some body ")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	x, err := exchanger.New(time.Second, time.Second, 1).Do(exchanger.NewRequest(ctx, call(http.MethodGet, "/a", nil), server.socket.Addr().String()))
	is.NoErr(err)
	<-ctx.Done()
	_, err = io.Copy(io.Discard, x.Response.Stream)
	is.True(err != nil) // the reader sees that the body is incomplete
	is.NoErr(x.Response.Stream.Close())
}

func startEndless(t *testing.T, start, part string) *endlessServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &endlessServer{socket: socket, start: start, part: part}
	go s.run()
	return s
}

// exchangeAll sends a request on each of many connections. It returns the number of failed
// exchanges and the largest live heap meanwhile.
func exchangeAll(t *testing.T, server *endlessServer) (failed int64, peak uint64) {
	t.Helper()
	x := exchanger.New(time.Second, time.Second, endlessConns)
	var failures atomic.Int64
	var running sync.WaitGroup
	for range endlessConns {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			exchange, err := x.Do(exchanger.NewRequest(ctx, call(http.MethodGet, "/a", nil), server.socket.Addr().String()))
			if err == nil && exchange.Response.Stream != nil {
				_, err = io.Copy(io.Discard, exchange.Response.Stream)
				exchange.Discard()
			}
			if err != nil {
				failures.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() { running.Wait(); close(done) }()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return failures.Load(), peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}
