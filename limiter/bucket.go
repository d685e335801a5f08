package limiter

import (
	"math"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
)

// bucket holds one team's tokens at this daemon.
type bucket struct {
	tokens   float64 // of the even part
	filledAt time.Time
	dealt    float64 // by the owner
	goodTill time.Time
	epoch    catkinrun.Revision // under which dealt tokens came

	arrivals   float64 // since the last Ask
	measuredAt time.Time
	demand     float64 // smoothed requests per second
	waiting    int     // requests that wait for a token
	usedAt     time.Time
}

func newBucket(startedAt, now time.Time) *bucket {
	return &bucket{filledAt: startedAt, measuredAt: now, usedAt: now}
}

// fill adds what the even part has earned.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), depth)
	b.filledAt = now
}

// take spends one token: a dealt one while it is good, else one of the even part,
// which may go below zero by ahead.
func (b *bucket) take(now time.Time, ahead float64) bool {
	if b.dealt >= 1 && now.Before(b.goodTill) {
		b.dealt--
		return true
	}
	if b.tokens >= 1-ahead {
		b.tokens--
		return true
	}
	return false
}

// deal adds tokens of the owner.
func (b *bucket) deal(tokens float64, epoch catkinrun.Revision, goodTill time.Time) {
	b.dealt += tokens
	b.epoch = epoch
	b.goodTill = goodTill
}

// rest forgets the demand of a team without requests; its even part goes on earning.
func (b *bucket) rest() { b.demand, b.arrivals, b.waiting, b.dealt = 0, 0, 0, 0 }

// want makes a team's line of an Ask: what is held goes back, so that what has aged
// here is dealt anew, and all that is expected until the next answer is asked for.
func (b *bucket) want(name string, epoch catkinrun.Revision, now time.Time) broker.Want {
	if elapsed := now.Sub(b.measuredAt); elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/demandMemory.Seconds())
		b.demand += weight * (b.arrivals/elapsed.Seconds() - b.demand)
		b.arrivals, b.measuredAt = 0, now
	}
	returned := b.dealt
	if b.epoch != epoch {
		returned = 0 // the owner that dealt them counts no more
	}
	b.dealt = 0
	return broker.Want{Team: name, Returned: returned, Tokens: b.demand*ahead.Seconds() + float64(b.waiting) + 1}
}
