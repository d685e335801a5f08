// Package dialer opens connections that count the bytes written to them, so that a
// failed request is reported as not run only if none of its bytes was sent.
package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// maxResponseHeaderBytes bounds the head of a response, interim responses included. A server
// in trouble may send one without end, and net/http would read 10 MB of it.
const maxResponseHeaderBytes = 64 << 10

// Conn is a connection that counts the bytes written and can be sealed, after which
// writes fail.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
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
	return c.Conn.Write(p)
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
func Transport(dialTimeout, idleTimeout time.Duration, maxIdleConns int) *http.Transport {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
	return &http.Transport{
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
	}
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
	if !ok || t.conn != nil {
		t.untracked = true
		return
	}
	t.conn = counted
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
