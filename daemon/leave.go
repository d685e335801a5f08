package daemon

import (
	"context"
	"time"
)

const (
	// maxServeTime is the longest time during which a leaving daemon accepts new requests: the
	// platform takes it out of service after two readiness responses a second apart. Later
	// requests are refused, because the end of the process might interrupt them.
	maxServeTime = 3 * time.Second
	// serveFraction bounds that time by a fraction of the stop time.
	serveFraction = 0.5
	// endFraction is the fraction of the stop time after which the process ends in any case.
	// In the last sixth a running request may be interrupted, and the process needs some
	// time to end.
	endFraction = 0.85
	// componentTimeout bounds the wait for one component to end.
	componentTimeout = 200 * time.Millisecond
	// quietWindow is the time without a running request after which a leaving daemon starts
	// the next step early. A caller's next request on an open connection may arrive within
	// it.
	quietWindow = 1200 * time.Millisecond
	// runningPollInterval is the time between two checks for running requests.
	runningPollInterval = 50 * time.Millisecond
)

// stopTimes returns, from the stop signal on, how long a daemon accepts new requests and when
// its process ends at the latest.
func stopTimes(stop time.Duration) (serve, end time.Duration) {
	return min(maxServeTime, time.Duration(serveFraction*float64(stop))), time.Duration(endFraction * float64(stop))
}

// leave performs a planned shutdown. The daemon reports that it is not ready, publishes
// that it is leaving, closes each connection with its next response and serves requests
// that still arrive. Later it refuses new requests and accepts no new connections. It
// closes no connection before a response, because a request may arrive on an idle
// connection at the moment of closing.
//
// If another host uses the address already, requests from there must not be served as this one's, and its
// daemon needs the sockets: new requests are refused at once and all sockets are closed.
func (d *Daemon) leave(ctx context.Context) {
	startedAt := d.clock.Now()
	serve, end := stopTimes(time.Duration(d.settings.Times.Stop))
	d.leaving.Store(true)
	d.registrar.Leave()
	d.log.WithField("running", d.running.Load()).Info("daemon: leaving")
	d.waitUntil(ctx, startedAt.Add(serve), d.registrar.Displaced)
	d.stopping.Store(true)
	d.broker.Resign()
	for _, name := range []string{"caller", "peer"} {
		d.findListener(name).stopAccepting()
	}
	d.waitUntil(ctx, startedAt.Add(end), d.registrar.Displaced)
	if d.registrar.Displaced() {
		d.log.Info("daemon: another host uses the address, closing all sockets")
		for _, l := range d.listeners {
			l.stopAccepting()
		}
		d.waitUntil(ctx, startedAt.Add(end), func() bool { return false })
	}
	if running := d.running.Load(); running > 0 {
		d.log.WithField("running", running).Warn("daemon: requests were still running")
	}
}

// waitUntil waits until end, until no request has been running for quietWindow, or until done reports true.
func (d *Daemon) waitUntil(ctx context.Context, end time.Time, done func() bool) {
	busyAt := d.clock.Now()
	for now := busyAt; now.Before(end); now = d.clock.Now() {
		if d.running.Load() > 0 {
			busyAt = now
		}
		if done() || now.Sub(busyAt) > quietWindow || d.clock.Wait(ctx, runningPollInterval) != nil {
			return
		}
	}
}
