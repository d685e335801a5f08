package limiter

import (
	"math"
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

	sequence   uint64        // of the last Ask sent; answers to earlier ones are void
	askedAt    time.Time     // when it was sent
	spacing    time.Duration // least time until the next one for lack of tokens
	lacking    bool          // an Ask for lack of tokens is due
	granted    bool          // a broker has answered in this epoch
	arrivals   float64       // since the last Ask
	measuredAt time.Time
	demand     float64 // smoothed requests per second
	waiting    int     // requests that wait for a token
	usedAt     time.Time
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

// useUp gives up tokens that came without a rate and that no request waits for, and
// returns their number.
func (b *bucket) useUp() float64 {
	unused := 0.0
	if b.waiting == 0 {
		unused = b.tokens
		b.tokens = 0
	}
	b.share.Burst = b.tokens
	return unused
}

// space sets the pace of Asks for lack of tokens by what the last one brought.
func (b *bucket) space(grant broker.Grant, longest time.Duration) {
	b.spacing = min(max(2*b.spacing, shortestSpacing), longest)
	if grant.Tokens >= 1 || grant.Share.Rate > b.share.Rate {
		b.spacing = shortestSpacing
	}
}

// reservePart is the part of a bucket that is kept for higher priorities, so that a
// team's own lesser requests don't use up what its important ones need.
var reservePart = [catkinrun.PriorityCount]float64{0.3, 0.15, 0}

// take spends one token; otherwise it returns the wait until there is one.
func (b *bucket) take(now time.Time, p catkinrun.Priority) (wait time.Duration, ok bool) {
	b.fill(now)
	need := 1.0
	if b.share.Rate > 0 {
		need += max(0, min(reservePart[p]*b.share.Burst, b.share.Burst-1))
	}
	if b.tokens >= need {
		b.tokens--
		return 0, true
	}
	if b.share.Rate <= 0 {
		return unknownWait, false
	}
	return time.Duration((need - b.tokens) / b.share.Rate * float64(time.Second)), false
}

// measure notes the demand since the last reading. The more requests came, or should
// have come, the more the reading counts: a busy team's demand moves at once, and a
// quiet one's is not taken for nil between two requests.
func (b *bucket) measure(now time.Time) {
	elapsed := now.Sub(b.measuredAt)
	if elapsed < shortestMeasure {
		return
	}
	rate := b.arrivals / elapsed.Seconds()
	evidence := max(b.arrivals, b.demand*elapsed.Seconds())
	kept := math.Exp(-evidence / demandMemory)
	b.demand = max(kept*b.demand+(1-kept)*rate, demandFloor)
	b.arrivals = 0
	b.measuredAt = now
	if now.Sub(b.usedAt) > idleTime {
		b.demand = 0
	}
}

const (
	demandMemory    = 4.0             // requests that a reading of the demand rests on
	firstDemand     = 1.0             // requests per second of a team whose traffic begins
	demandFloor     = 0.05            // requests per second of a team that is not idle
	idleTime        = 3 * time.Second // after which a share is given up
	unknownWait     = time.Second     // wait told when no share is known
	shortestMeasure = 100 * time.Millisecond
	shortestSpacing = 10 * time.Millisecond
)
