package leveler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/leveler"
)

func TestStrictestServerCountsForAWhile(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	l := leveler.New(c)
	l.Set("pay", 500)
	l.Set("pay", 100) // another server of the service
	is.Equal(l.Level("pay"), 500)
	c.Advance(400 * time.Millisecond)
	l.Set("pay", 100)
	is.Equal(l.Level("pay"), 100)
	c.Advance(2 * time.Second)
	is.Equal(l.Level("pay"), 0) // forgotten, so that it cannot outlive its cause
}
