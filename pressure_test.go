package catkinrun_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
)

// TestPressureStepsRoundTrip encodes rising pressures as steps and decodes them again.
func TestPressureStepsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p catkinrun.Pressure
		thousandths := 0
		for class := range p {
			thousandths = min(1000, thousandths+rapid.SampledFrom([]int{0, 0, 0, 5, 300}).Draw(t, "rise"))
			p[class] = float64(thousandths) / 1000
		}
		decoded, err := catkinrun.NewPressure(p.Steps())
		if err != nil {
			t.Fatal(err)
		}
		for class := range p {
			if diff := p[class] - decoded[class]; diff < -0.0011 || diff > 0.0011 {
				t.Fatalf("class %d: %v became %v", class, p[class], decoded[class])
			}
		}
	})
}

func TestNewPressureRejectsStepsOutOfRange(t *testing.T) {
	is := is.New(t)
	for _, s := range []catkinrun.PressureStep{{Class: -1}, {Class: catkinrun.ClassCount}, {Thousandths: 1001}} {
		_, err := catkinrun.NewPressure([]catkinrun.PressureStep{s})
		is.True(err != nil)
	}
}
