package follower_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/follower"
)

const (
	// callTimeout is how much longer than its wait a call to the store may take.
	callTimeout = 1500 * time.Millisecond
	pollTime    = 5 * time.Millisecond
)

// silence is a time in which a store loses the requests that reach it and the responses that are due.
type silence struct{ begin, end time.Time }

// silentStore is a store that is silent at times. Watches from before wait on.
type silentStore struct {
	catkinrun.Store
	silences []silence
	writes   []time.Time
	watches  int
}

func (s *silentStore) silent() bool {
	now := time.Now()
	return slices.ContainsFunc(s.silences, func(x silence) bool { return !now.Before(x.begin) && now.Before(x.end) })
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
func appliedAt(t *testing.T, s *silentStore, wait, duration time.Duration) map[catkinrun.Revision]time.Time {
	applied := make(map[catkinrun.Revision]time.Time)
	f := newFollower(s, clock.System{}, wait, 200*time.Millisecond, func(p catkinrun.Page, _ bool) {
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
					silent := silence{begin: time.Now().Add(begin), end: time.Now().Add(begin + duration)}
					s := &silentStore{silences: []silence{silent}}
					written := silent.end.Add(900 * time.Millisecond)
					if before > 0 {
						s.writes = append(s.writes, silent.begin.Add(-before))
					}
					s.writes = append(s.writes, written)
					applied := appliedAt(t, s, follower.LongWait, begin+duration+40*time.Second)
					at, ok := applied[catkinrun.Revision(1+len(s.writes))]
					is.True(ok)
					is.True(at.Sub(written) <= 2*time.Second) // a configuration is in force in two seconds
				})
			}
		}
	}
}

// TestChangeWithALostResponseIsAppliedWithinContact writes a change around a silence of the store, so that the response
// to a watch is lost on a connection that stays open, and has a second, short silence follow. A withdrawn key once
// stayed in use for 20 s after a silence.
func TestChangeWithALostResponseIsAppliedWithinContact(t *testing.T) {
	const contact = 3 * time.Second                                                                // from the end of a disruption until the bounds hold again
	for begin := 2 * time.Second; begin < 3200*time.Millisecond; begin += 110 * time.Millisecond { // more than one watch
		for _, duration := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2400 * time.Millisecond, 4500 * time.Millisecond, 9 * time.Second} {
			for _, written := range []time.Duration{0, 3 * time.Millisecond, duration / 2, duration} {
				for _, again := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2550 * time.Millisecond} {
					synctest.Test(t, func(t *testing.T) {
						first := silence{begin: time.Now().Add(begin), end: time.Now().Add(begin + duration)}
						s := &silentStore{silences: []silence{first}, writes: []time.Time{first.begin.Add(written)}}
						calm := first.end
						if again > 0 {
							calm = first.end.Add(again + 5*time.Millisecond)
							s.silences = append(s.silences, silence{begin: first.end.Add(again), end: calm})
						}
						at, ok := appliedAt(t, s, follower.PromptWait, time.Until(calm)+contact+time.Second)[2]
						if !ok || at.Sub(calm) > contact {
							t.Fatalf("silence of %v at %v, again %v after it, change at %v: applied %v after the end", duration, begin, again, written, at.Sub(calm))
						}
					})
				}
			}
		}
	}
}

// TestQuietTableIsWatchedWithFewCalls counts the calls of ten minutes without a change.
func TestQuietTableIsWatchedWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentStore{}
		appliedAt(t, s, follower.LongWait, 10*time.Minute)
		is.True(s.watches <= 30)
	})
}
