package limiter

import (
	"math"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
)

// bucket holds the tokens of one team at this daemon.
type bucket struct {
	tokens         float64 // of the local share
	refilledAt     time.Time
	granted        float64 // tokens granted by the owner
	grantExpiresAt time.Time
	grantEpoch     catkinrun.Revision // epoch of the owner that granted them

	arrivals      float64 // since the last token request
	measuredAt    time.Time
	demand        float64 // smoothed requests per second
	waiting       int     // requests that wait for a token
	lastArrivalAt time.Time
}

func newBucket(startedAt, now time.Time) *bucket {
	return &bucket{refilledAt: startedAt, measuredAt: now, lastArrivalAt: now}
}

// refill adds the tokens that the local share has accrued.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), burst)
	b.refilledAt = now
}

// take spends one token: a granted one if there is one that has not expired, else one of
// the local share, which may go below zero by overdraft.
func (b *bucket) take(now time.Time, overdraft float64) bool {
	if b.granted >= 1 && now.Before(b.grantExpiresAt) {
		b.granted--
		return true
	}
	if b.tokens >= 1-overdraft {
		b.tokens--
		return true
	}
	return false
}

// addGrant adds tokens granted by the owner.
func (b *bucket) addGrant(tokens float64, epoch catkinrun.Revision, expiresAt time.Time) {
	b.granted += tokens
	b.grantEpoch = epoch
	b.grantExpiresAt = expiresAt
}

// clearDemand resets the demand of a team without requests and drops its granted tokens.
// Its local share continues to accrue.
func (b *bucket) clearDemand() { b.demand, b.arrivals, b.waiting, b.granted = 0, 0, 0, 0 }

// teamRequest builds the entry of a team in a token request. The entry returns all granted
// tokens, so that the owner can grant them again with a new expiry time, and requests tokens
// for the requests that wait and for those expected in forecastWindow.
func (b *bucket) teamRequest(team string, epoch catkinrun.Revision, now time.Time) broker.TeamRequest {
	if elapsed := now.Sub(b.measuredAt); elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/demandDecayTime.Seconds())
		b.demand += weight * (b.arrivals/elapsed.Seconds() - b.demand)
		b.arrivals, b.measuredAt = 0, now
	}
	returned := b.granted
	if b.grantEpoch != epoch {
		returned = 0 // granted by an earlier owner
	}
	b.granted = 0
	return broker.TeamRequest{Team: team, Returned: returned, Tokens: b.demand*forecastWindow.Seconds() + float64(b.waiting) + 1}
}
