package relayer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/relayer"
)

// exactStore ends each wait as it is sent: in whole milliseconds, and by a clock that runs faster or slower.
type exactStore struct {
	catkinrun.Store
	speed float64
}

func (s *exactStore) List(context.Context, string) (catkinrun.Page, error) {
	return catkinrun.Page{Revision: 3}, nil
}

func (s *exactStore) Watch(_ context.Context, _ string, _ catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	time.Sleep(time.Duration(float64(wait.Truncate(time.Millisecond)) / s.speed))
	return catkinrun.Page{Revision: 3}, nil
}

// coarseClock is a clock that is read with a resolution.
type coarseClock struct {
	clock.System
	resolution time.Duration
}

func (c coarseClock) Now() time.Time { return c.System.Now().Truncate(c.resolution) }

// TestResponseAtTheEndOfTheWaitConfirms has the store respond exactly on time. Because the wait is sent in whole
// milliseconds, the response seemed too early, confirmed nothing, and was followed by another call.
func TestResponseAtTheEndOfTheWaitConfirms(t *testing.T) {
	for _, resolution := range []time.Duration{time.Nanosecond, time.Millisecond, 10 * time.Millisecond} {
		for _, speed := range []float64{0.999, 1, 1.001} {
			t.Run(fmt.Sprint(resolution, ", ", speed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &exactStore{speed: speed}
					r := relayer.New(s, nobody{}, nil, coarseClock{resolution: resolution}, discardLog(), catkinrun.Member{Host: "h", Zone: "z"})
					_, err := r.List(t.Context(), promptName)
					is.NoErr(err)
					time.Sleep(300*time.Microsecond + 200*time.Nanosecond)
					for range 20 {
						_, err := r.Watch(t.Context(), promptName, 3, follower.PromptWait)
						is.NoErr(err)
						is.True(r.Age(promptName) <= 30*time.Millisecond) // the response confirms the wait
					}
				})
			})
		}
	}
}
