// Package daemon puts the parts of one host's daemon together, serves its listeners
// and stops it in order.
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
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/learner"
	"github.com/catkinrun/catkinrun/leveler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/syncer"
)

const (
	// dialTimeout is the longest wait for a connection to another daemon or the server:
	// many times the longest way within a region, and below the first retransmission.
	dialTimeout = 500 * time.Millisecond
	// storeDialTimeout is the same for the store, which may be slow.
	storeDialTimeout = time.Second
	// peerIdle is the time for which an unused connection to another daemon is kept. It
	// is below listenIdle, so that no request meets the other end's closing.
	peerIdle = 30 * time.Second
	// serverIdle is the time for which an unused connection to the server is kept until
	// the server has told its own: the shortest that it can tell is 1 s.
	serverIdle = 700 * time.Millisecond
	// peerConnections and serverConnections bound the unused connections kept to one
	// address; their descriptors stay far below a process's limit.
	peerConnections   = 32
	serverConnections = 256
	storeConnections  = 4
	// membersPause is the wait between two looks at changed members. A server that leaves
	// is refused by its own daemon meanwhile; many that join come with one call.
	membersPause = 150 * time.Millisecond
	// lingerPart is the part of the time to drain for which a server that leaves takes work
	// of callers that know no other one. The rest is for requests on their way and in the
	// queue, and for an acknowledgement that waits for the store.
	lingerPart = 0.6
	// firstSlots is assumed until the server announces itself.
	firstSlots = 1
	// memoryPart is the part of the allowed memory at which the collector works harder.
	memoryPart = 0.7
	// collectPercent is the growth of the live heap, in percent, at which garbage is
	// collected: live data is a few MB, so that memory is dearer than the collector's time.
	collectPercent = 40
)

// Daemon is one host's process.
type Daemon struct {
	settings loader.Settings
	clock    catkinrun.Clock
	journal  *journaler.Journal
	log      *logrus.Logger
	metrics  *metrics.Set

	configuration *follower.Follower
	members       *follower.Follower
	configurer    *configurer.Configurer
	locator       *locator.Locator
	registrar     *registrar.Registrar
	broker        *broker.Broker
	limiter       *limiter.Limiter
	syncer        *syncer.Syncer
	admitter      *admitter.Admitter
	peers         *messenger.Client
	gateway       *filterer.Gateway
	services      []suture.Service
	listeners     []*listener
	leaving       atomic.Bool
	stopping      atomic.Bool  // takes no new requests
	running       atomic.Int64 // requests of callers and of other daemons
}

// New builds a daemon and opens its listeners. It fails with *ListenError.
func New(settings loader.Settings, clock catkinrun.Clock, journal *journaler.Journal) (*Daemon, error) {
	d := &Daemon{settings: settings, clock: clock, journal: journal, log: journal.Log(), metrics: metrics.NewSet()}
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.Memory) * (1 << 20)))
	debug.SetGCPercent(collectPercent)
	d.build()
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, nil
}

// build makes the parts, each with what it depends on.
func (d *Daemon) build() {
	s := d.settings
	self := catkinrun.Member{Host: s.Host, Zone: s.Zone, Peer: s.Listen.Peer, Operator: s.Listen.Operator, Incarnation: newIncarnation()}
	peers := exchanger.New(dialTimeout, peerIdle, peerConnections)
	d.peers = messenger.New(&http.Client{Transport: peers.Transport()})
	store := platform.NewStore(s.Store, &http.Client{Transport: dialer.Transport(storeDialTimeout, peerIdle, storeConnections)}, time.Duration(s.Times.Store))
	d.configurer = configurer.New(d.clock, d.log)
	d.locator = locator.New(d.log)
	d.registrar = registrar.New(store, d.locator, d.clock, d.log, self, time.Duration(lingerPart*float64(s.Times.Drain)))
	d.broker = broker.New(store, d.locator, d.configurer, d.clock, d.log, locator.Table,
		broker.Owner{Host: s.Host, Peer: s.Listen.Peer, Incarnation: self.Incarnation}, d.stopped)
	d.limiter = limiter.New(d.configurer, d.locator, d, d.clock, d.log, s.Host)
	d.configuration = follower.New(store, d.clock, d.log, platform.ConfigurationTable, 0, d.applyConfiguration)
	d.members = follower.New(store, d.clock, d.log, locator.Table, membersPause, d.applyMembers)
	failing := func() bool { return d.configuration.Failing() || d.members.Failing() }
	d.syncer = syncer.New(d.configurer, d.locator, d.peers, d.clock, d.log, s.Listen.Peer, failing)
	d.admitter = admitter.New(firstSlots, d.clock)
	parts := &filterer.Parts{
		Self: self, Service: s.Service, Server: s.Server, Dialect: platform.Dialect{},
		Configurer: d.configurer, Learner: learner.New(), Leveler: leveler.New(d.clock, rand.Float64), Limiter: d.limiter, Router: router.New(d.locator, d.clock, d.log, s.Zone, rand.Float64),
		Budget: retrier.New(float64(s.Retries), d.servers), Registrar: d.registrar, Admitter: d.admitter, Syncer: d.syncer,
		Peers: peers, Backend: exchanger.New(dialTimeout, serverIdle, serverConnections),
		Stopping: d.stopping.Load, Clock: d.clock, Journal: d.journal,
	}
	d.gateway = filterer.NewGateway(parts, rand.Float64, d.count)
	d.services = []suture.Service{d.journal, d.configuration, d.members, d.registrar, d.broker, d.limiter, d.syncer}
	d.registerMetrics()
}

