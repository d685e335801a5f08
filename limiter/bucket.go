package limiter

import (
	"math"
	"time"

	"github.com/catkinrun/catkinrun/broker"
)

// bucket holds the tokens of one team at this daemon.
type bucket struct {
	local          float64 // tokens of the local share
	refilledAt     time.Time
	granted        int // tokens granted by the owner
	grantExpiresAt time.Time
	grantEpoch     uint64 // epoch of the shard in which they were granted

	arrivals      float64 // since the last token request
	measuredAt    time.Time
	demand        float64 // smoothed requests per second
	waiting       int     // requests that wait for a token
	lastArrivalAt time.Time
}

// newBucket returns the bucket of a team whose local share has accrued since localSince.
func newBucket(localSince, now time.Time) *bucket {
	return &bucket{refilledAt: localSince, measuredAt: now, lastArrivalAt: now}
}

// refillLocal adds the tokens that the local share has accrued since the daemon was last in
// touch with the owner. While it is in touch the share accrues nothing, and what was left of
// it belongs to the owner; tokens used in advance are still owed.
func (b *bucket) refillLocal(now, ceded time.Time, rate, burst float64) {
	if b.refilledAt.Before(ceded) {
		b.refilledAt = ceded
		b.local = min(b.local, 0)
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.local = min(b.local+rate*elapsed.Seconds(), burst)
		b.refilledAt = now
	}
}

// takeGranted spends one token granted by the owner.
func (b *bucket) takeGranted(now time.Time) bool {
	if b.granted < 1 || !now.Before(b.grantExpiresAt) {
		return false
	}
	b.granted--
	return true
}

// takeLocal spends one token of the local share, which may go below zero by overdraft.
func (b *bucket) takeLocal(overdraft float64) bool {
	if b.local < 1-overdraft {
		return false
	}
	b.local--
	return true
}

// addGrant adds tokens granted by the owner.
func (b *bucket) addGrant(tokens int, epoch uint64, expiresAt time.Time) {
	b.granted += tokens
	b.grantEpoch = epoch
	b.grantExpiresAt = expiresAt
}

// idle reports whether the bucket can be dropped: its team has sent no requests for a while
// and it owes no tokens.
func (b *bucket) idle(now time.Time) bool {
	return now.Sub(b.lastArrivalAt) > idleTimeout && b.local >= 0 && b.waiting == 0
}

// teamRequest builds the entry of a team in a token request. The entry returns all granted
// tokens, so that the owner can grant them again with a new expiry time or to another host,
// and requests tokens for the requests that wait and for those expected in forecastWindow. A
// daemon that expects less than one request asks for it when it arrives, so that the tokens
// of a team do not lie idle at all hosts.
func (b *bucket) teamRequest(team string, epoch uint64, now time.Time) broker.TeamRequest {
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
	return broker.TeamRequest{Team: team, Returned: returned, Tokens: b.waiting + int(b.demand*forecastWindow.Seconds())}
}
