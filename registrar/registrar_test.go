package registrar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/registrar"
)

// store is an in-memory table that can lose responses or be unavailable.
type store struct {
	catkinrun.Store
	rows          map[string]catkinrun.Row
	revision      catkinrun.Revision
	down          bool
	responsesLost bool                    // writes take effect, but their responses are lost
	late          []catkinrun.Transaction // writes that take effect later
}

func (s *store) Commit(_ context.Context, t catkinrun.Transaction) (catkinrun.Page, error) {
	if s.down {
		s.late = append(s.late, t)
		return catkinrun.Page{}, &catkinrun.StoreError{Operation: "commit"}
	}
	page, err := s.apply(t)
	if s.responsesLost {
		return catkinrun.Page{}, &catkinrun.StoreError{Operation: "commit"}
	}
	return page, err
}

func (s *store) apply(t catkinrun.Transaction) (catkinrun.Page, error) {
	for _, c := range t.Preconditions {
		if row := s.rows[c.Key]; row.Revision != c.Revision {
			return catkinrun.Page{}, &catkinrun.PreconditionError{Table: c.Table, Key: c.Key, Current: row}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.rows[w.Key] = catkinrun.Row{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	return catkinrun.Page{Revision: s.revision}, nil
}

func (s *store) member(t interface{ Fatal(...any) }) catkinrun.Member {
	var m catkinrun.Member
	if err := json.Unmarshal(s.rows[locator.Key("h")].Value, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newRegistrar() (*registrar.Registrar, *store, *locator.Locator) {
	return newRegistrarWithGrace(clock.NewFake(), 0)
}

func newRegistrarWithGrace(c catkinrun.Clock, drainGrace time.Duration) (*registrar.Registrar, *store, *locator.Locator) {
	s := &store{rows: make(map[string]catkinrun.Row)}
	l := locator.New(discardLog())
	self := catkinrun.Member{Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "n"}
	return registrar.New(s, l, c, discardLog(), self, "a", drainGrace), s, l
}

// announce has a server announce itself.
func announce(t interface{ Fatal(...any) }, r *registrar.Registrar, s catkinrun.Server) {
	if _, err := r.RecordAnnouncement(s); err != nil {
		t.Fatal(err)
	}
}

func TestLateAnnouncementOfEndedServerIsIgnored(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	r, _, _ := newRegistrarWithGrace(c, 0)
	announce(t, r, catkinrun.Server{ID: "old", Service: "a", Slots: 1, StartUnixMilli: 100, Sequence: 9})
	c.Advance(2 * time.Second)
	announce(t, r, catkinrun.Server{ID: "new", Service: "a", Slots: 1, StartUnixMilli: 200, Sequence: 1})
	announce(t, r, catkinrun.Server{ID: "old", Service: "a", Slots: 1, StartUnixMilli: 100, Sequence: 10}) // arrives late
	server, accepting := r.Server()
	is.True(accepting)
	is.Equal(server.ID, "new")
}

func TestServerRestartsUnderTheSameID(t *testing.T) {
	is := is.New(t)
	r, _, _ := newRegistrar()
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 100, Sequence: 40})
	r.RecordDeregistration("i", 0)
	_, accepting := r.Server()
	is.True(!accepting)
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 100, Sequence: 41})
	_, accepting = r.Server()
	is.True(!accepting) // the announced process has ended
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 300, Sequence: 1})
	_, accepting = r.Server()
	is.True(accepting)
}

func TestDrainingServerAcceptsNoRequests(t *testing.T) {
	is := is.New(t)
	r, _, _ := newRegistrar()
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 1})
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 3, Draining: true})
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 2}) // late
	_, accepting := r.Server()
	is.True(!accepting)
}

