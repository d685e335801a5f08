package locator_test

import (
	"encoding/json"
	"io"
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

func row(t *testing.T, host, service string, revision catkinrun.Revision) catkinrun.Row {
	t.Helper()
	raw, err := json.Marshal(catkinrun.Member{Host: host, Peer: host, Server: &catkinrun.Server{ID: "i", Service: service, Slots: 1}})
	is.New(t).NoErr(err)
	return catkinrun.Row{Key: locator.Key(host), Value: raw, Revision: revision}
}

// TestLeavingMembersServeWhenNoOtherDoes has a daemon that stops and a server that drains.
func TestLeavingMembersServeWhenNoOtherDoes(t *testing.T) {
	is := is.New(t)
	l := newLocator()
	leaving := func(host string, daemon, server bool) catkinrun.Row {
		raw, err := json.Marshal(catkinrun.Member{Host: host, Peer: host, Leaving: daemon, Server: &catkinrun.Server{ID: "i", Service: "s", Slots: 1, Draining: server}})
		is.NoErr(err)
		return catkinrun.Row{Key: locator.Key(host), Value: raw, Revision: 1}
	}
	l.Apply(catkinrun.Page{Revision: 1, Rows: []catkinrun.Row{leaving("a", true, false), leaving("b", false, true)}}, true)
	is.Equal(len(l.Serving("s")), 2)
	l.Apply(catkinrun.Page{Revision: 2, Rows: []catkinrun.Row{row(t, "c", "s", 2)}}, false)
	is.Equal(len(l.Serving("s")), 1) // the one that stays
	is.Equal(l.Serving("s")[0].Host, "c")
}

func TestRowsOfOthersHarmNobody(t *testing.T) {
	is := is.New(t)
	l := newLocator()
	l.Apply(catkinrun.Page{Revision: 9, Rows: []catkinrun.Row{
		row(t, "a", "s", 1),
		{Key: locator.Key("b"), Value: []byte("\xff{"), Revision: 2},
		{Key: locator.Key("c"), Value: []byte(`{"host":7}`), Revision: 3},
		{Key: locator.Key("d"), Value: []byte(`{"host":"d","peer":"d","server":{"service":"s"}}`), Revision: 4},
		{Key: "owner/rates", Value: []byte(`{"host":"z","peer":"z"}`), Revision: 5},
	}}, true)
	is.Equal(l.Count(), 1)
	is.Equal(len(l.Serving("s")), 1)
}

// TestOlderNewsIsIgnored merges what another daemon tells with what the store told.
func TestOlderNewsIsIgnored(t *testing.T) {
	is := is.New(t)
	l := newLocator()
	l.Apply(catkinrun.Page{Revision: 8, Rows: []catkinrun.Row{row(t, "a", "new", 8), row(t, "b", "s", 7)}}, true)
	l.Apply(catkinrun.Page{Revision: 5, Rows: []catkinrun.Row{row(t, "a", "old", 5)}}, true)
	is.Equal(len(l.Serving("new")), 1)
	is.Equal(len(l.Serving("s")), 1) // b joined after the older listing
	l.Apply(catkinrun.Page{Revision: 9, Rows: []catkinrun.Row{row(t, "a", "new", 8)}}, true)
	is.Equal(len(l.Serving("s")), 0) // a newer listing no longer has b
}
