package syncer_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/syncer"
)

// hosts passes calls between daemons on without a network. It implements connect.HTTPClient.
type hosts map[string]http.Handler // by peer address

func (h hosts) Do(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h[r.URL.Host].ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// noOwners is an assignment that names nobody.
type noOwners struct{}

func (noOwners) Assignment() (assignment broker.Assignment, changed <-chan struct{}) {
	return broker.Assignment{}, nil
}

func (noOwners) ApplyAssignment(broker.Assignment) {}

// noCrashes knows of no crash.
type noCrashes struct{}

func (noCrashes) Reports() []catkinrun.CrashReport { return nil }
func (noCrashes) Merge([]catkinrun.CrashReport)    {}

// start starts the syncer of a daemon that reads a version and the members from the store.
func (h hosts) start(ctx context.Context, t *testing.T, host string, version catkinrun.Version, members catkinrun.Page) *configurer.Configurer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, l := configurer.New(clock.System{}, log), locator.New(log)
	_, err := c.Apply(catkinrun.SnapshotData{Version: version}, "store")
	is.New(t).NoErr(err)
	l.Apply(members, true)
	s := syncer.New(c, l, noOwners{}, noCrashes{}, messenger.New(h), clock.System{}, log, host, func() bool { return false })
	mux := http.NewServeMux()
	messenger.Handle(mux, syncer.Procedure, s.Handle)
	h[host] = mux
	go func() { _ = s.Serve(ctx) }()
	return c
}

// TestDaemonThatStartsAfterRestoreLearnsTheNewestVersion starts a daemon that reads an old
// configuration from a restored store, and sends it no requests.
func TestDaemonThatStartsAfterRestoreLearnsTheNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var members catkinrun.Page
		for i, host := range []string{"a", "b", "c"} {
			raw, err := json.Marshal(catkinrun.Member{Host: host, Peer: host})
			is.New(t).NoErr(err)
			members.Rows = append(members.Rows, catkinrun.Row{Key: locator.Key(host), Value: raw, Revision: catkinrun.Revision(i + 1)})
		}
		members.Revision = 3
		h := make(hosts)
		h.start(ctx, t, "a", 12, members)
		h.start(ctx, t, "b", 12, members)
		restarted := h.start(ctx, t, "c", 10, members)
		time.Sleep(2 * time.Second)
		is.New(t).Equal(restarted.Snapshot().Version(), catkinrun.Version(12))
		cancel()
		time.Sleep(time.Second)
	})
}
