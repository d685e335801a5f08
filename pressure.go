package catkinrun

// Pressure is, per class, the fraction of new requests that entry daemons should refuse.
// It never falls from a class to a less urgent one.
type Pressure [ClassCount]float64

// WithMost returns the greater of the two pressures for each class.
func (p Pressure) WithMost(other Pressure) Pressure {
	for class := range p {
		p[class] = max(p[class], other[class])
	}
	return p
}

// Step is the value that a pressure has from a class on, up to the next step.
type Step struct {
	Class int    `cbor:"1,keyasint"`
	Parts uint16 `cbor:"2,keyasint"` // in thousandths
}

// stepScale is the value of a pressure of 1 in a Step.
const stepScale = 1000

// Steps returns the steps at which the pressure rises, none if there is no pressure.
func (p Pressure) Steps() []Step {
	var steps []Step
	previous := uint16(0)
	for class, fraction := range p {
		scaled := uint16(min(max(0, fraction), 1) * stepScale)
		if scaled != previous {
			steps = append(steps, Step{Class: class, Parts: scaled})
			previous = scaled
		}
	}
	return steps
}

// NewPressure returns the pressure that steps describe; it fails with *InvalidError.
func NewPressure(steps []Step) (Pressure, error) {
	var p Pressure
	for _, s := range steps {
		if s.Class < 0 || s.Class >= ClassCount || s.Parts > stepScale {
			return Pressure{}, &InvalidError{Where: "pressure", Field: "step", Reason: "class or fraction out of range"}
		}
		for class := s.Class; class < ClassCount; class++ {
			p[class] = float64(s.Parts) / stepScale
		}
	}
	return p, nil
}
