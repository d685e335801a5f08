package broker

import (
	"math"
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// hostKey names a daemon incarnation.
type hostKey struct{ host, incarnation string }

// entry is what one daemon may hold of a team's rate.
type entry struct {
	sequence uint64
	heardAt  time.Time
	goneAt   time.Time // when its absence from the roster was first known as accepted
	demand   float64   // requests per second
	share    Share     // the most that the daemon may be using
}

// ledger is one team's account in one epoch.
type ledger struct {
	epoch    catkinrun.Version
	ready    bool // earlier epochs are over; shares may be moved
	entries  map[hostKey]*entry
	tokens   float64 // of the broker's own bucket
	filledAt time.Time
}

func newLedger(epoch catkinrun.Version) *ledger {
	return &ledger{epoch: epoch, entries: make(map[hostKey]*entry)}
}

func (l *ledger) entry(host, incarnation string) *entry {
	key := hostKey{host, incarnation}
	e, ok := l.entries[key]
	if !ok {
		e = &entry{}
		l.entries[key] = e
	}
	return e
}

// forget drops the entry of a host that holds nothing and has been silent.
func (l *ledger) forget(key hostKey, e *entry, activeSince time.Time) {
	if e.share == (Share{}) && !e.heardAt.IsZero() && e.heardAt.Before(activeSince) {
		delete(l.entries, key)
	}
}

// sum adds up the shares of all entries but one.
func (l *ledger) sum(but *entry) Share {
	var total Share
	for _, e := range l.entries {
		if e != but {
			total.Rate += e.share.Rate
			total.Burst += e.share.Burst
		}
	}
	return total
}

// fill adds what the unshared part of the rate earned, up to the unshared part
// of the burst. Nothing is earned before earlier epochs are over.
func (l *ledger) fill(now time.Time, team catkinrun.Team) {
	shared := l.sum(nil)
	if l.ready {
		rate := max(0, team.Rate-shared.Rate)
		l.tokens += rate * now.Sub(l.filledAt).Seconds()
	}
	l.tokens = min(l.tokens, max(0, team.Burst-shared.Burst))
	l.filledAt = now
}

// confirm keeps what the host holds from the epoch before.
func (l *ledger) confirm(e *entry, want Want) Share {
	e.share = want.Held
	return want.Held
}

// allocate grants a host its max-min fair share, as far as the shares that the
// others may be using allow. Until the host confirms a smaller share, the larger
// one counts.
func (l *ledger) allocate(e *entry, want Want, team catkinrun.Team, activeSince time.Time) (Share, float64) {
	returned := min(want.Returned, max(0, e.share.Burst-want.Held.Burst))
	e.share = want.Held
	if want.Epoch != l.epoch {
		// The earlier epochs are over, so an unconfirmed share of one is void.
		e.share = Share{}
		returned = 0
	}
	l.tokens += returned
	if want.Demand == 0 {
		return Share{}, 0
	}
	others := l.sum(e)
	if l.small(team, activeSince) {
		return l.allocateTokens(e, want, max(0, team.Burst-others.Burst))
	}
	rate := min(l.target(e, team.Rate, activeSince), max(0, team.Rate-others.Rate))
	burst := min(team.Burst*rate/team.Rate, max(0, team.Burst-others.Burst))
	granted := Share{Rate: rate, Burst: burst}
	e.share = Share{Rate: max(e.share.Rate, rate), Burst: max(e.share.Burst, burst)}
	tokens := min(l.tokens, max(0, burst-want.Held.Burst)+rate*tokenAdvance.Seconds(), burst)
	l.tokens -= tokens
	l.tokens = min(l.tokens, max(0, team.Burst-l.sum(nil).Burst))
	return granted, tokens
}

const (
	// smallRate and smallBurst are the parts of a host below which a team's rate is
	// not divided: a share of less than a request could never be used.
	smallRate  = 2.0 // requests per second
	smallBurst = 4.0 // requests
)

// small reports whether the team's rate is too small to be divided among the hosts
// that see its traffic.
func (l *ledger) small(team catkinrun.Team, activeSince time.Time) bool {
	active := float64(len(l.active(activeSince)))
	return team.Rate < smallRate*active || team.Burst < smallBurst*active
}

// active returns the entries of hosts that lately saw traffic of the team.
func (l *ledger) active(since time.Time) []*entry {
	var active []*entry
	for _, e := range l.entries {
		if e.demand > 0 && e.heardAt.After(since) {
			active = append(active, e)
		}
	}
	return active
}

// allocateTokens moves whole tokens for the requests that wait, without a rate.
func (l *ledger) allocateTokens(e *entry, want Want, room float64) (Share, float64) {
	tokens := min(math.Floor(min(l.tokens, room-want.Held.Burst)), float64(want.Waiting))
	tokens = max(0, tokens)
	l.tokens -= tokens
	granted := Share{Burst: want.Held.Burst + tokens}
	if want.Held.Rate > 0 {
		granted.Burst = tokens // what was earned at a rate ends with it
	}
	e.share.Burst = max(e.share.Burst, granted.Burst)
	return granted, tokens
}

// headroomPart is the part of a team's rate that a host gets above its demand.
const headroomPart = 0.05

// spreadPart is the part of what no demand needs that is spread as headroom.
const spreadPart = 0.7

// tokenAdvance is the time for which the broker's bucket tops up a host's.
const tokenAdvance = 500 * time.Millisecond

// target is the host's part of the rate: demands are met from the smallest up,
// each with at most an even part of what is left; what remains is spread evenly, up
// to a headroom. The rest stays with the broker, for hosts whose traffic begins.
func (l *ledger) target(e *entry, rate float64, activeSince time.Time) float64 {
	active := l.active(activeSince) // with e, which asks now
	slices.SortFunc(active, func(a, b *entry) int {
		switch {
		case a.demand < b.demand:
			return -1
		case a.demand > b.demand:
			return 1
		}
		return 0
	})
	left := rate
	part := 0.0
	for i, other := range active {
		met := min(other.demand, left/float64(len(active)-i))
		left -= met
		if other == e {
			part = met
		}
	}
	headroom := max(e.demand, rate*headroomPart)
	return part + min(headroom, spreadPart*left/float64(len(active)))
}
