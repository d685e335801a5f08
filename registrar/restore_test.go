package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/registrar"
	standin "github.com/catkinrun/catkinrun/standin/platform"
)

// restoredHost is a daemon that publishes its row in a store that can be restored.
type restoredHost struct {
	clock     *clock.Fake
	store     *platform.Store
	locator   *locator.Locator
	follower  *follower.Follower
	registrar *registrar.Registrar
}

func newRestoredHost(server *standin.Store, host string) *restoredHost {
	h := &restoredHost{clock: clock.NewFake(), store: platform.NewStore("store", server.Client(), time.Second, discardLog()), locator: locator.New(discardLog())}
	h.follower = follower.New(h.store, clock.NewFake(), discardLog(), locator.Table, follower.LongWait, 0, h.locator.Apply)
	h.registrar = registrar.New(h.store, h.locator, h.clock, discardLog(), catkinrun.Member{Host: host, Zone: "z", Peer: host, Incarnation: "1"}, "s", 0)
	return h
}

// announce has a start of the host's server announce itself, and publishes it.
func (h *restoredHost) announce(t *testing.T, id string, start int64) {
	t.Helper()
	h.clock.Advance(2 * time.Second) // the former server, if any, is gone
	announce(t, h.registrar, catkinrun.Server{ID: id, Service: "s", Slots: 1, StartUnixMilli: start, Sequence: 1})
	h.publish(t)
}

func (h *restoredHost) publish(t *testing.T) {
	t.Helper()
	for range 3 {
		_ = h.registrar.Publish(t.Context()) // it tries again after a failure
	}
}

// list has the host read the members table anew, as after a failed watch.
func (h *restoredHost) list(t *testing.T) {
	t.Helper()
	page, err := h.store.List(t.Context(), locator.Table)
	if err != nil {
		t.Fatal(err)
	}
	h.locator.Apply(page, true)
}

// TestRowLostInRestoreIsPublishedAgain restores a backup without a host's row, and then one with an
// earlier row, and reads the table at a daemon that starts later.
func TestRowLostInRestoreIsPublishedAgain(t *testing.T) {
	is := is.New(t)
	server := standin.New(clock.System{}, standin.Limits{})
	h := newRestoredHost(server, "h")
	without := server.Backup()
	h.announce(t, "i-1", 1)
	former := server.Backup()
	h.announce(t, "i-2", 2)
	for _, backup := range []standin.Backup{former, without, former} {
		server.Restore(backup)
		h.list(t)
		h.publish(t)
		later := newRestoredHost(server, "later")
		later.list(t)
		is.Equal(len(later.locator.Serving("s")), 1)
		is.Equal(later.locator.Serving("s")[0].Server.ID, "i-2")
	}
}

// TestMemberThatChangesAfterRestoreIsSeen has a server start anew after a restore, and reads its
// row, whose revision is lower than before, at a daemon that has seen the earlier one.
func TestMemberThatChangesAfterRestoreIsSeen(t *testing.T) {
	is := is.New(t)
	server := standin.New(clock.System{}, standin.Limits{})
	h, other := newRestoredHost(server, "h"), newRestoredHost(server, "other")
	backup := server.Backup()
	for start := range int64(5) {
		h.announce(t, "i-1", start+1)
		h.announce(t, "i-2", start+1)
	}
	other.list(t)
	server.Restore(backup)
	h.list(t)
	h.announce(t, "i-new", 20)
	other.list(t)
	is.Equal(other.locator.Serving("s")[0].Server.ID, "i-new")
}

// TestMembersStayUntilPublishedAgain checks that a member whose row the backup lacks is used until
// its host has had time to write it again, and no longer if it does not.
func TestMembersStayUntilPublishedAgain(t *testing.T) {
	is := is.New(t)
	server := standin.New(clock.System{}, standin.Limits{})
	h, other := newRestoredHost(server, "h"), newRestoredHost(server, "other")
	backup := server.Backup()
	h.announce(t, "i-1", 1)
	other.list(t)
	server.Restore(backup)
	other.list(t)
	is.Equal(len(other.locator.Serving("s")), 1)
	other.list(t) // the second time in this era
	is.Equal(len(other.locator.Serving("s")), 0)
}
