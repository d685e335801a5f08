package admitter

import "time"

const (
	// rateBurstTime is the time whose requests a server with a limit may get at once, so that
	// uneven arrivals do not leave it idle.
	rateBurstTime = 250 * time.Millisecond
	// minRate is the rate in requests per second at which a server with a lower limit still gets
	// requests: without responses nobody would learn that it has lifted the limit.
	minRate = 0.5
	// arrivalDecayTime is the time constant with which counted arrivals decay, several times the
	// interval between requests at the lowest limits that matter.
	arrivalDecayTime = time.Second
)

// rateLimit is the limit on the requests per second that the server has named. All requests to the
// server pass through it, so it holds for all hosts together.
type rateLimit struct {
	limited    bool
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

// set applies a limit. One that replaces another keeps the tokens.
func (r *rateLimit) set(limited bool, perSecond float64, now time.Time) {
	perSecond = max(perSecond, minRate)
	if limited && !r.limited {
		r.tokens, r.refilledAt = burstOf(perSecond), now
	}
	r.refill(now)
	r.limited, r.perSecond = limited, perSecond
	r.tokens = min(r.tokens, burstOf(perSecond))
}

func burstOf(perSecond float64) float64 { return 1 + perSecond*rateBurstTime.Seconds() }

func (r *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.refilledAt); elapsed > 0 {
		r.tokens = min(r.tokens+r.perSecond*elapsed.Seconds(), burstOf(r.perSecond))
		r.refilledAt = now
	}
}

// allows reports whether the server takes a request now.
func (r *rateLimit) allows(now time.Time) bool {
	if !r.limited {
		return true
	}
	r.refill(now)
	return r.tokens >= 1
}

// take counts a request that is sent to the server.
func (r *rateLimit) take() {
	if r.limited {
		r.tokens--
	}
}

// untilNext returns the time until the server takes another request.
func (r *rateLimit) untilNext(now time.Time) time.Duration {
	if r.allows(now) {
		return 0
	}
	return time.Duration((1 - r.tokens) / r.perSecond * float64(time.Second))
}
