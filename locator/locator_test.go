package locator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/locator"
)

func newLocator() *locator.Locator {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return locator.New(log)
}

func memberRow(t *testing.T, host, service string, revision catkinrun.Revision) catkinrun.Row {
	t.Helper()
	raw, err := json.Marshal(catkinrun.Member{Host: host, Peer: host, Server: &catkinrun.Server{ID: "i", Service: service, Slots: 1}})
	is.New(t).NoErr(err)
	return catkinrun.Row{Key: locator.Key(host), Value: raw, Revision: revision}
}

// TestServingFallsBackToLeavingMembers covers a leaving daemon and a draining server.
func TestServingFallsBackToLeavingMembers(t *testing.T) {
	is := is.New(t)
	l := newLocator()
	leaving := func(host string, daemonLeaving, serverDraining bool) catkinrun.Row {
		raw, err := json.Marshal(catkinrun.Member{Host: host, Peer: host, Leaving: daemonLeaving, Server: &catkinrun.Server{ID: "i", Service: "s", Slots: 1, Draining: serverDraining}})
		is.NoErr(err)
		return catkinrun.Row{Key: locator.Key(host), Value: raw, Revision: 1}
	}
	l.Apply(catkinrun.Page{Revision: 1, Rows: []catkinrun.Row{leaving("a", true, false), leaving("b", false, true)}}, true)
	is.Equal(len(l.Serving("s")), 2)
	l.Apply(catkinrun.Page{Revision: 2, Rows: []catkinrun.Row{memberRow(t, "c", "s", 2)}}, false)
	is.Equal(len(l.Serving("s")), 1) // only the member that is not leaving
	is.Equal(l.Serving("s")[0].Host, "c")
}

func TestInvalidRowsAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newLocator()
	l.Apply(catkinrun.Page{Revision: 9, Rows: []catkinrun.Row{
		memberRow(t, "a", "s", 1),
		{Key: locator.Key("b"), Value: []byte("\xff{"), Revision: 2},
		{Key: locator.Key("c"), Value: []byte(`{"host":7}`), Revision: 3},
		{Key: locator.Key("d"), Value: []byte(`{"host":"d","peer":"d","server":{"service":"s"}}`), Revision: 4},
		{Key: "owners/rates", Value: []byte(`{"host":"z","peer":"z"}`), Revision: 5},
	}}, true)
	is.Equal(l.Count(), 1)
	is.Equal(len(l.Serving("s")), 1)
}

// TestRowUnderAnotherKeyNamesNoMember has a row describe a host that has a row of its own, whose server it replaced in the
// index. It is logged once, not at each change of the table.
func TestRowUnderAnotherKeyNamesNoMember(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	l := locator.New(log)
	foreign := memberRow(t, "a", "other", 3)
	foreign.Key = locator.Key("b")
	for revision := catkinrun.Revision(3); revision < 9; revision++ {
		l.Apply(catkinrun.Page{Revision: revision, Rows: []catkinrun.Row{memberRow(t, "a", "s", 1), foreign}}, true)
		is.Equal(l.Count(), 1)
		is.Equal(len(l.Serving("s")), 1)
		is.Equal(len(l.Serving("other")), 0)
	}
	is.Equal(strings.Count(out.String(), "\n"), 1)
}

// TestOlderRowsAreIgnored merges an older listing of another daemon into rows from the store.
func TestOlderRowsAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newLocator()
	l.Apply(catkinrun.Page{Revision: 8, Rows: []catkinrun.Row{memberRow(t, "a", "new", 8), memberRow(t, "b", "s", 7)}}, true)
	l.Apply(catkinrun.Page{Revision: 5, Rows: []catkinrun.Row{memberRow(t, "a", "old", 5)}}, true)
	is.Equal(len(l.Serving("new")), 1)
	is.Equal(len(l.Serving("s")), 1) // b is newer than the older listing
	l.Apply(catkinrun.Page{Revision: 9, Rows: []catkinrun.Row{memberRow(t, "a", "new", 8)}}, true)
	is.Equal(len(l.Serving("s")), 0) // a newer listing lacks b
}
