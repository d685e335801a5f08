package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
)

const (
	// callTimeout is how much longer than its wait a call to the store may take.
	callTimeout = 1500 * time.Millisecond
	pollTime    = 5 * time.Millisecond
)

// silentStore is a store that is silent for a time: requests that reach it then are lost, and responses
// that are due then. Watches from before wait on.
type silentStore struct {
	catkinrun.Store
	begin, end time.Time // of the silence
	writes     []time.Time
	watches    int
}

func (s *silentStore) silent() bool {
	now := time.Now()
	return !now.Before(s.begin) && now.Before(s.end)
}

// revision returns the number of the last write, counted from 1.
func (s *silentStore) revision() catkinrun.Revision {
	r := catkinrun.Revision(1)
	for _, at := range s.writes {
		if !time.Now().Before(at) {
			r++
		}
	}
	return r
}

func (s *silentStore) List(ctx context.Context, _ string) (catkinrun.Page, error) {
	return s.call(ctx, 0, 0)
}

func (s *silentStore) Watch(ctx context.Context, _ string, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	s.watches++
	return s.call(ctx, after, wait)
}

func (s *silentStore) call(ctx context.Context, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	lost, due := s.silent(), time.Now().Add(wait)
	for ctx.Err() == nil {
		changed := s.revision() > after
		if (changed || !time.Now().Before(due)) && !lost {
			if !s.silent() {
				if changed {
					return page(s.revision(), "key"), nil
				}
				return page(after), nil
			}
			lost = true
		}
		time.Sleep(pollTime)
	}
	return catkinrun.Page{}, &catkinrun.StoreError{}
}

// appliedAt follows a table for some time and returns when each of its revisions was applied first.
func appliedAt(t *testing.T, s *silentStore, duration time.Duration) map[catkinrun.Revision]time.Time {
	applied := make(map[catkinrun.Revision]time.Time)
	f := newFollower(s, clock.System{}, 200*time.Millisecond, func(p catkinrun.Page, _ bool) {
		if _, ok := applied[p.Revision]; !ok {
			applied[p.Revision] = time.Now()
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	_ = f.Serve(ctx)
	return applied
}

// TestChangeIsAppliedSoonAfterASilence has the store silent at many moments after the start, and writes a
// change shortly before the silence and one 0.9 s after it.
func TestChangeIsAppliedSoonAfterASilence(t *testing.T) {
	for begin := time.Second; begin < 35*time.Second; begin += 900 * time.Millisecond {
		for _, duration := range []time.Duration{500 * time.Millisecond, 4500 * time.Millisecond} {
			for _, before := range []time.Duration{0, 100 * time.Millisecond} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &silentStore{begin: time.Now().Add(begin), end: time.Now().Add(begin + duration)}
					written := s.end.Add(900 * time.Millisecond)
					if before > 0 {
						s.writes = append(s.writes, s.begin.Add(-before))
					}
					s.writes = append(s.writes, written)
					applied := appliedAt(t, s, begin+duration+40*time.Second)
					at, ok := applied[catkinrun.Revision(1+len(s.writes))]
					is.True(ok)
					is.True(at.Sub(written) <= 2*time.Second) // a configuration is in force in two seconds
				})
			}
		}
	}
}

// TestQuietTableIsWatchedWithFewCalls counts the calls of ten minutes without a change.
func TestQuietTableIsWatchedWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentStore{}
		appliedAt(t, s, 10*time.Minute)
		is.True(s.watches <= 30)
	})
}
