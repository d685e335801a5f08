// Package responder is a stand-in for a server that sends bytes as they are, whether HTTP allows them or not, and ends
// its connections in a given way.
package responder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/catkinrun/catkinrun"
)

// Ending is what a responder does with the connection after a response.
type Ending int

// The endings of a response.
const (
	KeepOpen  Ending = iota // wait for the next request
	Close                   // close the connection
	EndStream               // end the stream of the response and read on until the other end closes the connection
	Reset                   // reset the connection
	Trickle                 // go on with a byte now and then until the other end closes the connection
)

// resetDelay is the time before a reset, in which the other end reads the response. A reset may destroy bytes that it
// has not read.
const resetDelay = 2 * time.Millisecond

const (
	// trickleInterval is the time between two bytes that trickle.
	trickleInterval = 5 * time.Millisecond
	// maxTrickled is the number of bytes after which a connection is closed that the other end does not close.
	maxTrickled = 600
)

// Responder is a server that responds to each request with given bytes.
type Responder struct {
	socket    net.Listener
	response  func(r *http.Request) string
	ending    Ending
	clock     catkinrun.Clock
	conns     atomic.Int64
	open      atomic.Int64
	responses atomic.Int64
}

// New returns a responder that serves a free port of loopback until it is closed. response returns the bytes of a
// response; it may read the body of the request.
func New(response func(r *http.Request) string, ending Ending, clock catkinrun.Clock) (*Responder, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Responder{socket: socket, response: response, ending: ending, clock: clock}
	go r.run()
	return r, nil
}

// Fixed returns a function that returns the same bytes for each request.
func Fixed(response string) func(*http.Request) string {
	return func(*http.Request) string { return response }
}

// Address returns the IP and port of the responder.
func (r *Responder) Address() string { return r.socket.Addr().String() }

// Conns returns the number of connections that were opened.
func (r *Responder) Conns() int64 { return r.conns.Load() }

// Open returns the number of connections that are open.
func (r *Responder) Open() int64 { return r.open.Load() }

// Responses returns the number of responses that were sent.
func (r *Responder) Responses() int64 { return r.responses.Load() }

// Close closes the socket; open connections stay.
func (r *Responder) Close() error { return r.socket.Close() }

// run accepts connections until the responder is closed.
func (r *Responder) run() {
	for {
		socket, err := r.socket.Accept()
		if err != nil {
			return
		}
		r.conns.Add(1)
		r.open.Add(1)
		c := &conn{responder: r, socket: socket.(*net.TCPConn)}
		go c.run()
	}
}

type conn struct {
	responder *Responder
	socket    *net.TCPConn
}

// run responds to requests until the connection ends. Errors end it: the other end may leave at any time.
func (c *conn) run() {
	defer func() {
		_ = c.socket.Close()
		c.responder.open.Add(-1)
	}()
	reader := bufio.NewReader(c.socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c.socket, c.responder.response(request)); err != nil {
			return
		}
		c.responder.responses.Add(1)
		switch c.responder.ending {
		case Close:
			return
		case EndStream:
			_ = c.socket.CloseWrite()
			_, _ = io.Copy(io.Discard, c.socket)
			return
		case Reset:
			_ = c.responder.clock.Wait(context.Background(), resetDelay)
			_ = c.socket.SetLinger(0) // makes Close reset the connection
			return
		case Trickle:
			c.trickle()
			return
		}
	}
}

// trickle sends a byte now and then until the other end closes the connection.
func (c *conn) trickle() {
	for range maxTrickled {
		if _, err := io.WriteString(c.socket, "."); err != nil {
			return
		}
		if err := c.responder.clock.Wait(context.Background(), trickleInterval); err != nil {
			return
		}
	}
}
