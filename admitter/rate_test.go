package admitter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/clock"
)

// TestRateLimitHoldsInEveryWindow sends far more requests of two classes than the server takes
// while its limit rises, falls to 0 and is lifted, and checks the users' bound in each window.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	const window = 4 * time.Second
	limits := []float64{20, 40, 7.5, 0, 15}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := admitter.New(100, clock.System{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Serve(ctx) }()
		admitted := make(chan time.Time, 100_000)
		request := func(e catkinrun.Envelope) {
			if a.Acquire(ctx, e) != nil {
				return
			}
			admitted <- time.Now()
			time.Sleep(20 * time.Millisecond)
			a.Release(e, 20*time.Millisecond)
		}
		for _, limit := range limits {
			a.SetRateLimit(true, limit)
			startedAt := time.Now()
			for time.Since(startedAt) < 2*window {
				time.Sleep(5 * time.Millisecond)
				go request(catkinrun.Envelope{Request: "r", Route: "r", Priority: 3, TimeLeft: time.Second, Objective: time.Second})
				go request(catkinrun.Envelope{Request: "u", Route: "r", TimeLeft: time.Second, Objective: time.Second})
			}
			var last int
			for len(admitted) > 0 {
				if at := <-admitted; time.Since(at) < window {
					last++
				}
			}
			is.True(float64(last) <= 1.5*limit*window.Seconds()+5)
			is.True(float64(last) >= 0.9*limit*window.Seconds())
		}
		time.Sleep(time.Second) // no request waits any longer
		for len(admitted) > 0 {
			<-admitted
		}
		a.SetRateLimit(false, 0)
		for range 50 {
			go request(catkinrun.Envelope{Request: "r", Route: "r", TimeLeft: time.Second, Objective: time.Second})
		}
		synctest.Wait()
		is.Equal(len(admitted), 50)
		cancel()
		time.Sleep(time.Second)
	})
}

// TestOverloadOfALimitedServerShows has a server get half more requests than it takes: its load is
// above 1, and entry daemons refuse a third.
func TestOverloadOfALimitedServerShows(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	a := admitter.New(100, c)
	a.SetRateLimit(true, 20)
	e := catkinrun.Envelope{Request: "r", Route: "r", TimeLeft: time.Second, Objective: time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // a request that finds no room does not wait
	for range 200 {
		c.Advance(time.Second / 30)
		if a.Acquire(ctx, e) == nil {
			a.Release(e, 20*time.Millisecond)
		}
	}
	is.True(a.Load() > 1.3)
	is.True(a.Pressure()[e.Class()] > 0.25)
	is.True(a.Pressure()[e.Class()] < 0.55)
}
