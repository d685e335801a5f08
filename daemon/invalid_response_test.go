package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/standin/responder"
	"github.com/catkinrun/catkinrun/syncer"
)

// invalidLimit is well above the time of a call that fails for its response, and below that of a responder that trickles.
const invalidLimit = 2 * time.Second

// TestInvalidResponsesAreNotBelieved has the store, another daemon and the server beside the daemon answer its own
// requests, once as they should, once with a blank in the name of a header, and once with a change of the protocol
// that nobody asked for, whose body was read until the other end closed the connection.
func TestInvalidResponsesAreNotBelieved(t *testing.T) {
	for _, c := range []struct {
		name, headers, body string
		believes            func(t *testing.T, d *Daemon, address string) bool
	}{
		{"list of a table", "Store-Era: 1\r\n", `{"rows":[],"row_version":7}`, func(t *testing.T, d *Daemon, _ string) bool {
			_, err := d.store.List(t.Context(), "t")
			return err == nil
		}},
		{"watch of a table", "Store-Era: 0\r\n", `{"rows":[],"row_version":7}`, func(t *testing.T, d *Daemon, _ string) bool {
			_, err := d.store.Watch(t.Context(), "t", 0, time.Second)
			return err == nil
		}},
		{"message to another daemon", "Content-Type: application/cbor\r\n", "\xa0", func(t *testing.T, d *Daemon, address string) bool {
			_, err := messenger.Call[syncer.Request, syncer.Response](t.Context(), d.peerClient, address, syncer.Procedure, &syncer.Request{})
			return err == nil
		}},
		{"health check", "X-Instance-Id: i\r\nServer-Leaving: 1\r\n", "", func(t *testing.T, d *Daemon, _ string) bool {
			is := is.New(t)
			_, err := d.configurer.Apply(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{
				{Kind: catkinrun.KindService, Name: "s", Service: &catkinrun.Service{Health: "/health"}},
			}}, "test")
			is.NoErr(err)
			server := catkinrun.Server{ID: "i", Service: "s", Slots: 1, Sequence: 1}
			_, err = d.registrar.RecordAnnouncement(server)
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			d.prober.Check(ctx, server)
			_, accepting := d.registrar.Server()
			return !accepting
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, form := range []struct {
				head   string
				ending responder.Ending
				valid  bool
			}{
				{"HTTP/1.1 200 OK\r\n", responder.Close, true},
				{"HTTP/1.1 200 OK\r\nX-Bad Name: x\r\n", responder.Close, false},
				{"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: none\r\n", responder.Trickle, false},
			} {
				server, err := responder.New(func(r *http.Request) string {
					_, _ = io.Copy(io.Discard, r.Body)
					return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", form.head, c.headers, len(c.body), c.body)
				}, form.ending, clock.System{})
				is.NoErr(err)
				defer func() { _ = server.Close() }()
				address := server.Address()
				d, _ := newIdleDaemonOf(loader.Settings{Host: "h", Service: "s", Server: address, Store: address})
				sentAt := time.Now()
				is.Equal(c.believes(t, d, address), form.valid)
				is.True(time.Since(sentAt) < invalidLimit)
			}
		})
	}
}