// TestDrainingServerAcceptsRequestsInGracePeriod checks that a server that announces its
// draining and one that deregisters accept requests for one more second, and that further
// announcements do not extend this time.
func TestDrainingServerAcceptsRequestsInGracePeriod(t *testing.T) {
	is := is.New(t)
	for _, drains := range []bool{true, false} {
		c := clock.NewFake()
		r, _, _ := newRegistrarWithGrace(c, time.Second)
		announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 1})
		if drains {
			announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 2, Draining: true})
		} else {
			r.RecordDeregistration("i", 0)
		}
		c.Advance(900 * time.Millisecond)
		announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 3, Draining: true})
		server, accepting := r.Server()
		is.True(accepting)
		is.True(server.Draining)
		c.Advance(200 * time.Millisecond)
		announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 4, Draining: true})
		_, accepting = r.Server()
		is.True(!accepting)
		r.RecordDeregistration("i", 0)
		_, accepting = r.Server()
		is.True(!accepting)
	}
}

// TestNoGraceForServerDrainingBeforeRestart covers a server that started draining while its
// daemon was not running, so that the restored row does not show it.
func TestNoGraceForServerDrainingBeforeRestart(t *testing.T) {
	is := is.New(t)
	r, _, _ := newRegistrarWithGrace(clock.NewFake(), time.Second)
	raw, err := json.Marshal(catkinrun.Member{Host: "h", Peer: "p", Server: &catkinrun.Server{ID: "i", Service: "a", Slots: 4, StartUnixMilli: 7}})
	is.NoErr(err)
	r.Restore(catkinrun.Row{Key: locator.Key("h"), Value: raw, Revision: 3})
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 4, StartUnixMilli: 7, Sequence: 9, Draining: true})
	_, accepting := r.Server()
	is.True(!accepting)
}

func TestRestartedDaemonRestoresServerFromStore(t *testing.T) {
	is := is.New(t)
	r, _, _ := newRegistrar()
	raw, err := json.Marshal(catkinrun.Member{Host: "h", Peer: "p", Server: &catkinrun.Server{ID: "i", Service: "a", Slots: 4, StartUnixMilli: 7, Draining: true}})
	is.NoErr(err)
	r.Restore(catkinrun.Row{Key: locator.Key("h"), Value: raw, Revision: 3})
	server, accepting := r.Server()
	is.Equal(server.ID, "i")
	is.True(!accepting) // an acknowledged drain survives a restart of the daemon
	announce(t, r, catkinrun.Server{ID: "j", Service: "a", Slots: 4, StartUnixMilli: 8, Sequence: 1})
	_, accepting = r.Server()
	is.True(accepting)
}

// TestRowMatchesServer makes the store unavailable, lose responses and apply writes late, and
// checks the row once the store is available again.
func TestRowMatchesServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		r, s, _ := newRegistrarWithGrace(c, 0)
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if s.down || s.responsesLost {
					return
				}
				for range 3 { // after a late write, the first call may only record the conflict
					_ = r.Publish(context.Background())
				}
				if err := r.Publish(context.Background()); err != nil {
					t.Fatal(err)
				}
				server, accepting := r.Server()
				m := s.member(t)
				if (m.Server != nil && !m.Server.Draining) != accepting {
					t.Fatalf("row %+v, server %+v accepting %t", m.Server, server, accepting)
				}
			},
			"announce": func(t *rapid.T) {
				sequence++
				c.Advance(1500 * time.Millisecond)
				_ = r.Publish(context.Background())
				announce(t, r, catkinrun.Server{
					ID: "i", Service: "a", Slots: 1 + int(sequence%3), StartUnixMilli: int64(sequence / 8), Sequence: sequence,
					Draining: rapid.Bool().Draw(t, "draining"),
				})
			},
			"store": func(t *rapid.T) {
				s.down, s.responsesLost = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "lost")
			},
			"late writes": func(*rapid.T) {
				for _, t := range s.late {
					_, _ = s.apply(t) // most fail their precondition
				}
				s.late = nil
			},
		})
	})
}

