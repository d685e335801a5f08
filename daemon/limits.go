package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun"
)

const (
	// maxDeclaredHeaderBytes bounds the limit on a request's headers, which are kept in memory.
	maxDeclaredHeaderBytes = 1 << 20
	// minIdleTimeout and minHeaderTimeout keep a mistyped limit from closing every connection.
	minIdleTimeout   = time.Second
	minHeaderTimeout = time.Second
)

// connLimits are the declared limits that net/http applies to a connection.
type connLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// connLimitsOf returns the limits to apply: the declared ones, and the daemon's own for those
// that are not declared.
func connLimitsOf(declared catkinrun.Limits) connLimits {
	limits := connLimits{headerBytes: maxHeaderBytes, headerTimeout: headerTimeout, idleTimeout: listenerIdleTimeout}
	if declared.HeaderBytes > 0 {
		limits.headerBytes = int(min(declared.HeaderBytes, maxDeclaredHeaderBytes)) // net/http allows 4 KB more
	}
	if declared.HeaderTimeout > 0 {
		limits.headerTimeout = max(minHeaderTimeout, time.Duration(declared.HeaderTimeout))
	}
	if declared.IdleTimeout > 0 {
		limits.idleTimeout = max(minIdleTimeout, time.Duration(declared.IdleTimeout))
	}
	return limits
}

// limitedListener serves connections of callers under the limits that are in force when they
// are opened. net/http fixes the limits of a server at its start, so there is a server for
// each set of limits that has been in force.
type limitedListener struct {
	*listener
	limits func() catkinrun.Limits

	mu      sync.Mutex
	servers map[connLimits]*limitedServer
}

func newLimitedListener(l *listener, limits func() catkinrun.Limits) *limitedListener {
	return &limitedListener{listener: l, limits: limits, servers: make(map[connLimits]*limitedServer)}
}

// limitedServer is the server for one set of limits. It is the net.Listener from which it
// takes its connections.
type limitedServer struct {
	server  *http.Server
	address net.Addr
	conns   chan net.Conn
	ended   chan struct{}
	end     sync.Once
}

// Serve serves requests until the socket is closed. It implements suture.Service.
func (l *limitedListener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.closeAll) // the process is ending
	defer stop()
	for {
		conn, err := l.net.Accept()
		switch {
		case err == nil:
			l.serverFor(connLimitsOf(l.limits())).pass(conn)
		case l.closed.Load() || ctx.Err() != nil:
			return suture.ErrDoNotRestart
		default:
			return err
		}
	}
}

func (l *limitedListener) serverFor(limits connLimits) *limitedServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.servers[limits]
	if !ok {
		s = &limitedServer{address: l.net.Addr(), conns: make(chan net.Conn), ended: make(chan struct{})}
		s.server = l.newServer(l.server.Handler, limits)
		l.servers[limits] = s
		go s.run()
	}
	return s
}

// closeAll closes the socket and all connections.
func (l *limitedListener) closeAll() {
	l.stopAccepting()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		_ = s.server.Close() // the process is ending
	}
}

func (s *limitedServer) run() { _ = s.server.Serve(s) } // it ends when the server is closed

func (s *limitedServer) pass(conn net.Conn) {
	select {
	case s.conns <- conn:
	case <-s.ended:
		_ = conn.Close() // the process is ending
	}
}

// Accept implements net.Listener.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *limitedServer) Close() error {
	s.end.Do(func() { close(s.ended) })
	return nil
}

// Addr implements net.Listener.
func (s *limitedServer) Addr() net.Addr { return s.address }
