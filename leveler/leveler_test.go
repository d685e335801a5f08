package leveler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/leveler"
)

// pressure returns a pressure that begins at a class.
func pressure(is *is.I, from int, part float64) catkinrun.Pressure {
	p, err := catkinrun.NewPressure([]catkinrun.Step{{Class: from, Parts: uint16(part * 1000)}})
	is.NoErr(err)
	return p
}

// refused sends n requests of each class and returns the part refused of each.
func refused(l *leveler.Leveler, n int, classes ...int) []float64 {
	counts := make([]float64, len(classes))
	for range n {
		for i, class := range classes {
			if no, _ := l.Refuses("route", class); no {
				counts[i] += 1 / float64(n)
			}
		}
	}
	return counts
}

func TestLeastUrgentRequestsAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	l := leveler.New(clock.NewFake(), random.Float64)
	for range 100 {
		l.Set("route", pressure(is, 3, 0.5))
	}
	parts := refused(l, 2000, 1, 3, 9)
	is.Equal(parts[0], 0.0)
	is.True(parts[1] > 0.45 && parts[1] < 0.55)
	is.True(parts[2] > 0.45 && parts[2] < 0.55)
}

func TestPressureDoesNotOutliveItsCause(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	l := leveler.New(c, func() float64 { return 0.5 })
	for range 100 {
		l.Set("route", pressure(is, 1, 0.9))
	}
	is.True(l.Pressure("route")[1] > 0.8)
	c.Advance(4 * time.Second) // nobody asks and nobody answers
	is.Equal(l.Pressure("route"), catkinrun.Pressure{})
}
