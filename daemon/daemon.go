// Package daemon assembles the components of one host's daemon, serves its listeners and
// shuts it down in order.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/correlator"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/observer"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/prober"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/relayer"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/screener"
	"github.com/catkinrun/catkinrun/shedder"
	"github.com/catkinrun/catkinrun/syncer"
)

const (
	// dialTimeout bounds a connection attempt to another daemon or to the server. It is many
	// times the longest network latency within a region, and below TCP's first
	// retransmission.
	dialTimeout = 500 * time.Millisecond
	// storeDialTimeout bounds a connection attempt to the store, which may be slow.
	storeDialTimeout = time.Second
	// peerIdleTimeout closes idle connections to other daemons and to the store. It is below
	// listenerIdleTimeout, so that no request is sent while the other daemon closes the
	// connection.
	peerIdleTimeout = 30 * time.Second
	// serverIdleTimeout closes idle connections to the server until the server has stated
	// its own idle timeout, which is at least 1 s.
	serverIdleTimeout = 700 * time.Millisecond
	// maxIdlePeerConns, maxIdleServerConns and maxIdleStoreConns bound the idle connections
	// per address; their descriptors stay far below a process's limit.
	maxIdlePeerConns   = 32
	maxIdleServerConns = 256
	maxIdleStoreConns  = 4
	// membersInterval is the pause after a change of the members, so that many joining
	// servers arrive in one store response. Until other daemons know that a server takes no
	// new requests, its own daemon refuses them.
	membersInterval = 150 * time.Millisecond
	// drainServeFraction is the fraction of the drain time for which a draining server still
	// accepts requests from entry daemons that know no other server. The rest is for
	// requests in transit and in the queue, and for an acknowledgement that waits for the
	// store.
	drainServeFraction = 0.6
	// initialSlots is the number of slots assumed until the server announces itself.
	initialSlots = 1
	// memoryLimitFraction is the fraction of the allowed memory from which the garbage
	// collector runs more often.
	memoryLimitFraction = 0.7
	// gcPercent is the growth of the live heap, in percent, that starts a garbage
	// collection. Live data is a few MB, so saving memory matters more than saving the
	// collector's time.
	gcPercent = 40
)

// Daemon runs the components of one host's daemon.
type Daemon struct {
	settings    loader.Settings
	incarnation string // of this start
	clock       catkinrun.Clock
	leaseClock  catkinrun.Clock
	journal     *journaler.Journal
	log         *logrus.Logger
	metrics     *metrics.Set

	store         *platform.Store
	configuration *follower.Follower
	members       *follower.Follower
	configurer    *configurer.Configurer
	locator       *locator.Locator
	registrar     *registrar.Registrar
	prober        *prober.Prober
	broker        *broker.Broker
	limiter       *limiter.Limiter
	relayer       *relayer.Relayer
	syncer        *syncer.Syncer
	admitter      *admitter.Admitter
	observer      *observer.Observer
	screener      *screener.Screener
	peerClient    *messenger.Client
	gateway       *filterer.Gateway
	services      []suture.Service
	listeners     []*listener
	leaving       atomic.Bool
	stopping      atomic.Bool  // refuses new requests
	running       atomic.Int64 // requests from callers and from other daemons
}

// New builds a daemon and opens its listeners. leaseClock measures the validity of tokens,
// votes and ceded shares, which must not outlive a suspension of the host. New fails with
// *ListenError, if an address is in use only after the stop time.
func New(ctx context.Context, settings loader.Settings, clock, leaseClock catkinrun.Clock, journal *journaler.Journal) (*Daemon, error) {
	d := &Daemon{settings: settings, incarnation: newIncarnation(), clock: clock, leaseClock: leaseClock, journal: journal, log: journal.Logger(), metrics: metrics.NewSet()}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Memory) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	d.build()
	if err := d.listen(ctx); err != nil {
		return nil, err
	}
	return d, nil
}

