package daemon

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/screener"
)

// newIdleDaemon returns a daemon beside a server of a service, without listeners, none of whose components runs.
func newIdleDaemon(service string) (*Daemon, *clock.Fake) {
	return newIdleDaemonAt("h", service, "")
}

// newIdleDaemonAt is newIdleDaemon for a host whose server has an address.
func newIdleDaemonAt(host, service, server string) (*Daemon, *clock.Fake) {
	return newIdleDaemonOf(loader.Settings{Host: host, Service: service, Server: server})
}

// newIdleDaemonOf is newIdleDaemon for settings that name the host, the service and the addresses that it calls.
func newIdleDaemonOf(settings loader.Settings) (*Daemon, *clock.Fake) {
	settings.Zone = "z"
	settings.Times = loader.Times{Store: catkinrun.Duration(time.Second), Drain: catkinrun.Duration(2 * time.Second)}
	now := clock.NewFake()
	journal := journaler.New(now, io.Discard, logrus.InfoLevel)
	d := &Daemon{
		settings: settings, clock: now, leaseClock: now, journal: journal, log: journal.Logger(), metrics: metrics.NewSet(),
	}
	d.build()
	return d, now
}

// TestRestartedDaemonPublishesCrashesWithItsServer starts a daemon whose row has a server and an end of an
// earlier one. The row that the daemon publishes because of that end must have the server.
func TestRestartedDaemonPublishesCrashesWithItsServer(t *testing.T) {
	is := is.New(t)
	d, now := newIdleDaemon("s")
	published := 0
	d.screener = screener.New(now, d.log, "h", func(catkinrun.CrashReport) {
		published++
		server, _ := d.registrar.Server()
		is.Equal(server.ID, "i-2")
	})
	row, err := json.Marshal(catkinrun.Member{
		Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "former", Server: &catkinrun.Server{ID: "i-2", Service: "s", Slots: 1, StartUnixMilli: 2},
		CrashReport: catkinrun.CrashReport{Crashes: []catkinrun.Crash{{Server: "i-1@1", Requests: catkinrun.Fingerprints{7}}}},
	})
	is.NoErr(err)
	d.applyMembers(catkinrun.Page{Rows: []catkinrun.Row{{Key: locator.Key("h"), Value: row, Revision: 3}}, Revision: 3}, true)
	is.Equal(published, 1)
}
