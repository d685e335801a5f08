package replicator

import (
	"math/bits"
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// Bitmap is a set of members of one zone, by their index in the zone's sorted
// list of names.
type Bitmap []byte

// Has reports whether the member is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns a copy that contains the member.
func (b Bitmap) With(i int) Bitmap {
	size := max(len(b), i/8+1)
	next := make(Bitmap, size)
	copy(next, b)
	next[i/8] |= 1 << (i % 8)
	return next
}

// Or returns the union.
func (b Bitmap) Or(other Bitmap) Bitmap {
	next := make(Bitmap, max(len(b), len(other)))
	copy(next, b)
	for i, bits := range other {
		next[i] |= bits
	}
	return next
}

// Minus returns the members of b that are not in other.
func (b Bitmap) Minus(other Bitmap) Bitmap {
	next := slices.Clone(b)
	for i := range next {
		if i < len(other) {
			next[i] &^= other[i]
		}
	}
	return next
}

// And returns the members that are in both sets.
func (b Bitmap) And(other Bitmap) Bitmap {
	both := make(Bitmap, min(len(b), len(other)))
	for i := range both {
		both[i] = b[i] & other[i]
	}
	return both
}

// Count returns the number of members.
func (b Bitmap) Count() int {
	count := 0
	for _, x := range b {
		count += bits.OnesCount8(x)
	}
	return count
}

// Tally says that each voter of one zone held exactly the version Held at some
// time within Age, and which hosts were ready for new work then.
type Tally struct {
	Zone   string            `cbor:"zone"`
	Roster catkinrun.Version `cbor:"roster"` // roster version that numbers the members
	Held   catkinrun.Version `cbor:"held"`
	Age    time.Duration     `cbor:"age"`
	Voters Bitmap            `cbor:"voters"`
	Seen   Bitmap            `cbor:"seen"`  // hosts heard of, voters or not
	Ready  Bitmap            `cbor:"ready"` // hosts whose backend server takes new work
}

// dated is a tally with the local time of its oldest report.
type dated struct {
	Tally
	at time.Time
}

// cover merges tallies of one zone. The freshest word about each member counts,
// so an older echo of a report never makes the merged tally older than needed.
func cover(tallies []dated) []dated {
	slices.SortStableFunc(tallies, func(a, b dated) int { return b.at.Compare(a.at) })
	var seen Bitmap
	groups := make(map[catkinrun.Version]dated)
	for _, t := range tallies {
		fresh := t.Seen.Minus(seen)
		if fresh.Count() == 0 {
			continue
		}
		seen = seen.Or(t.Seen)
		groups[t.Held] = join(groups[t.Held], restrict(t, fresh))
	}
	merged := make([]dated, 0, len(groups))
	for _, t := range groups {
		merged = append(merged, t)
	}
	slices.SortFunc(merged, func(a, b dated) int { return int(b.Held) - int(a.Held) })
	return merged
}

func restrict(t dated, members Bitmap) dated {
	outside := t.Seen.Minus(members)
	t.Seen = members
	t.Voters = t.Voters.Minus(outside)
	t.Ready = t.Ready.Minus(outside)
	return t
}

// join unites two tallies at one version; the result is as old as the older.
func join(a, b dated) dated {
	if a.Seen == nil {
		return b
	}
	if b.at.Before(a.at) {
		a.at = b.at
	}
	a.Voters = a.Voters.Or(b.Voters)
	a.Seen = a.Seen.Or(b.Seen)
	a.Ready = a.Ready.Or(b.Ready)
	return a
}

// renumber brings a tally from the numbering of one roster to that of another. A
// vote goes along only if both rosters name the same incarnation.
func renumber(t Tally, from, to *catkinrun.Snapshot) Tally {
	next := Tally{Zone: t.Zone, Roster: to.RosterVersion(), Held: t.Held, Age: t.Age}
	index := make(map[string]int)
	for i, host := range to.ZoneHosts(t.Zone) {
		index[host] = i
	}
	for i, host := range from.ZoneHosts(t.Zone) {
		j, ok := index[host]
		if !ok || !t.Seen.Has(i) {
			continue
		}
		old, _ := from.Host(host)
		entry, _ := to.Host(host)
		same := old.Incarnation == entry.Incarnation
		next.Seen = next.Seen.With(j)
		if t.Voters.Has(i) && same {
			next.Voters = next.Voters.With(j)
		}
		if t.Ready.Has(i) && same && old.Service == entry.Service {
			next.Ready = next.Ready.With(j)
		}
	}
	return next
}
