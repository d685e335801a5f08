package admitter_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/clock"
)

func newAdmitter(slots int) (*admitter.Admitter, *clock.Fake) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := clock.NewFake()
	return admitter.New(slots, c, log), c
}

func envelope(i int, p catkinrun.Priority) catkinrun.Envelope {
	return catkinrun.Envelope{
		Request: fmt.Sprint("request-", i), Team: "team", Route: "route", Priority: p, TimeLeft: 50 * time.Millisecond,
	}
}

func TestDeferrableWorkNeverHoldsEverySlot(t *testing.T) {
	is := is.New(t)
	a, _ := newAdmitter(10)
	held := 0
	for i := range 10 {
		if a.Acquire(context.Background(), envelope(i, catkinrun.Deferrable)) == nil {
			held++
		}
	}
	is.Equal(held, 7)
	is.NoErr(a.Acquire(context.Background(), envelope(11, catkinrun.Important)))
}

func TestWorkThatCannotFinishInTimeIsRefusedNotRun(t *testing.T) {
	is := is.New(t)
	a, _ := newAdmitter(10)
	for i := range 60 { // learns a service time of 100 ms
		is.NoErr(a.Acquire(context.Background(), catkinrun.Envelope{Request: fmt.Sprint(i), Route: "route", TimeLeft: time.Second}))
		a.Release("route", 100*time.Millisecond)
	}
	err := a.Acquire(context.Background(), envelope(1, catkinrun.Important))
	var refusal *catkinrun.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, catkinrun.ReasonDeadline)
	is.Equal(refusal.Outcome, catkinrun.NotRun)
}

func TestEstimateFromASlowTimeFades(t *testing.T) {
	is := is.New(t)
	a, _ := newAdmitter(10)
	for range 200 {
		a.Release("route", time.Second) // a slow time, now over
		_ = a.Acquire(context.Background(), catkinrun.Envelope{Request: "r", Route: "route", TimeLeft: time.Minute})
	}
	refused := 0
	for i := range 1000 {
		if a.Acquire(context.Background(), envelope(i, catkinrun.Important)) == nil {
			break
		}
		refused++
	}
	is.True(refused < 200) // else the server would refuse for ever
}

// TestSlotsAreKept drives acquires and releases against a simple count.
func TestSlotsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		a, c := newAdmitter(slots)
		running, requests := 0, 0
		ended, cancel := context.WithCancel(context.Background())
		cancel() // so that nothing waits in the queue
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if load := a.State().Load; running > slots || int(load*float64(slots)+0.5) != running {
					t.Fatalf("%d running on %d slots, load %g", running, slots, load)
				}
			},
			"acquire": func(t *rapid.T) {
				requests++
				e := envelope(requests, catkinrun.Priority(rapid.IntRange(0, 2).Draw(t, "priority")))
				if a.Acquire(ended, e) == nil {
					running++
				}
			},
			"release": func(*rapid.T) {
				if running > 0 {
					a.Release("route", time.Millisecond)
					running--
				}
			},
			"time passes": func(*rapid.T) { c.Advance(200 * time.Millisecond) },
		})
	})
}

// TestLevelShedsTheLowestFirstAndLeaves surges deferrable and important work.
func TestLevelShedsTheLowestFirstAndLeaves(t *testing.T) {
	is := is.New(t)
	a, c := newAdmitter(2)
	is.NoErr(a.Acquire(context.Background(), envelope(0, catkinrun.Important)))
	is.NoErr(a.Acquire(context.Background(), envelope(1, catkinrun.Important)))
	short := catkinrun.Envelope{Route: "route", TimeLeft: time.Microsecond}
	for i := range 400 {
		short.Request = fmt.Sprint(i)
		short.Priority = catkinrun.Deferrable
		if i%4 == 0 {
			short.Priority = catkinrun.Important
		}
		_ = a.Acquire(context.Background(), short)
		c.Advance(2 * time.Millisecond)
	}
	is.True(a.State().Level > 0)
	for range 5 {
		c.Advance(time.Second)
		_ = a.State()
	}
	is.Equal(a.State().Level, 0) // the level does not outlive the surge
}
