// Package dialer opens connections that count the bytes written to them, so that a
// failed request is reported as not run only if none of its bytes was sent.
package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseHeaderBytes bounds the head of a response, interim responses included. A server
// in trouble may send one without end, and net/http would read 10 MB of it.
const maxResponseHeaderBytes = 64 << 10

// Conn is a connection that counts the bytes written and can be sealed, after which
// writes fail. Its reads end in io.EOF only if the other end has ended the stream.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool

	writing sync.Mutex // held during a write
	failure error      // of the connection, as a write has reported it; guarded by writing
}

// SealedError reports a write on a connection that was sealed because its request had
// failed.
type SealedError struct{}

func (e *SealedError) Error() string { return "write on a sealed connection" }

// Write writes p, or fails with *SealedError if the connection is sealed.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &SealedError{}
	}
	c.written += int64(len(p)) // counted before any of them may be sent
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read reads into p. The operating system reports the failure of a connection, such as a reset, only once. If a
// write was told of it, the system lets reads see an orderly end; Read then fails with the error of that write.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.writeFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// writeFailure returns the failure of the connection that a write has reported, nil for none. A running write may
// have been told of one already. It is waited for, and interrupted if it waits for the other end, which may read
// nothing after the end of its stream.
func (c *Conn) writeFailure() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(pastDeadline) // fails on a connection that is closed already, whose writes end by themselves
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failure
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// isFailure reports whether a write error is a failure of the connection. A broken pipe is none: it follows the
// orderly end of the other end's stream, or a failure that was already reported.
func isFailure(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}

func (c *Conn) offset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal seals the connection if nothing was written since offset, and reports whether it
// did.
func (c *Conn) seal(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != offset {
		return false
	}
	c.sealed = true
	return true
}

// Transport returns an HTTP transport whose connections are of type *Conn. It keeps up
// to maxIdleConns idle connections per address, each for at most idleTimeout.
func Transport(dialTimeout, idleTimeout time.Duration, maxIdleConns int) *CheckedTransport {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
	return &CheckedTransport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &Conn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Tracker tracks the connection of one request.
type Tracker struct {
	mu        sync.Mutex
	conn      *Conn
	offset    int64 // bytes written to conn before the request
	untracked bool  // the request used a connection that is not a *Conn, or a second one
}

// Trace returns a context with which the request is tracked.
func (t *Tracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := info.Conn
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	counted, ok := conn.(*Conn)
	if !ok {
		t.untracked = true
		return
	}
	t.untracked = t.untracked || t.conn != nil
	t.conn = counted // the last one, which the response arrives on
	t.offset = counted.offset()
}

// Unsent reports whether it is certain that no byte of the failed request was sent or
// will be. It seals the connection to rule out later writes.
func (t *Tracker) Unsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untracked {
		return false
	}
	return t.conn == nil || t.conn.seal(t.offset)
}

// Close closes the request's connection, so that nothing that arrives on it later is
// taken for the response to another request.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close() // the connection is of no use in either case
	}
}
