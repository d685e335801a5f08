package broker

import "time"

// idleTeamTimeout is the time without token requests after which the full bucket of a team
// is dropped.
const idleTeamTimeout = 10 * time.Second

// ledger accounts for the tokens of one shard's teams while this daemon grants them. All
// buckets accrue the same fraction of their team's rate: the whole rate less the local shares
// that hosts may be using. It makes no decisions about ownership and reads no clock.
type ledger struct {
	grantingSince time.Duration
	available     float64 // fraction of the rates and bursts that the owner may grant
	updatedAt     time.Duration
	accrued       float64 // integral of available over time since grantingSince, in seconds
	accruedAtDrop float64 // value of accrued when available last fell
	buckets       map[string]*bucket
}

// bucket holds the tokens of one team that are not granted.
type bucket struct {
	tokens      float64
	accrued     float64 // value of the ledger's accrued when tokens were last added
	rate, burst float64 // declared at that time
	requestedAt time.Duration
}

func newLedger(now time.Duration, available float64) *ledger {
	return &ledger{grantingSince: now, available: available, updatedAt: now, buckets: make(map[string]*bucket)}
}

// update sets the available fraction from now on. When it falls, all buckets are cut to the
// new fraction of the burst, because the hosts that use their local shares again hold the
// rest.
func (l *ledger) update(now time.Duration, available float64) {
	l.accrued += l.available * (now - l.updatedAt).Seconds()
	l.updatedAt = now
	fell := available < l.available
	l.available = available
	if !fell {
		return
	}
	l.accruedAtDrop = l.accrued
	for _, b := range l.buckets {
		b.refill(l.accrued, l.available)
	}
}

// take adds the returned tokens of a team and takes up to count, in whole tokens.
func (l *ledger) take(now time.Duration, team string, rate, burst float64, returned, count int) int {
	b, ok := l.buckets[team]
	if !ok {
		// The tokens of a team without a bucket have not been granted since available last fell.
		b = &bucket{accrued: l.accruedAtDrop}
		l.buckets[team] = b
	}
	b.rate, b.burst, b.requestedAt = rate, burst, now
	b.tokens += float64(returned)
	b.refill(l.accrued, l.available)
	taken := max(0, min(count, int(b.tokens)))
	b.tokens -= float64(taken)
	return taken
}

// remaining returns the whole tokens that the buckets hold.
func (l *ledger) remaining() []Grant {
	var left []Grant
	for team, b := range l.buckets {
		if tokens := int(b.tokens); tokens > 0 {
			left = append(left, Grant{Team: team, Tokens: tokens})
		}
	}
	return left
}

// dropIdle drops the full buckets of teams without token requests. A new bucket holds no more
// than the dropped one would.
func (l *ledger) dropIdle(now time.Duration) {
	for team, b := range l.buckets {
		if now-b.requestedAt < idleTeamTimeout {
			continue
		}
		b.refill(l.accrued, l.available)
		if b.tokens >= b.capacity(l.available) {
			delete(l.buckets, team)
		}
	}
}

// capacity returns the available fraction of the burst. It is at least one token, since
// tokens are granted whole.
func (b *bucket) capacity(available float64) float64 { return max(available*b.burst, 1) }

// refill adds the tokens accrued since the last refill, up to the capacity.
func (b *bucket) refill(accrued, available float64) {
	b.tokens = min(b.tokens+b.rate*(accrued-b.accrued), b.capacity(available))
	b.accrued = accrued
}
