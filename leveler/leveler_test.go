package leveler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/leveler"
)

func TestUnconfirmedLevelOpensLittleByLittle(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	l := leveler.New(c)
	l.Set("pay", 2000) // all normal requests are cut, so none can confirm it
	c.Advance(200 * time.Millisecond)
	is.Equal(l.Level("pay"), 2000)
	c.Advance(200 * time.Millisecond)
	is.Equal(l.Level("pay"), 1994) // a few of a hundred ranks pass
	c.Advance(2 * time.Second)
	is.True(l.Level("pay") <= 1000) // the excess ranks between the classes are skipped
	c.Advance(10 * time.Second)
	is.Equal(l.Level("pay"), 0)
}

func TestAnswersReplaceTheLevelAtOnce(t *testing.T) {
	is := is.New(t)
	l := leveler.New(clock.NewFake())
	l.Set("pay", 1950)
	l.Set("pay", 0)
	is.Equal(l.Level("pay"), 0)
}
