package daemon

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/loader"
)

// newBusyDaemon returns a daemon that listens, on a host of the service recipes, with a request that runs until the end.
func newBusyDaemon(t *testing.T) *Daemon {
	t.Helper()
	system := clock.System{}
	journal := journaler.New(system, t.Output(), 0)
	anywhere := "127.0.0.1:0"
	d, err := New(t.Context(), loader.Settings{
		Host: "h", Zone: "z", Service: "recipes", Server: "127.0.0.1:1", Store: "127.0.0.1:1",
		Listen: loader.Listen{Caller: anywhere, Peer: anywhere, Announce: anywhere, Ready: anywhere, Operator: anywhere},
		Times:  loader.Times{Store: catkinrun.Duration(time.Second), Drain: catkinrun.Duration(2 * time.Second), Stop: catkinrun.Duration(6 * time.Second)},
	}, system, system, journal)
	is.New(t).NoErr(err)
	d.running.Add(1)
	return d
}

// openListeners returns the names of the listeners whose sockets are open.
func openListeners(d *Daemon) string {
	var names []string
	for _, l := range d.listeners {
		if !l.closed.Load() {
			names = append(names, l.name)
		}
	}
	return strings.Join(names, " ")
}

// TestLeavingDaemonGivesItsAddressToTheNextHost has a server of another service announce itself to a leaving daemon whose clients are
// busy. The daemon once served the requests of the next host as those of its own, and kept the sockets from its daemon.
func TestLeavingDaemonGivesItsAddressToTheNextHost(t *testing.T) {
	for _, test := range []struct {
		name    string
		former  string        // service of an announcement some time before the stop signal
		service string        // of an announcement 2.5 s after it
		own     time.Duration // after the stop signal, last announcement of the host's own server
		open    string        // listeners 2.6 s after the stop signal
		refuses bool
	}{
		{"no announcement", "", "", 0, "announce ready operator peer caller", false},
		{"another service", "", "orders", 0, "", true},
		{"another service, the own server lives", "", "orders", time.Second, "announce ready operator peer caller", false},
		{"the same service", "", "recipes", 0, "announce ready operator peer caller", false},
		{"another service, some time before", "orders", "", 0, "announce ready operator peer caller", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newBusyDaemon(t)
				left := make(chan struct{})
				announce := func(id, service string, start int64) {
					_, _ = d.registrar.RecordAnnouncement(catkinrun.Server{ID: id, Service: service, Slots: 1, StartUnixMilli: start, Sequence: uint64(time.Now().UnixNano())})
				}
				announce("i-1", "recipes", 1)
				if test.former != "" {
					time.Sleep(time.Second)
					announce("i-2", test.former, 2)
				}
				time.Sleep(5 * time.Second)
				go func() { d.leave(t.Context()); close(left) }()
				time.Sleep(test.own)
				if test.own > 0 {
					announce("i-1", "recipes", 1)
				}
				time.Sleep(2500*time.Millisecond - test.own)
				if test.service != "" {
					announce("i-2", test.service, 2)
				}
				time.Sleep(100 * time.Millisecond)
				is.Equal(openListeners(d), test.open)
				is.Equal(d.stopping.Load(), test.refuses)
				d.running.Add(-1)
				<-left
				for _, l := range d.listeners {
					_ = l.net.Close()
				}
			})
		})
	}
}

// TestStartWaitsForAnAddressInUse starts a daemon while another process still listens at one of its addresses. It once ended at
// once, again and again.
func TestStartWaitsForAnAddressInUse(t *testing.T) {
	for _, test := range []struct {
		used time.Duration
		ok   bool
	}{{time.Second, true}, {5 * time.Second, true}, {7 * time.Second, false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newBusyDaemon(t)
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			time.AfterFunc(test.used, func() { _ = socket.Close() })
			startedAt := time.Now()
			opened, err := d.bind(context.Background(), socket.Addr().String(), startedAt.Add(6*time.Second))
			is.Equal(err == nil, test.ok)
			is.True(time.Since(startedAt) <= min(test.used, 6*time.Second)+bindInterval)
			if err == nil {
				_ = opened.Close()
			}
			for _, l := range d.listeners {
				_ = l.net.Close()
			}
			time.Sleep(test.used)
		})
	}
}
