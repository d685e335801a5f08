package admitter

import (
	"math"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// targetUtilization is the fraction of the concurrency limit that new arrivals may
	// use. The rest absorbs uneven arrivals.
	targetUtilization = 0.92
	// demandDecayTime is the time constant with which counted arrivals decay: several times
	// the few tens of milliseconds that a call takes, so that some tens of arrivals count.
	demandDecayTime = 400 * time.Millisecond
	// queueDrainTime is the time in which the queued requests should be served. The slots
	// needed for that are not available to new arrivals.
	queueDrainTime = 200 * time.Millisecond
	// minUpdateInterval is the least time between two updates of the pressure.
	minUpdateInterval = 5 * time.Millisecond
	// maxPressure lets a few requests through that probe for spare capacity, and keeps any
	// team's requests from being refused altogether.
	maxPressure = 0.9
)

// pressureEstimator computes the pressure from the demand: the slots that would be busy
// if every request of the callers ran without waiting. Each arrival also counts for the
// similar requests that the entry daemon refused, so that the demand does not depend on the
// pressure and the pressure does not oscillate. Capacity goes to the classes in order of
// urgency, so that a request is refused in favor of requests that are at least as urgent,
// and never in favor of requests that would queue behind it.
type pressureEstimator struct {
	fractions   catkinrun.Pressure
	demand      [catkinrun.ClassCount]float64 // slots, by class
	arrivals    [catkinrun.ClassCount]float64 // requests per second, by class
	arrivalRate float64                       // requests per second that have arrived, without those that entry daemons refused
	updatedAt   time.Time
}

// recordArrival adds a request that needs a slot for the service time to the demand.
// weight is the number of requests that callers made for each that the entry daemon sent.
// Requests refused beyond this server's own pressure were refused for another server and
// would not arrive here, so they do not count.
func (p *pressureEstimator) recordArrival(class int, serviceTime time.Duration, weight float64) {
	maxWeight := 1 / (1 - p.fractions[class])
	weight = min(max(1, weight), maxWeight)
	p.demand[class] += serviceTime.Seconds() / demandDecayTime.Seconds() * weight
	p.arrivals[class] += weight / arrivalDecayTime.Seconds()
	p.arrivalRate += 1 / arrivalDecayTime.Seconds()
}

// update recomputes the pressure at time now for a server with the given concurrency limit, which
// takes up to perSecond requests a second. backlog is the service time of the queued requests in
// seconds, by class.
func (p *pressureEstimator) update(now time.Time, limit int, perSecond float64, backlog *[catkinrun.ClassCount]float64) {
	if p.updatedAt.IsZero() {
		p.updatedAt = now
	}
	elapsed := now.Sub(p.updatedAt)
	if elapsed < minUpdateInterval {
		return
	}
	p.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / demandDecayTime.Seconds())
	arrivalDecay := math.Exp(-elapsed.Seconds() / arrivalDecayTime.Seconds())
	p.arrivalRate *= arrivalDecay
	available := targetUtilization * float64(limit)
	perSecond *= targetUtilization
	for class := range p.demand {
		p.demand[class] *= decay
		p.arrivals[class] *= arrivalDecay
		available -= backlog[class] / queueDrainTime.Seconds()
		admitted := min(admittedFraction(p.demand[class], available), admittedFraction(p.arrivals[class], perSecond))
		p.fractions[class] = 1 - admitted
		available -= admitted * p.demand[class]
		perSecond -= admitted * p.arrivals[class]
	}
	for class := 1; class < len(p.fractions); class++ {
		p.fractions[class] = max(p.fractions[class], p.fractions[class-1]) // for classes without demand
	}
}

// admittedFraction returns the fraction of a demand that what is available suffices for.
func admittedFraction(demand, available float64) float64 {
	if demand <= available {
		return 1
	}
	return max(available/demand, 1-maxPressure)
}