// TestDeregistrationsOfUnknownServersAreBounded deregisters servers that this daemon does not
// know, as another writer may.
func TestDeregistrationsOfUnknownServersAreBounded(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := registrar.New(&store{rows: make(map[string]catkinrun.Row)}, locator.New(log), clock.NewFake(), log, catkinrun.Member{Host: "h", Peer: "p"}, "a", 0)
	for i := range 1000 {
		r.RecordDeregistration(fmt.Sprint("server-", i), 0)
	}
	is.True(r.EndedCount() <= registrar.MaxEndedServers)
}

// TestPublishBesideAnnouncements publishes the row while it changes; the race detector checks
// the accesses.
func TestPublishBesideAnnouncements(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &store{rows: make(map[string]catkinrun.Row)}
	r := registrar.New(s, locator.New(log), clock.System{}, log, catkinrun.Member{Host: "h", Peer: "p"}, "a", 0)
	var announcing sync.WaitGroup
	announcing.Go(func() {
		for i := range 200 {
			announce(t, r, catkinrun.Server{ID: "s", Service: "a", Slots: 1 + i%2, Sequence: uint64(i + 1)})
		}
	})
	for range 200 {
		is.New(t).NoErr(r.Publish(t.Context()))
	}
	announcing.Wait()
}

// TestServerThatStatesItIsLeavingDrains has a server state in a response that it is leaving. Its
// deregistration follows and is the first notice that it gives, so that it still accepts requests for
// the grace period; an announcement that it is ready was sent before.
func TestServerThatStatesItIsLeavingDrains(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	r, s, _ := newRegistrarWithGrace(c, time.Second)
	server := catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 1}
	announce(t, r, server)
	r.MarkLeaving("other/1")
	_, accepting := r.Server()
	is.True(accepting)
	r.MarkLeaving(server.Start())
	server.Sequence = 2
	announce(t, r, server)
	is.NoErr(r.Publish(t.Context()))
	is.True(s.member(t).Server.Draining)
	r.RecordDeregistration("i", 0)
	_, accepting = r.Server()
	is.True(accepting)
	c.Advance(time.Second)
	_, accepting = r.Server()
	is.True(!accepting)
	r.RecordDeregistration("i", 0)
	is.NoErr(r.Publish(t.Context()))
	is.Equal(s.member(t).Server, nil)
}

// TestRemovedRowOfALiveHostIsWrittenAgain has another daemon remove the row of a host that it took
// for gone.
func TestRemovedRowOfALiveHostIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	r, s, l := newRegistrar()
	announce(t, r, catkinrun.Server{ID: "i", Service: "a", Slots: 1, StartUnixMilli: 1, Sequence: 1})
	is.NoErr(r.Publish(t.Context()))
	key := locator.Key("h")
	delete(s.rows, key)
	s.revision++
	l.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: key, Revision: s.revision, Deleted: true}}, Revision: s.revision}, false)
	is.NoErr(r.Publish(t.Context()))
	is.Equal(s.member(t).Server.ID, "i")
	is.Equal(len(l.Serving("a")), 1)
}

// TestServerThatStartedAfterTheClockWasSetBackIsUsed has a server replaced while the time of day is
// a minute behind, so that its start seems to be before the last server's. Single late announcements of
// an ended server look the same and are ignored.
func TestServerThatStartedAfterTheClockWasSetBackIsUsed(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	r, _, _ := newRegistrarWithGrace(c, 0)
	announce(t, r, catkinrun.Server{ID: "old", Service: "a", Slots: 1, StartUnixMilli: 100_000, Sequence: 9})
	late := catkinrun.Server{ID: "new", Service: "a", Slots: 1, StartUnixMilli: 40_000, Sequence: 1}
	announce(t, r, late)
	server, _ := r.Server()
	is.Equal(server.ID, "old") // it may be late
	for range 4 {
		c.Advance(1500 * time.Millisecond)
		late.Sequence++
		announce(t, r, late)
	}
	server, accepting := r.Server()
	is.Equal(server.ID, "new")
	is.True(accepting)
}
