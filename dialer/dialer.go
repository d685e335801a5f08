// Package dialer makes connections that know whether a request's bytes went out,
// so that "not run" is said only when it is proven.
package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Conn counts the bytes written, and can be sealed against further ones.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// SealedError reports a write after the request on the connection was given up.
type SealedError struct{}

func (e *SealedError) Error() string { return "connection was given up" }

// Write sends bytes, unless the connection is sealed.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &SealedError{}
	}
	c.written += int64(len(p)) // counted before they may leave
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *Conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops the connection if nothing was written since mark, and reports so.
func (c *Conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// Transport returns a transport over counted connections, which keeps up to maxIdle
// unused ones to one address for idle.
func Transport(dialTimeout, idle time.Duration, maxIdle int) *http.Transport {
	d := net.Dialer{Timeout: dialTimeout, Control: limitSilence, KeepAliveConfig: keepAlive()}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &Conn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// Watch follows one request.
type Watch struct {
	mu   sync.Mutex
	conn *Conn
	mark int64
	lost bool // the connection is not a counted one
}

// Trace returns a context whose request is followed by the watch.
func (w *Watch) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *Watch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	conn := info.Conn
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	counted, ok := conn.(*Conn)
	if !ok || w.conn != nil {
		w.lost = true
		return
	}
	w.conn = counted
	w.mark = counted.mark()
}

// Unsent reports whether it is certain that no byte of the failed request went
// out, now or later.
func (w *Watch) Unsent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return false
	}
	return w.conn == nil || w.conn.seal(w.mark)
}

// Close ends the request's connection, so that nothing that comes on it later is taken
// for another answer.
func (w *Watch) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close() // it is useless either way
	}
}
