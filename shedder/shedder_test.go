package shedder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/shedder"
)

// pressureFrom returns a pressure on a class and all less urgent ones.
func pressureFrom(is *is.I, class int, fraction float64) catkinrun.Pressure {
	p, err := catkinrun.NewPressure([]catkinrun.PressureStep{{Class: class, Thousandths: uint16(fraction * 1000)}})
	is.NoErr(err)
	return p
}

// shedFractions sends n requests of each class and returns the fraction that is shed.
func shedFractions(s *shedder.Shedder, n int, classes ...int) []float64 {
	fractions := make([]float64, len(classes))
	for range n {
		for i, class := range classes {
			if shed, _ := s.ShouldShed("route", class); shed {
				fractions[i] += 1 / float64(n)
			}
		}
	}
	return fractions
}

func TestLeastUrgentRequestsAreShedFirst(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	s := shedder.New(clock.NewFake(), random.Float64)
	for range 100 {
		s.RecordPressure("route", pressureFrom(is, 3, 0.5))
	}
	fractions := shedFractions(s, 2000, 1, 3, 9)
	is.Equal(fractions[0], 0.0)
	is.True(fractions[1] > 0.45 && fractions[1] < 0.55)
	is.True(fractions[2] > 0.45 && fractions[2] < 0.55)
}

func TestPressureDecaysWithoutResponses(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	s := shedder.New(c, func() float64 { return 0.5 })
	for range 100 {
		s.RecordPressure("route", pressureFrom(is, 1, 0.9))
	}
	is.True(s.Pressure("route")[1] > 0.8)
	c.Advance(4 * time.Second) // no requests and no responses
	is.Equal(s.Pressure("route"), catkinrun.Pressure{})
}
