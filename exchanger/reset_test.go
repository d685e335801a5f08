package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/exchanger"
)

// resets is the number of requests to a server that resets its connections. The system reports a reset to the writer
// of the request or to the reader of the response, whichever asks first.
const resets = 200

// closingServer responds to each request with a response without a length, which ends with the connection.
type closingServer struct {
	socket   net.Listener
	response string
	whole    bool // the connection ends in an orderly way, else with a reset
	readBody bool // the server reads the body first
	ended    atomic.Int64
}

func startClosing(t *testing.T, s *closingServer) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	s.socket = socket
	go s.run()
}

func (s *closingServer) run() {
	for {
		conn, err := s.socket.Accept()
		if err != nil {
			return
		}
		c := &closingConn{server: s, conn: conn.(*net.TCPConn)}
		go c.run()
	}
}

type closingConn struct {
	server *closingServer
	conn   *net.TCPConn
}

func (c *closingConn) run() {
	defer func() { _ = c.conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c.conn))
	if err != nil {
		return
	}
	if c.server.readBody {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(c.conn, c.server.response)
	if c.server.whole {
		_ = c.conn.CloseWrite()
		_, _ = io.Copy(io.Discard, c.conn)
		return
	}
	time.Sleep(time.Millisecond) // for the response to arrive
	c.server.ended.Add(1)
	_ = c.conn.SetLinger(0) // makes Close reset the connection
}

// endless is the length of an endlessBody.
const endless = -1

// endlessBody is a body of which the caller sends more for as long as the request lasts.
type endlessBody struct{ ctx context.Context }

func (b endlessBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return len(p), nil
}

const closeDelimitedHead = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n"

// readWhole sends a request and reports whether its response was read to an end that looks complete.
func readWhole(t *testing.T, x *exchanger.Exchanger, address, method string, length int) (body string, whole bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c := call(method, "/a", make([]byte, max(0, length)))
	if length == endless {
		c.Stream, c.Length = endlessBody{ctx}, -1
	}
	exchange, err := x.Do(exchanger.NewRequest(ctx, c, address))
	if err != nil {
		return "", false
	}
	if exchange.Response.Stream == nil {
		return string(exchange.Response.Body), true
	}
	read, err := io.ReadAll(exchange.Response.Stream)
	exchange.Discard()
	return string(read), err == nil
}

// TestResetUnderAnUploadEndsNoResponse has a server reset the connection after a part of a response without a length,
// while the request is still being written, or once it is through.
func TestResetUnderAnUploadEndsNoResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		part     string
		method   string
		length   int // of the request's body
		readBody bool
	}{
		{"nothing of the body", "", http.MethodPost, endless, false},
		{"a buffered part", "part", http.MethodPost, endless, false},
		{"a streamed part", strings.Repeat("part", 1<<16), http.MethodPost, endless, false},
		{"after an upload that is not read", "part", http.MethodPost, 1 << 15, false},
		{"after an upload", "part", http.MethodPost, 1 << 15, true},
		{"after a request without a body", "part", http.MethodGet, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := &closingServer{response: closeDelimitedHead + c.part, readBody: c.readBody}
			startClosing(t, server)
			x := exchanger.New(time.Second, time.Second, 1)
			complete := 0
			for range resets {
				if _, whole := readWhole(t, x, server.socket.Addr().String(), c.method, c.length); whole {
					complete++
				}
			}
			if complete > 0 || server.ended.Load() != resets {
				t.Errorf("%d of %d responses that were reset look complete, %d requests were reset", complete, resets, server.ended.Load())
			}
		})
	}
}

// TestOrderlyEndUnderAnUploadIsComplete has a server end a response without a length in an orderly way, while the
// request is still being written. Such a response is whole.
func TestOrderlyEndUnderAnUploadIsComplete(t *testing.T) {
	for _, body := range []string{"", "whole", strings.Repeat("whole", 1<<16)} {
		is := is.New(t)
		server := &closingServer{response: closeDelimitedHead + body, whole: true}
		startClosing(t, server)
		x := exchanger.New(time.Second, time.Second, 1)
		for range 20 {
			got, whole := readWhole(t, x, server.socket.Addr().String(), http.MethodPost, endless)
			is.True(whole)
			is.Equal(got, body)
		}
	}
}
