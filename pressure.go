package catkinrun

// Pressure is, per class, the fraction of new requests that entry daemons should refuse.
// It never falls from a class to a less urgent one.
type Pressure [ClassCount]float64

// Max returns the greater of the two pressures for each class.
func (p Pressure) Max(other Pressure) Pressure {
	for class := range p {
		p[class] = max(p[class], other[class])
	}
	return p
}

// PressureStep is the value that a pressure has from a class on, up to the next step.
type PressureStep struct {
	Class       int    `cbor:"1,keyasint"`
	Thousandths uint16 `cbor:"2,keyasint"` // the pressure in thousandths
}

// stepScale is the value of a pressure of 1 in a PressureStep.
const stepScale = 1000

// Steps returns the steps at which the pressure rises, none if there is no pressure.
func (p Pressure) Steps() []PressureStep {
	var steps []PressureStep
	previous := uint16(0)
	for class, fraction := range p {
		scaled := uint16(min(max(0, fraction), 1) * stepScale)
		if scaled != previous {
			steps = append(steps, PressureStep{Class: class, Thousandths: scaled})
			previous = scaled
		}
	}
	return steps
}

// NewPressure returns the pressure that steps describe; it fails with *InvalidError.
func NewPressure(steps []PressureStep) (Pressure, error) {
	var p Pressure
	for _, s := range steps {
		if s.Class < 0 || s.Class >= ClassCount || s.Thousandths > stepScale {
			return Pressure{}, &InvalidError{Where: "pressure", Field: "step", Reason: "class or fraction out of range"}
		}
		for class := s.Class; class < ClassCount; class++ {
			p[class] = float64(s.Thousandths) / stepScale
		}
	}
	return p, nil
}
