package admitter

import "time"

const (
	// pressureGain is the part of the new requests by which the pressure rises in a second
	// for each load of excess. A request and its calls take up to a second, so a higher
	// gain would swing.
	pressureGain = 0.8
	// pressureNow is the part by which one load of excess counts at once, before it has
	// lasted: a full queue holds what a surge brings until the integral has risen.
	pressureNow = 0.15
	// targetLoad is the load at which the pressure neither rises nor falls. Calls go before
	// new requests, so some room must be left or the latter would never be served here.
	targetLoad = 0.95
	// mostRise and mostFall bound the excess that counts, so that a long queue does not
	// close the way at once and an idle second does not open it whole.
	mostRise = 1.0
	mostFall = 0.25
	// maxPressure leaves a few requests that find out whether there is room.
	maxPressure = 0.95
)

// pressure is the part of new requests that the entries should not send here. It is
// the integral of the load's excess over time.
type pressure struct {
	part   float64
	excess float64
	at     time.Time
}

// now returns the part that the integral and the present excess make together.
func (p *pressure) now() float64 {
	return min(p.part+pressureNow*max(0, p.excess), maxPressure)
}

// follow brings the pressure up to now, given the load since the last time.
func (p *pressure) follow(now time.Time, load float64) {
	if p.at.IsZero() {
		p.at = now
	}
	p.excess = min(max(load-targetLoad, -mostFall), mostRise)
	p.part = min(max(0, p.part+pressureGain*p.excess*now.Sub(p.at).Seconds()), maxPressure)
	p.at = now
}