// build creates the components and passes each its dependencies.
func (d *Daemon) build() {
	s := d.settings
	self := catkinrun.Member{Host: s.Host, Zone: s.Zone, Peer: s.Listen.Peer, Operator: s.Listen.Operator, Incarnation: d.incarnation}
	peers := exchanger.New(dialTimeout, peerIdleTimeout, maxIdlePeerConns)
	d.peerClient = messenger.New(&http.Client{Transport: peers.Transport()})
	d.store = platform.NewStore(s.Store, &http.Client{Transport: dialer.Transport(storeDialTimeout, peerIdleTimeout, maxIdleStoreConns)}, time.Duration(s.Times.Store), d.log)
	d.configurer = configurer.New(d.clock, d.log)
	d.locator = locator.New(d.log)
	drainGrace := time.Duration(drainServeFraction * float64(s.Times.Drain))
	d.registrar = registrar.New(d.store, d.locator, d.clock, d.log, self, s.Service, drainGrace)
	d.prober = prober.New(d.registrar, d.configurer, &http.Client{Transport: dialer.Transport(dialTimeout, serverIdleTimeout, 1)}, platform.HeaderCodec{}, s.Server, d.clock, d.log)
	d.broker = broker.New(d.store, d.locator, d.configurer, d.leaseClock, d.log, locator.Table,
		broker.Owner{Host: s.Host, Peer: s.Listen.Peer, Incarnation: d.incarnation}, d.RequestTokens)
	d.limiter = limiter.New(d.configurer, d.locator, d, d.leaseClock, d.log, s.Host)
	d.relayer = relayer.New(d.store, d.locator, d.askWatcher, d.leaseClock, d.log, self)
	d.configuration = follower.New(d.relayer, d.clock, d.log, platform.ConfigurationTable, follower.PromptWait, 0, d.applyConfiguration)
	d.members = follower.New(d.relayer, d.clock, d.log, locator.Table, follower.LongWait, membersInterval, d.applyMembers)
	d.screener = screener.New(d.clock, d.log, s.Host, d.registrar.ReportCrashes)
	failing := func() bool { return d.configuration.Failing() || d.members.Failing() }
	d.syncer = syncer.New(d.configurer, d.locator, d.broker, d.screener, d.peerClient, d.clock, d.log, s.Listen.Peer, failing)
	d.admitter = admitter.New(initialSlots, d.clock)
	d.observer = observer.New(d.clock, d.log, drainGrace)
	deps := &filterer.Dependencies{
		Self: self, Server: s.Server, HeaderCodec: platform.HeaderCodec{},
		Configurer: d.configurer, Correlator: correlator.New(), Shedder: shedder.New(d.clock, rand.Float64), Limiter: d.limiter, Router: router.New(observer.NewMembers(d.locator, d.observer), d.clock, d.log, s.Zone, rand.Float64),
		Budget: retrier.New(float64(s.Retries), d.serverCount), Registrar: d.registrar, Admitter: d.admitter, Observer: d.observer, Screener: d.screener, Syncer: d.syncer,
		Peers: peers, Backend: exchanger.New(dialTimeout, serverIdleTimeout, maxIdleServerConns),
		Stopping: d.stopping.Load, Clock: d.clock, Journal: d.journal,
	}
	d.gateway = filterer.NewGateway(deps, rand.Float64, d.recordRequest)
	d.services = []suture.Service{d.journal, d.configuration, d.members, relayer.NewSharer(d.relayer, platform.ConfigurationTable), relayer.NewSharer(d.relayer, locator.Table), d.registrar, d.prober, d.broker, d.limiter, d.syncer, d.admitter}
	d.registerMetrics()
}

// serverCount returns the number of servers of this host's service.
func (d *Daemon) serverCount() int {
	service, _ := d.registrar.Service()
	return len(d.locator.Serving(service))
}

func (d *Daemon) applyConfiguration(page catkinrun.Page, _ bool) {
	for _, row := range page.Rows {
		if row.Key != platform.ConfigurationKey || row.Deleted {
			continue
		}
		data, err := platform.DecodeConfiguration(row.Value)
		if inForce := d.configurer.Snapshot().Version(); err == nil && data.Version < inForce {
			d.log.WithFields(logrus.Fields{"version": data.Version, "in-force": inForce, "era": row.Revision.Era()}).
				Warn("daemon: configuration in the store is older than the one in force, which stays")
		}
		if err == nil {
			_, err = d.configurer.Apply(data, "store")
		}
		if err != nil {
			d.log.WithError(err).WithField("revision", row.Revision).Error("daemon: configuration from the store is invalid")
		}
		d.logUnknownKinds(data)
	}
}

// logUnknownKinds logs the routes whose requests are of a kind that this version does not know.
func (d *Daemon) logUnknownKinds(data catkinrun.SnapshotData) {
	for _, r := range data.Resources {
		if r.Route != nil && r.Route.UnknownKind != "" {
			d.log.WithFields(logrus.Fields{"route": r.Name, "kind": r.Route.UnknownKind, "version": data.Version}).
				Warn("daemon: kind of the route's requests is unknown, treated as not idempotent")
		}
	}
}

func (d *Daemon) applyMembers(page catkinrun.Page, complete bool) {
	d.locator.Apply(page, complete)
	if complete {
		d.registrar.Restore(d.locator.Row(d.settings.Host)) // first, since the others publish the row
	}
	d.screener.Merge(d.locator.CrashReports())
	d.broker.Apply(page, complete)
}

// ready reports whether callers may send new requests to this daemon.
func (d *Daemon) ready() bool {
	return !d.leaving.Load() && d.configurer.Snapshot().Version() > 0
}

// Serve runs the daemon until ctx ends, and then shuts it down in order.
func (d *Daemon) Serve(ctx context.Context) error {
	supervisor := suture.New("catkinrun "+d.settings.Host, suture.Spec{EventHook: d.logEvent, Timeout: componentTimeout})
	for _, s := range d.services {
		supervisor.Add(s)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopped := supervisor.ServeBackground(background)
	d.log.WithFields(logrus.Fields{"host": d.settings.Host, "zone": d.settings.Zone, "service": d.settings.Service}).Info("daemon: started")
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	d.leave(background)
	d.log.Info("daemon: stopped")
	stop()
	<-stopped
	d.journal.Flush()
	return nil
}

// logEvent logs a supervisor event, such as the failure of a component.
func (d *Daemon) logEvent(e suture.Event) {
	d.log.WithField("event", e.String()).Warn("daemon: supervisor event")
}
