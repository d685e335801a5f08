package admitter

import (
	"math"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// targetDemand is the part of the usable slots that new arrivals may need. The rest is
	// for what comes unevenly.
	targetDemand = 0.92
	// demandMemory is the time over which arrivals are counted: several times a call of a
	// few tens of milliseconds, so that some tens of arrivals count.
	demandMemory = 400 * time.Millisecond
	// drainTime is the time in which the waiting work should be done: a longer queue takes
	// room from new arrivals.
	drainTime = 200 * time.Millisecond
	// followEvery is the least time between two steps of the pressure.
	followEvery = 5 * time.Millisecond
	// maxPressure leaves a few requests that find out whether there is room, and keeps any
	// team's requests from being refused altogether.
	maxPressure = 0.9
)

// pressure is the part of each class's new requests that the entries should not send
// here, worked out from the demand: the slots that would be busy if all that callers want
// ran at once. Each arrival counts for those of its kind that the entry refused, so that
// the demand does not depend on the pressure and nothing swings. Room goes to the classes
// in order of urgency, so that work is refused for what is as urgent or more, and never
// for what would wait behind it.
type pressure struct {
	parts  catkinrun.Pressure
	demand [catkinrun.ClassCount]float64 // slots, by class
	at     time.Time
}

// arrive counts a request that needs a slot for the service time. weight is the number of
// requests that callers made for each that the entry sent. What was refused beyond this
// server's own pressure was so for another server, and would not come here.
func (p *pressure) arrive(class int, service time.Duration, weight float64) {
	own := 1 / (1 - p.parts[class])
	p.demand[class] += service.Seconds() / demandMemory.Seconds() * min(max(1, weight), own)
}

// follow brings the pressure up to now for a server with so many usable slots, and with
// work of so many seconds waiting in each class.
func (p *pressure) follow(now time.Time, capacity int, waiting *[catkinrun.ClassCount]float64) {
	if p.at.IsZero() {
		p.at = now
	}
	elapsed := now.Sub(p.at)
	if elapsed < followEvery {
		return
	}
	p.at = now
	remaining := math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
	room := targetDemand * float64(capacity)
	for class := range p.demand {
		p.demand[class] *= remaining
		room -= waiting[class] / drainTime.Seconds()
		through := 1.0
		if p.demand[class] > room {
			through = max(room/p.demand[class], 1-maxPressure)
		}
		p.parts[class] = 1 - through
		room -= through * p.demand[class]
	}
	for class := 1; class < len(p.parts); class++ {
		p.parts[class] = max(p.parts[class], p.parts[class-1]) // a class without demand
	}
}
