package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/syncer"
)

const (
	// headerTimeout is the longest wait for a request's headers.
	headerTimeout = 10 * time.Second
	// listenIdle is the time after which an unused connection is closed. It is above the
	// idle times that callers are promised, so that callers close first.
	listenIdle = 75 * time.Second
	// maxHeader bounds the headers of a request, in bytes.
	maxHeader = 64 << 10
)

// ListenError reports a listener that cannot be opened.
type ListenError struct {
	Name  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listener is one of the daemon's HTTP servers.
type listener struct {
	name   string
	net    net.Listener
	server *http.Server
	open   atomic.Int64 // connections
	closed atomic.Bool  // takes no new connections
}

// crowdPart is the part of the process's descriptors, one in so many, that the open
// connections of a listener may take before each is closed after its answer. Callers
// that try again open a new one each time and leave the old one open.
const crowdPart = 8

// note counts the open connections.
func (l *listener) note(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// relieve asks for the end of a connection with its answer while too many are open, and
// while the daemon is leaving.
func (d *Daemon) relieve(l *listener, next http.Handler) http.Handler {
	crowd := int64(d.settings.Files / crowdPart)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() || l.open.Load() > crowd {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve takes requests until the server is closed. It implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() }) // the process ends
	defer stop()
	err := l.server.Serve(l.net)
	if errors.Is(err, http.ErrServerClosed) || l.closed.Load() {
		return suture.ErrDoNotRestart
	}
	return err
}

// refuse takes no new connections; those that are open go on.
func (l *listener) refuse() {
	l.closed.Store(true)
	_ = l.net.Close() // it has done its work
}

// String names the service in the supervisor's messages.
func (l *listener) String() string { return l.name + " listener" }

func (d *Daemon) listen() error {
	addresses := d.settings.Listen
	plans := []struct {
		name, address string
		handler       http.Handler
	}{
		{"peer", addresses.Peer, d.counted(d.peerHandler())},
		{"announce", addresses.Announce, platform.Announcements(d.registrar)},
		{"caller", addresses.Caller, d.counted(d.gateway.Caller())},
		{"ready", addresses.Ready, platform.Readiness(d.ready)},
		{"operator", addresses.Operator, d.operatorHandler()},
	}
	for _, p := range plans {
		socket, err := dialer.Listen(p.address)
		if err != nil {
			return &ListenError{Name: "listen." + p.name, Cause: err}
		}
		l := &listener{name: p.name, net: socket}
		l.server = &http.Server{
			Handler: d.relieve(l, p.handler), ConnState: l.note, ReadHeaderTimeout: headerTimeout, IdleTimeout: listenIdle, MaxHeaderBytes: maxHeader,
		}
		d.listeners = append(d.listeners, l)
	}
	return nil
}

// counted counts the requests that run.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.running.Add(1)
		defer d.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// peerHandler serves the other daemons: calls, which bear an envelope, and messages.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	messenger.Handle(mux, syncer.Procedure, d.syncer.Answer)
	messenger.Handle(mux, broker.Procedure, d.broker.Deal)
	calls := d.gateway.Peer()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(filterer.EnvelopeHeader) != "" {
			calls.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (d *Daemon) find(name string) *listener {
	for _, l := range d.listeners {
		if l.name == name {
			return l
		}
	}
	return nil
}
