package daemon

import (
	"context"
	"net"
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
