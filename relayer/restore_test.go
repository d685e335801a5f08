package relayer_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/relayer"
	standin "github.com/catkinrun/catkinrun/standin/platform"
)

// restoredFleet is a number of daemons of one zone that follow a table of a store that can be restored.
type restoredFleet struct {
	members  []catkinrun.Member
	relayers map[string]*relayer.Relayer
	seen     map[string]*atomic.Value // by host: value of the last row
}

func (f *restoredFleet) Members() []catkinrun.Member { return f.members }

func (f *restoredFleet) ask(ctx context.Context, watcher catkinrun.Member, request *relayer.Request) (*relayer.Response, error) {
	return f.relayers[watcher.Host].Handle(ctx, request)
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startRestoredFleet(t *testing.T, server *standin.Store, count int) *restoredFleet {
	f := &restoredFleet{relayers: make(map[string]*relayer.Relayer), seen: make(map[string]*atomic.Value)}
	log := discardLog()
	ctx, cancel := context.WithCancel(t.Context())
	for i := range count {
		m := catkinrun.Member{Host: string(rune('a' + i)), Zone: "z"}
		f.members = append(f.members, m)
		f.relayers[m.Host] = relayer.New(platform.NewStore("store", server.Client(), time.Second, log), f, f.ask, clock.System{}, log, m)
		f.seen[m.Host] = &atomic.Value{}
	}
	for host, r := range f.relayers {
		seen := f.seen[host]
		follow := follower.New(r, clock.System{}, log, tableName, follower.LongWait, 0, func(page catkinrun.Page, _ bool) {
			for _, row := range page.Rows {
				seen.Store(string(row.Value))
			}
		})
		go func() { _ = follow.Serve(ctx) }()
	}
	t.Cleanup(func() { cancel(); time.Sleep(time.Minute) }) // calls to the store end
	time.Sleep(30 * time.Second)
	return f
}

// TestChangeAfterRestoreReachesAllThroughWatchers restores a backup from many revisions ago. Daemons
// that ask a watcher used to name their former revision, and got no change below it.
func TestChangeAfterRestoreReachesAllThroughWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := standin.New(clock.System{}, standin.Limits{})
		operator := platform.NewStore("store", server.Client(), time.Second, discardLog())
		put := func(value string) {
			_, err := operator.Commit(context.Background(), catkinrun.Transaction{Writes: []catkinrun.Write{{Table: tableName, Key: "k", Value: []byte(value)}}})
			is.NoErr(err)
		}
		put("first")
		backup := server.Backup()
		f := startRestoredFleet(t, server, 8)
		for range 20 {
			put("lost")
		}
		time.Sleep(3 * time.Second)
		server.SetFaults(standin.Faults{Down: true})
		time.Sleep(2 * time.Second)
		server.Restore(backup)
		server.SetFaults(standin.Faults{})
		time.Sleep(3 * time.Second)
		before := server.Calls()["/catkinrun/rows-get"]
		put("confirmed")
		time.Sleep(2 * time.Second)
		for _, m := range f.members {
			if seen := f.seen[m.Host].Load(); seen != "confirmed" {
				t.Errorf("%s has %q", m.Host, seen)
			}
		}
		is.Equal(server.Calls()["/catkinrun/rows-get"], before)
	})
}

// staleStore lists a table as of before its last change, as after a dropped history.
type staleStore struct {
	catkinrun.Store
	listings []catkinrun.Page
}

func (s *staleStore) List(context.Context, string) (catkinrun.Page, error) {
	page := s.listings[0]
	s.listings = s.listings[1:]
	return page, nil
}

// TestCompleteRowsAreAsOfTheirRevision has a watcher list a table that it knew in a later state. A daemon that
// gets all rows must not take them for that state.
func TestCompleteRowsAreAsOfTheirRevision(t *testing.T) {
	is := is.New(t)
	row := func(value string, revision catkinrun.Revision) catkinrun.Page {
		return catkinrun.Page{Rows: []catkinrun.Row{{Key: "k", Value: []byte(value), Revision: revision}}, Revision: revision}
	}
	f := &restoredFleet{}
	r := relayer.New(&staleStore{listings: []catkinrun.Page{row("new", 9), row("old", 5)}}, f, f.ask, clock.System{}, discardLog(), catkinrun.Member{Host: "a", Zone: "z"})
	for range 2 {
		_, err := r.List(t.Context(), tableName)
		is.NoErr(err)
	}
	response, err := r.Handle(t.Context(), &relayer.Request{Table: tableName, After: 0})
	is.NoErr(err)
	is.True(response.Complete)
	is.Equal(string(response.Rows[0].Value), "old")
	is.Equal(response.Revision, catkinrun.Revision(5))
}
