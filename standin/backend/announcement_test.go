package backend_test

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/standin/backend"
)

// announcements records what the daemon's handler accepts and refuses.
type announcements struct {
	accepted []catkinrun.Server
	refused  []error
}

func (a *announcements) Announce(s catkinrun.Server) error {
	a.accepted = append(a.accepted, s)
	return nil
}
func (a *announcements) Reject(_ string, cause error) { a.refused = append(a.refused, cause) }
func (a *announcements) Deregister(string, int64)     {}

// TestAnnouncementsOfTheStandInAreAccepted guards against announcements that lack a field which the daemon requires: the demo's
// servers were once refused.
func TestAnnouncementsOfTheStandInAreAccepted(t *testing.T) {
	is := is.New(t)
	record := &announcements{}
	daemon := httptest.NewServer(platform.AnnouncementHandler(record))
	defer daemon.Close()
	settings := backend.Settings{ID: "i-1", Service: "recipes", Address: "127.0.0.1:1", Zone: "z", Control: daemon.URL, Slots: 5}
	b := backend.New(settings, clock.System{}, daemon.Client())
	b.Announce(t.Context())
	is.Equal(len(record.refused), 0)
	is.Equal(len(record.accepted), 1)
	is.Equal(record.accepted[0].Service, "recipes")
}
