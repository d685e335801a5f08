package observer_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/observer"
)

func newObserver() (*observer.Observer, *clock.Fake) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := clock.NewFake()
	return observer.New(c, log, time.Second), c
}

// TestLimitOutlastsAResponseWithoutIt has responses without the limit overtake one that names it.
func TestLimitOutlastsAResponseWithoutIt(t *testing.T) {
	is := is.New(t)
	o, c := newObserver()
	o.Record("h", "s", catkinrun.Condition{Limited: true, Limit: 20})
	c.Advance(900 * time.Millisecond)
	o.Record("h", "s", catkinrun.Condition{})
	is.Equal(o.Limits()["h"], 20.0)
	c.Advance(200 * time.Millisecond)
	o.Record("h", "s", catkinrun.Condition{})
	is.Equal(len(o.Limits()), 0)
}

// TestLimitEndsWithTheServer has another server take the place of one that named a limit.
func TestLimitEndsWithTheServer(t *testing.T) {
	is := is.New(t)
	o, _ := newObserver()
	o.Record("h", "s", catkinrun.Condition{Limited: true, Limit: 20})
	o.Record("h", "s2", catkinrun.Condition{})
	is.Equal(len(o.Limits()), 0)
}
