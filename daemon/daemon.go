// Package daemon puts the parts of one daemon together. A Go program can embed it:
//
//	d, err := daemon.New(settings, clock.System{}, log)
//	err = d.Serve(ctx) // until ctx ends; then it leaves gracefully
package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/committer"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/leveler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/operator"
	"github.com/catkinrun/catkinrun/puller"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/replicator"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/storer"
	"github.com/catkinrun/catkinrun/tracker"
)

const (
	// dialTimeout is the longest wait for a connection.
	dialTimeout = time.Second
	// peerConnections bounds the connections to one other daemon.
	peerConnections = 512
	// serverConnections bounds the connections to the backend server beside us; the
	// admitter's slots keep the number below the server's own limit.
	serverConnections = 0
	// idlePeers is the number of idle connections kept to one other daemon.
	idlePeers = 64
	// idleServer is the number of idle connections kept to the backend server.
	idleServer = 400
	// brokerIdle is the silence after which a host's demand counts as nil.
	brokerIdle = 5 * time.Second
	// shareGrace is the life of a share whose broker has changed, unless confirmed.
	shareGrace = 2 * time.Second
	// limitWait is the longest wait of a request for its team's token.
	limitWait = 300 * time.Millisecond
	// claimWait is the longest wait for a holder of an idempotency key.
	claimWait = time.Second
	// firstSlots is the admission before the server announces its slots.
	firstSlots = 1
)

// Daemon is one host's process.
type Daemon struct {
	settings     loader.Settings
	clock        catkinrun.Clock
	log          *logrus.Logger
	metrics      *metrics.Set
	replica      *replicator.Replica
	committer    *committer.Committer
	puller       *puller.Puller
	registrar    *registrar.Registrar
	broker       *broker.Broker
	limiter      *limiter.Limiter
	deduplicator *deduplicator.Deduplicator
	gateway      *filterer.Gateway
	api          *operator.API
	peers        *messenger.Client
	listeners    []*listener
	supervisor   *suture.Supervisor
}

// New builds a daemon from checked settings. It fails if a listener's address or a
// TLS file cannot be used.
func New(settings loader.Settings, clock catkinrun.Clock, log *logrus.Logger) (*Daemon, error) {
	secure, err := loadTLS(settings.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, clock: clock, log: log, metrics: metrics.NewSet()}
	transport := dialer.Transport(dialTimeout, peerConnections, idlePeers)
	transport.TLSClientConfig = secure.client()
	d.build(transport, secure.scheme())
	if err := d.listen(secure); err != nil {
		return nil, err
	}
	return d, nil
}

// build makes the parts, each with what it depends on.
func (d *Daemon) build(peerTransport *http.Transport, scheme string) {
	s := d.settings
	times := s.Times
	identity := replicator.Identity{Host: s.Host, Zone: s.Zone, Incarnation: operator.NewChangeID()}
	proof := time.Duration(times.Proof)
	store := storer.New(s.Platform, time.Duration(times.Store), &http.Client{Transport: dialer.Transport(dialTimeout, 0, idlePeers)})
	d.peers = messenger.New(&http.Client{Transport: peerTransport}, scheme, s.FleetKey)
	d.replica = replicator.New(identity, replicator.Limits{Proof: proof, Report: proof * 3 / 4}, d.clock)
	d.committer = committer.New(store, store, d.replica, d.clock)
	d.puller = puller.New(d.replica, d.committer, d.peers, d.clock, d.part("puller"), time.Duration(times.Pull), s.Listen.Peer)
	d.registrar = registrar.New(store, d.committer, d.replica, d.clock, d.part("registrar"),
		registrar.Limits{Interval: time.Duration(times.Pull), Silence: time.Duration(times.Silence)}, s.Listen.Peer, operator.NewChangeID)
	d.broker = broker.New(d.replica, d.clock, d.part("broker"), broker.Limits{Proof: proof, Grace: shareGrace, Idle: brokerIdle})
	d.limiter = limiter.New(d.replica, d, d.clock, d.part("limiter"),
		limiter.Limits{Interval: time.Duration(times.Share), Grace: shareGrace, Wait: limitWait})
	d.deduplicator = deduplicator.New(d.replica, d, d.clock, d.part("deduplicator"),
		deduplicator.Limits{Retention: time.Duration(times.Retention), Claim: claimWait, Interval: time.Duration(times.Pull)})
	parts := &filterer.Parts{
		Replica: d.replica, Limiter: d.limiter, Leveler: leveler.New(d.clock),
		Router: router.New(d.replica, d.clock, d.part("router"), s.Host, s.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Budget: retrier.New(), Registrar: d.registrar, Deduplicator: d.deduplicator,
		Admitter: admitter.New(firstSlots, d.clock, d.part("admitter")), Tracker: tracker.New(),
		Peers:  exchanger.New(peerTransport),
		Server: exchanger.New(dialer.Transport(dialTimeout, serverConnections, idleServer)),
		Scheme: scheme, FleetKey: s.FleetKey, Clock: d.clock, Log: d.part("filterer"),
	}
	d.gateway = filterer.NewGateway(parts, rand.Float64, d.count)
	d.api = operator.New(operator.Parts{
		Replica: d.replica, Committer: d.committer, Limiter: d.limiter, Broker: d.broker, Leveler: parts.Leveler,
		Admitter: parts.Admitter, Tracker: parts.Tracker, Deduplicator: d.deduplicator,
		Operators: s.Operators, Metrics: d.metrics, Clock: d.clock, Log: d.part("operator"),
	})
	d.registerMetrics(parts)
}

// Serve runs the daemon until ctx ends, and then leaves: it stops being picked,
// serves what is running and what still arrives, and closes its listeners.
func (d *Daemon) Serve(ctx context.Context) error {
	d.supervisor = suture.NewSimple("catkinrun " + d.settings.Host)
	for _, service := range []suture.Service{d.puller, d.registrar, d.limiter, d.deduplicator} {
		d.supervisor.Add(service)
	}
	for _, l := range d.listeners {
		d.supervisor.Add(l)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopped := d.supervisor.ServeBackground(background)
	d.log.WithFields(logrus.Fields{"host": d.settings.Host, "zone": d.settings.Zone}).Info("daemon: started")
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	d.leave(background)
	stop()
	<-stopped
	d.log.Info("daemon: stopped")
	return nil
}

const (
	// leaveTimeout is the longest wait for the roster change of a leaving host.
	leaveTimeout = 5 * time.Second
	// leaveRetry is the wait before the roster change is tried again.
	leaveRetry = 200 * time.Millisecond
	// closeTimeout is the longest wait for running requests of a leaving host.
	closeTimeout = 2 * time.Minute
)

// leave is the order of a planned stop: the host stops being picked, its callers
// go elsewhere, it hands over what it owns, and last it closes the peer listener.
func (d *Daemon) leave(ctx context.Context) {
	drain := time.Duration(d.settings.Times.Drain)
	d.registrar.StartLeaving()
	d.find("caller").server.SetKeepAlivesEnabled(false)
	_ = d.clock.Wait(ctx, drain)
	closing, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	d.close(closing, "caller")
	d.deduplicator.Flush()
	d.handOver(ctx)
	_ = d.clock.Wait(ctx, drain)
	d.close(closing, "peer")
	d.close(closing, "local")
	d.close(closing, "operator")
}

// handOver takes the host off the roster, so that others own what it owned.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		err := d.registrar.Leave(ctx)
		if err == nil {
			return
		}
		if d.clock.Wait(ctx, leaveRetry) != nil {
			d.log.WithError(err).Warn("daemon: left without a roster change")
			return
		}
	}
}
