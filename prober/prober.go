// Package prober asks the server beside this daemon about its state when the daemon has been started again. What the
// daemon then knows, the row of its earlier start and late announcements, may be older than what that start has
// acknowledged; the server itself knows whether it is leaving.
package prober

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// checkTimeout bounds one health check, which waits for a slot of the server.
	checkTimeout = 1500 * time.Millisecond
	// retryInterval is the wait after a check without a usable answer.
	retryInterval = 250 * time.Millisecond
	// configurationInterval is the wait for a configuration that names the path of the check.
	configurationInterval = 50 * time.Millisecond
	// maxChecks bounds the checks of one server. One that answers none of them has to announce itself.
	maxChecks = 8
	// maxBodyBytes bounds what is read of an answer.
	maxBodyBytes = 4 << 10
)

// Registrar has the server beside this daemon.
type Registrar interface {
	// Unchecked returns the channel of servers whose state is known from an earlier start of the daemon, or from
	// their first announcement, and has to be checked.
	Unchecked() <-chan catkinrun.Server
	// Server returns the recorded server.
	Server() (server catkinrun.Server, accepting bool)
	// Confirm records that a start of the server is not leaving.
	Confirm(start string)
	// MarkLeft records that a start of the server was leaving before this daemon started.
	MarkLeft(start string)
	// MarkDown records that the server cannot be reached, or that another one has its address.
	MarkDown(server, cause string)
}

// Configuration has the configuration in force.
type Configuration interface {
	Snapshot() *catkinrun.Snapshot
}

// Prober checks the server beside a daemon.
type Prober struct {
	registrar     Registrar
	configuration Configuration
	client        *http.Client
	codec         catkinrun.HeaderCodec
	address       string
	clock         catkinrun.Clock
	log           logrus.FieldLogger
}

// New returns a prober of the server at address, IP and port.
func New(registrar Registrar, configuration Configuration, client *http.Client, codec catkinrun.HeaderCodec, address string, clock catkinrun.Clock, log logrus.FieldLogger) *Prober {
	return &Prober{registrar: registrar, configuration: configuration, client: client, codec: codec, address: address, clock: clock, log: log}
}

// Serve checks servers until ctx ends. It implements suture.Service.
func (p *Prober) Serve(ctx context.Context) error {
	for {
		select {
		case server := <-p.registrar.Unchecked():
			p.Check(ctx, server)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Check asks a server for its state until it answers or another one is recorded, maxChecks times at most.
func (p *Prober) Check(ctx context.Context, server catkinrun.Server) {
	for checks := 0; checks < maxChecks && ctx.Err() == nil; {
		recorded, _ := p.registrar.Server()
		if recorded.Start() != server.Start() || recorded.Draining {
			return
		}
		snapshot, wait := p.configuration.Snapshot(), configurationInterval
		if snapshot.Version() > 0 {
			service, _ := snapshot.Service(server.Service)
			if service.Health == "" || p.ask(ctx, server, service.Health) {
				return // there is nothing to ask, or an answer
			}
			checks++
			wait = retryInterval
		}
		if p.clock.Wait(ctx, wait) != nil {
			return
		}
	}
}

// ask makes one health check and reports whether its answer tells the server's state.
func (p *Prober) ask(ctx context.Context, server catkinrun.Server, path string) (known bool) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		p.log.WithError(err).WithField("path", path).Error("prober: the path of the health check is invalid")
		return true
	}
	response, err := p.client.Do(request)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.registrar.MarkDown(server.ID, err.Error())
			return true
		}
		p.log.WithError(err).WithField("server", server.ID).Info("prober: no answer to the health check")
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)) // keeps the connection usable
	_ = response.Body.Close()
	metadata := p.codec.ReadResponse(response.StatusCode, response.Header)
	p.log.WithFields(logrus.Fields{"server": server.ID, "status": response.StatusCode, "leaving": metadata.Condition.Leaving, "instance": metadata.Instance}).Info("prober: health check answered")
	switch {
	case metadata.Misdirected, metadata.Instance != "" && metadata.Instance != server.ID:
		p.registrar.MarkDown(server.ID, "another server has the address")
	case metadata.Condition.Leaving:
		p.registrar.MarkLeft(server.Start())
	case response.StatusCode == http.StatusOK:
		p.registrar.Confirm(server.Start())
	default:
		return false // it is full, failing or leaving
	}
	return true
}
