package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/relayer"
	"github.com/catkinrun/catkinrun/syncer"
)

const (
	// headerTimeout bounds the reading of a request's headers if the operator does not.
	headerTimeout = 10 * time.Second
	// listenerIdleTimeout closes idle connections if the operator does not. It is above the
	// idle timeouts that are stated to callers, so that callers close first.
	listenerIdleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the headers of a request if the operator does not.
	maxHeaderBytes = 64 << 10
	// bindInterval is the time between two attempts to open a socket whose address is in use.
	bindInterval = 50 * time.Millisecond
)

// ListenError reports a listener that could not be opened.
type ListenError struct {
	Name  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listener is one of the daemon's HTTP servers.
type listener struct {
	name      string
	net       net.Listener
	server    *http.Server
	openConns atomic.Int64
	closed    atomic.Bool // accepts no new connections
}

// filesPerConn is the number of the process's file descriptors for each connection that a
// listener may keep open. While more are open, each connection is closed after its response,
// because callers that try again open a new connection each time and leave the old one open.
const filesPerConn = 8

// newServer returns a server for the listener's connections.
func (l *listener) newServer(handler http.Handler, limits connLimits) *http.Server {
	return &http.Server{
		Handler: handler, ConnState: l.countOpen, ReadHeaderTimeout: limits.headerTimeout, IdleTimeout: limits.idleTimeout, MaxHeaderBytes: limits.headerBytes,
		DisableGeneralOptionsHandler: true, // its response would look like a server's
	}
}

// countOpen counts the open connections.
func (l *listener) countOpen(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.openConns.Add(-1)
	}
}

// closeAfterResponse closes each connection after its response while too many are open
// and while the daemon is leaving.
func (d *Daemon) closeAfterResponse(l *listener, next http.Handler) http.Handler {
	maxOpen := int64(d.settings.Files / filesPerConn)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() || l.openConns.Load() > maxOpen {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve serves requests until the server is closed. It implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() }) // the process is ending
	defer stop()
	err := l.server.Serve(l.net)
	if errors.Is(err, http.ErrServerClosed) || l.closed.Load() {
		return suture.ErrDoNotRestart
	}
	return err
}

// stopAccepting closes the listening socket; open connections stay.
func (l *listener) stopAccepting() {
	l.closed.Store(true)
	_ = l.net.Close() // the socket is no longer needed
}

// String returns the name of the listener for the supervisor's events.
func (l *listener) String() string { return l.name + " listener" }

// listen opens the listeners. It fails with *ListenError.
func (d *Daemon) listen(ctx context.Context) error {
	freeBy := d.clock.Now().Add(time.Duration(d.settings.Times.Stop))
	addresses := d.settings.Listen
	// Requests would wait at the last two while the others are in use, which a leaving daemon closes later.
	specs := []struct {
		name, address string
		handler       http.Handler
	}{
		{"announce", addresses.Announce, platform.AnnouncementHandler(d.registrar)},
		{"ready", addresses.Ready, platform.ReadinessHandler(d.ready)},
		{"operator", addresses.Operator, d.operatorHandler()},
		{"peer", addresses.Peer, d.peerHandler()},
		{"caller", addresses.Caller, d.countRunning(d.gateway.CallerHandler())},
	}
	for _, s := range specs {
		socket, err := d.bind(ctx, s.address, freeBy)
		if err != nil {
			return &ListenError{Name: "listen." + s.name, Cause: err}
		}
		l := &listener{name: s.name, net: socket}
		l.server = l.newServer(d.closeAfterResponse(l, s.handler), connLimitsOf(catkinrun.Limits{}))
		d.listeners = append(d.listeners, l)
		if s.name == "caller" {
			d.services = append(d.services, newLimitedListener(l, d.declaredLimits))
		} else {
			d.services = append(d.services, l)
		}
	}
	return nil
}

// bind opens a socket. If another process uses the address, which may be that of a daemon that is leaving, it tries again until
// freeBy.
func (d *Daemon) bind(ctx context.Context, address string, freeBy time.Time) (net.Listener, error) {
	for waited := false; ; waited = true {
		socket, err := dialer.Listen(address)
		if !errors.Is(err, syscall.EADDRINUSE) || !d.clock.Now().Before(freeBy) {
			return socket, err
		}
		if !waited {
			d.log.WithField("address", address).Warn("daemon: another process uses an address, waiting for its end")
		}
		if d.clock.Wait(ctx, bindInterval) != nil {
			return nil, err
		}
	}
}

// declaredLimits returns the operator's limits on what callers may send.
func (d *Daemon) declaredLimits() catkinrun.Limits { return d.configurer.Snapshot().Limits() }

// countRunning counts the running requests; RPC between daemons is not among them.
func (d *Daemon) countRunning(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.running.Add(1)
		defer d.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// peerHandler serves the other daemons: requests that carry an envelope, and RPC.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	messenger.Handle(mux, syncer.Procedure, d.syncer.Handle)
	messenger.Handle(mux, broker.Procedure, d.broker.GrantTokens)
	messenger.Handle(mux, relayer.Procedure, d.relayer.Handle)
	requestHandler := d.countRunning(d.gateway.PeerHandler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(filterer.EnvelopeHeader) != "" {
			requestHandler.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (d *Daemon) findListener(name string) *listener {
	for _, l := range d.listeners {
		if l.name == name {
			return l
		}
	}
	return nil
}
