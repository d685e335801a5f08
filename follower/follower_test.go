package follower_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/follower"
)

// store returns its responses in order, one for each call.
type store struct {
	catkinrun.Store
	calls     []string
	responses []response
}

type response struct {
	page catkinrun.Page
	err  error
}

func (s *store) next(call string) (catkinrun.Page, error) {
	s.calls = append(s.calls, call)
	r := s.responses[0]
	s.responses = s.responses[1:]
	return r.page, r.err
}

func (s *store) List(context.Context, string) (catkinrun.Page, error) { return s.next("list") }

func (s *store) Watch(_ context.Context, _ string, after catkinrun.Revision, _ time.Duration) (catkinrun.Page, error) {
	return s.next("watch after " + string(rune('0'+after)))
}

// newFollower returns a follower of a table that writes no log.
func newFollower(s catkinrun.Store, c catkinrun.Clock, wait, pause time.Duration, apply follower.Apply) *follower.Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return follower.New(s, c, log, "t", wait, pause, apply)
}

func page(revision catkinrun.Revision, keys ...string) catkinrun.Page {
	p := catkinrun.Page{Revision: revision}
	for _, key := range keys {
		p.Rows = append(p.Rows, catkinrun.Row{Key: key})
	}
	return p
}

func TestTableIsListedAgainAfterHistoryError(t *testing.T) {
	is := is.New(t)
	s := &store{responses: []response{
		{page: page(1, "a")}, {page: page(3, "b")}, {err: &catkinrun.HistoryError{}}, {page: page(7, "a", "c")}, {page: page(8)},
	}}
	var applied []string
	f := newFollower(s, clock.NewFake(), follower.LongWait, 0, func(p catkinrun.Page, whole bool) {
		for _, row := range p.Rows {
			applied = append(applied, row.Key)
		}
		if whole {
			applied = append(applied, "whole")
		}
	})
	for range 5 {
		is.NoErr(f.Step(context.Background()))
	}
	is.Equal(applied, []string{"a", "whole", "b", "a", "c", "whole"})
	is.Equal(s.calls, []string{"list", "watch after 1", "watch after 3", "list", "watch after 7"})
}

func TestFailedWatchKeepsTheRevision(t *testing.T) {
	is := is.New(t)
	s := &store{responses: []response{{page: page(1)}, {err: &catkinrun.StoreError{}}, {page: page(2)}}}
	f := newFollower(s, clock.NewFake(), follower.LongWait, 0, func(catkinrun.Page, bool) {})
	is.NoErr(f.Step(context.Background()))
	is.True(f.Step(context.Background()) != nil)
	is.NoErr(f.Step(context.Background()))
	is.Equal(s.calls, []string{"list", "watch after 1", "watch after 1"})
}

// TestAgeBeforeFirstResponse asks for the age of the table before the store has responded.
func TestAgeBeforeFirstResponse(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	f := newFollower(&store{}, c, follower.LongWait, 0, func(catkinrun.Page, bool) {})
	c.Advance(3 * time.Second)
	is.Equal(f.Age(), 3*time.Second) // since the start
}

// TestTableIsListedAgainSomeTimeAfterRestore checks that rows which nobody has written again since a
// restore are removed by a further listing, and that a watch does not wait beyond it.
func TestTableIsListedAgainSomeTimeAfterRestore(t *testing.T) {
	is := is.New(t)
	restored := catkinrun.NewRevision(1, 2)
	s := &store{responses: []response{
		{page: page(1)}, {err: &catkinrun.HistoryError{}}, {page: page(restored, "a")}, {page: page(restored)}, {err: &catkinrun.HistoryError{}}, {page: page(restored, "a")}, {page: page(restored)},
	}}
	c := clock.NewFake()
	f := newFollower(s, c, follower.LongWait, 0, func(catkinrun.Page, bool) {})
	is.NoErr(f.Step(context.Background()))
	_ = f.Step(context.Background()) // the history is lost
	is.NoErr(f.Step(context.Background()))
	is.NoErr(f.Step(context.Background()))
	c.Advance(5 * time.Second)
	_ = f.Step(context.Background()) // a watch from the beginning
	is.NoErr(f.Step(context.Background()))
	c.Advance(time.Hour)
	is.NoErr(f.Step(context.Background()))
	is.Equal(s.calls[2], "list")
	is.Equal(s.calls[4], "watch after 0")
	is.Equal(s.calls[5], "list")
	is.Equal(len(s.calls), 7)
}

// TestPageFromBeforeARestoreIsNotApplied has a watcher that has missed the restore respond.
func TestPageFromBeforeARestoreIsNotApplied(t *testing.T) {
	is := is.New(t)
	s := &store{responses: []response{{page: page(catkinrun.NewRevision(2, 1), "new")}, {page: page(catkinrun.NewRevision(1, 9), "old")}}}
	var applied []string
	f := newFollower(s, clock.NewFake(), follower.LongWait, 0, func(p catkinrun.Page, _ bool) {
		for _, row := range p.Rows {
			applied = append(applied, row.Key)
		}
	})
	is.NoErr(f.Step(context.Background()))
	is.True(f.Step(context.Background()) != nil)
	is.Equal(applied, []string{"new"})
}

// TestWatchContinuesFromAStaleListing has the store drop its history and answer the listing from before the
// last change.
func TestWatchContinuesFromAStaleListing(t *testing.T) {
	is := is.New(t)
	for _, complete := range []bool{false, true} { // listed by this daemon, or by a watcher
		listing := response{page: page(3, "a")}
		responses := []response{{page: page(1)}, {page: page(5, "b")}, {err: &catkinrun.HistoryError{}}, listing, {page: page(5, "b")}}
		if complete {
			listing.page.Complete = true
			responses = []response{{page: page(1)}, {page: page(5, "b")}, listing, {page: page(5, "b")}}
		}
		s := &store{responses: responses}
		log := logrus.New()
		log.SetOutput(io.Discard)
		f := newFollower(s, clock.NewFake(), follower.LongWait, 0, func(catkinrun.Page, bool) {})
		for range responses {
			is.NoErr(f.Step(context.Background()))
		}
		is.Equal(s.calls[len(s.calls)-1], "watch after 3")
	}
}
