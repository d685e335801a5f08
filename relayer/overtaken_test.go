package relayer_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/relayer"
)

// lossyStore has two tables. The response to each watch of "held" that waits is lost on a connection that stays open.
type lossyStore struct {
	catkinrun.Store

	mu       sync.Mutex
	revision catkinrun.Revision // of the last change, of "held"
	held     int                // calls for "held"
}

func (s *lossyStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

func (s *lossyStore) heldCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// call counts a call and returns the revision.
func (s *lossyStore) call(table string) catkinrun.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == "held" {
		s.held++
	}
	return s.revision
}

func (s *lossyStore) Watch(ctx context.Context, table string, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	if table == "held" && wait > 0 {
		s.call(table)
		<-ctx.Done()
		return catkinrun.Page{}, &catkinrun.StoreError{Operation: "watch", Cause: ctx.Err()}
	}
	time.Sleep(wait)
	page := catkinrun.Page{Revision: s.call(table)}
	if table == "held" && page.Revision > after {
		page.Rows = []catkinrun.Row{{Key: "k", Revision: page.Revision}}
	}
	return page, nil
}

// nobody lists no hosts.
type nobody struct{}

func (nobody) Members() []catkinrun.Member { return nil }

// TestLostChangeShowsInTheResponseToAnotherWatch loses the response to a long watch. It was waited for until the end of
// the watch, although the responses to the other table's watches showed that the store had changed.
func TestLostChangeShowsInTheResponseToAnotherWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &lossyStore{revision: 3}
		r := relayer.New(s, nobody{}, nil, clock.System{}, log, catkinrun.Member{Host: "h", Zone: "z"})
		type result struct {
			page catkinrun.Page
			err  error
		}
		changed := make(chan result, 1)
		go func() {
			page, err := r.Watch(t.Context(), "held", 3, follower.LongWait)
			changed <- result{page, err}
		}()
		for range 3 {
			_, err := r.Watch(t.Context(), "other", 3, follower.PromptWait)
			is.NoErr(err)
		}
		synctest.Wait()
		is.Equal(s.heldCalls(), 1) // nothing has changed
		s.write()
		writtenAt := time.Now()
		_, err := r.Watch(t.Context(), "other", 3, follower.PromptWait)
		is.NoErr(err)
		x := <-changed
		is.NoErr(x.err)
		is.Equal(len(x.page.Rows), 1)
		is.True(time.Since(writtenAt) <= follower.PromptWait)
	})
}

// lateStore responds to the watch of "held" after heldDelay, also if it is given up meanwhile.
type lateStore struct{ catkinrun.Store }

const heldDelay = follower.PromptWait + 10*time.Millisecond

func (lateStore) List(context.Context, string) (catkinrun.Page, error) {
	return catkinrun.Page{Revision: 3}, nil
}

func (lateStore) Watch(_ context.Context, table string, _ catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	if table == "held" {
		time.Sleep(heldDelay)
		return catkinrun.Page{Rows: []catkinrun.Row{{Key: "k", Revision: 4}}, Revision: 4}, nil
	}
	time.Sleep(wait)
	return catkinrun.Page{Revision: 4}, nil
}

// TestLateChangeIsConfirmedByAnEarlierResponse has the response to a watch show a change of another table just before
// that table's own response arrives. The other table was not confirmed until the next response a second later, and daemons
// that asked for it read the store themselves.
func TestLateChangeIsConfirmedByAnEarlierResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := relayer.New(lateStore{}, nobody{}, nil, clock.System{}, discardLog(), catkinrun.Member{Host: "h", Zone: "z"})
		for _, table := range []string{"held", "other"} {
			_, err := r.List(t.Context(), table)
			is.NoErr(err)
		}
		done := make(chan error, 1)
		go func() {
			_, err := r.Watch(t.Context(), "held", 3, follower.LongWait)
			done <- err
		}()
		_, err := r.Watch(t.Context(), "other", 3, follower.PromptWait)
		is.NoErr(err)
		is.True(r.Age("held") >= follower.PromptWait) // the change is not known yet
		is.NoErr(<-done)
		is.Equal(r.Age("held"), heldDelay-follower.PromptWait) // since the response to the other watch
	})
}