// servers counts the servers of the service of this host.
func (d *Daemon) servers() int {
	server, _ := d.registrar.Server()
	return len(d.locator.Serving(server.Service))
}

func (d *Daemon) applyConfiguration(page catkinrun.Page, _ bool) {
	for _, row := range page.Rows {
		if row.Key != platform.ConfigurationKey || row.Deleted {
			continue
		}
		data, err := platform.DecodeConfiguration(row.Value)
		if err == nil {
			_, err = d.configurer.Offer(data, "store")
		}
		if err != nil {
			d.log.WithError(err).WithField("revision", row.Revision).Error("daemon: configuration cannot be read")
		}
	}
}

func (d *Daemon) applyMembers(page catkinrun.Page, whole bool) {
	d.locator.Apply(page, whole)
	d.broker.Apply(page)
	if whole {
		d.registrar.Adopt(d.locator.Row(d.settings.Host))
	}
}

// ready reports whether callers may send new work here.
func (d *Daemon) ready() bool {
	return !d.leaving.Load() && d.configurer.Snapshot().Version() > 0
}

// Serve runs the daemon until ctx ends, and then stops it in order.
func (d *Daemon) Serve(ctx context.Context) error {
	supervisor := suture.New("catkinrun "+d.settings.Host, suture.Spec{EventHook: d.event, Timeout: partTimeout})
	for _, s := range d.services {
		supervisor.Add(s)
	}
	for _, l := range d.listeners {
		supervisor.Add(l)
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

func (d *Daemon) event(e suture.Event) {
	d.log.WithField("event", e.String()).Warn("daemon: a part has ended")
}

const (
	// servePart is the part of the time to stop during which new requests are taken: the
	// platform takes a daemon out after two answers a second apart. What comes later, on
	// open connections, is refused, since it might be cut.
	servePart = 0.5
	// endPart is the part after which the process ends in any case: in the last sixth a
	// request that still runs may be cut, and the process needs some time to end.
	endPart = 0.85
	// partTimeout is the longest wait for one part to end.
	partTimeout = 200 * time.Millisecond
	// quietTime is the time without a request after which a leaving daemon goes on to the
	// next step early; a caller's next request on an open connection may come within it.
	quietTime = 1200 * time.Millisecond
	// lookTime is the time between two looks at the running requests.
	lookTime = 50 * time.Millisecond
)

// leave is the order of a planned stop: the daemon says that it is not ready and tells
// the others, asks callers to close their connections with each answer, serves what
// still arrives, and takes no new connections after a while. No connection is closed
// before its answer: one that is idle may bear a request at that very moment.
func (d *Daemon) leave(ctx context.Context) {
	startedAt := d.clock.Now()
	stop := time.Duration(d.settings.Times.Stop)
	d.leaving.Store(true)
	d.registrar.Leave()
	d.log.WithField("running", d.running.Load()).Info("daemon: leaving")
	d.waitUntil(ctx, startedAt.Add(time.Duration(servePart*float64(stop))))
	d.stopping.Store(true)
	for _, name := range []string{"caller", "peer"} {
		d.find(name).refuse()
	}
	d.waitUntil(ctx, startedAt.Add(time.Duration(endPart*float64(stop))))
	if running := d.running.Load(); running > 0 {
		d.log.WithField("running", running).Warn("daemon: requests were still running")
	}
}

// waitUntil waits until the time, or until no request has been running for quietTime.
func (d *Daemon) waitUntil(ctx context.Context, end time.Time) {
	busyAt := d.clock.Now()
	for now := busyAt; now.Before(end); now = d.clock.Now() {
		if d.running.Load() > 0 {
			busyAt = now
		}
		if now.Sub(busyAt) > quietTime || d.clock.Wait(ctx, lookTime) != nil {
			return
		}
	}
}
