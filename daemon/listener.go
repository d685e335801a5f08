package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/puller"
)

const (
	// headerTimeout is the longest wait for a request's headers.
	headerTimeout = 10 * time.Second
	// readTimeout is the longest wait for a whole request.
	readTimeout = 2 * time.Minute
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 3 * time.Minute
	// maxHeader bounds the headers of a request, in bytes.
	maxHeader = 64 << 10
)

// ListenError reports a listener or a TLS file that cannot be used.
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
}

// Serve takes requests until the server is closed. It implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err := l.server.Serve(l.net)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// String names the service in the supervisor's messages.
func (l *listener) String() string { return l.name + " listener" }

func (d *Daemon) listen(secure *security) error {
	addresses := d.settings.Listen
	plans := []struct {
		name, address string
		handler       http.Handler
		tls           *tls.Config
	}{
		{"peer", addresses.Peer, d.peerHandler(), secure.peerServer()},
		{"local", addresses.Local, d.localHandler(), nil},
		{"caller", addresses.Caller, d.gateway.Caller(), secure.server()},
		{"operator", addresses.Operator, d.api.Handler(), secure.server()},
	}
	for _, p := range plans {
		socket, err := net.Listen("tcp", p.address)
		if err != nil {
			return &ListenError{Name: "listen." + p.name, Cause: err}
		}
		if p.tls != nil {
			socket = tls.NewListener(socket, p.tls)
		}
		d.listeners = append(d.listeners, &listener{name: p.name, net: socket, server: newServer(p.handler)})
	}
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
}

// peerHandler serves the other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	messenger.Handle(mux, puller.PullProcedure, d.puller.Pull)
	messenger.Handle(mux, puller.KnockProcedure, d.puller.Knocked)
	messenger.Handle(mux, broker.Procedure, d.broker.Share)
	messenger.Handle(mux, deduplicator.ClaimProcedure, d.deduplicator.Claimed)
	messenger.Handle(mux, deduplicator.SyncProcedure, d.deduplicator.Synced)
	mux.Handle(filterer.CallPath+"/", d.gateway.Peer())
	return d.gateway.Guard(mux)
}

// AnnouncePath takes the announcements of the backend server on the local listener.
const AnnouncePath = "/catkinrun/announce"

// localHandler serves the backend server beside this daemon.
func (d *Daemon) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+AnnouncePath, d.registrar)
	mux.Handle("/", d.gateway.Local())
	return mux
}

func (d *Daemon) find(name string) *listener {
	for _, l := range d.listeners {
		if l.name == name {
			return l
		}
	}
	return nil
}

// close stops a listener once its running requests have ended.
func (d *Daemon) close(ctx context.Context, name string) {
	if err := d.find(name).server.Shutdown(ctx); err != nil {
		d.log.WithError(err).WithField("listener", name).Warn("daemon: requests were still running")
	}
}

// security holds the daemon's certificate and the fleet's authority; nil files give
// plain connections.
type security struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func loadTLS(files loader.TLS) (*security, error) {
	if !files.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, &ListenError{Name: "tls.certificate", Cause: err}
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, &ListenError{Name: "tls.ca", Cause: err}
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, &ListenError{Name: "tls.ca", Cause: &loader.FileError{File: files.CA, Cause: os.ErrInvalid}}
	}
	return &security{certificate: certificate, authority: authority}, nil
}

func (s *security) scheme() string {
	if s == nil {
		return "http"
	}
	return "https"
}

func (s *security) server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{s.certificate}, MinVersion: tls.VersionTLS13}
}

// peerServer asks for the other daemon's certificate.
func (s *security) peerServer() *tls.Config {
	config := s.server()
	if config == nil {
		return nil
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = s.authority
	return config
}

func (s *security) client() *tls.Config {
	config := s.server()
	if config == nil {
		return nil
	}
	config.RootCAs = s.authority
	return config
}
