package limiter

import (
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
)

// bucket holds one team's share at this daemon.
type bucket struct {
	share    broker.Share
	epoch    catkinrun.Version
	term     uint64    // of currency, in which the share was granted
	voidAt   time.Time // end of grace once the epoch has ended; zero while it lasts
	tokens   float64
	filledAt time.Time

	granted  bool    // a broker has answered in this epoch
	arrivals float64 // since the last Ask
	demand   float64 // smoothed requests per second
	usedAt   time.Time
	refused  uint64
}

// fill adds the tokens earned since the last reading.
func (b *bucket) fill(now time.Time) {
	earned := b.share.Rate * now.Sub(b.filledAt).Seconds()
	b.tokens = min(b.tokens+earned, b.share.Burst)
	b.filledAt = now
}

// set replaces the share: what the old one earned is kept up to the new burst.
func (b *bucket) set(now time.Time, share broker.Share, tokens float64) {
	b.fill(now)
	b.share = share
	b.tokens = min(b.tokens+tokens, share.Burst)
}

// drop gives the share up.
func (b *bucket) drop() {
	b.share = broker.Share{}
	b.tokens = 0
	b.granted = false
}

// take spends one token; otherwise it returns the wait until there is one.
func (b *bucket) take(now time.Time) (wait time.Duration, ok bool) {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.share.Rate <= 0 {
		return unknownWait, false
	}
	return time.Duration((1 - b.tokens) / b.share.Rate * float64(time.Second)), false
}

// measure smooths the demand over one interval.
func (b *bucket) measure(interval time.Duration) {
	now := b.arrivals / interval.Seconds()
	b.demand += demandSmoothing * (now - b.demand)
	b.arrivals = 0
	if b.demand < demandFloor {
		b.demand = 0
	}
}

const (
	demandSmoothing = 0.5
	demandFloor     = 0.02        // requests per second below which a share is given up
	unknownWait     = time.Second // wait told when no share is known
)
