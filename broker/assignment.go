package broker

import (
	"hash/fnv"
	"math/bits"
	"slices"
	"strconv"

	"github.com/catkinrun/catkinrun"
)

// RowKey is the key of the assignment's row in the members table.
const RowKey = "owners/rates"

// ShardCount is the number of shards into which the teams are divided, at most the number of
// bits of a ShardSet. All daemons must use the same number.
const ShardCount = 64

// ShardOf returns the shard of a team.
func ShardOf(team string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team)) // never fails
	return int(h.Sum32() % ShardCount)
}

// ShardSet is a set of shards.
type ShardSet uint64

// allShards contains every shard.
const allShards = ^ShardSet(0)

// Has reports whether the set contains a shard.
func (s ShardSet) Has(shard int) bool { return s&(1<<shard) != 0 }

// With returns the set with one more shard.
func (s ShardSet) With(shard int) ShardSet { return s | 1<<shard }

// Without returns the shards that are not in another set.
func (s ShardSet) Without(other ShardSet) ShardSet { return s &^ other }

// Len returns the number of shards.
func (s ShardSet) Len() int { return bits.OnesCount64(uint64(s)) }

// first returns the n lowest shards of the set.
func (s ShardSet) first(n int) ShardSet {
	var subset ShardSet
	for shard := range ShardCount {
		if s.Has(shard) && subset.Len() < n {
			subset = subset.With(shard)
		}
	}
	return subset
}

// Owner is a daemon that grants tokens.
type Owner struct {
	Host        string `json:"host" cbor:"host"`
	Peer        string `json:"peer" cbor:"peer"`
	Incarnation string `json:"incarnation" cbor:"incarnation"`
}

// ShardOwner names the owner of one shard.
type ShardOwner struct {
	Owner  int    `json:"owner" cbor:"owner"`                       // index into the owners of the assignment
	Epoch  uint64 `json:"epoch" cbor:"epoch"`                       // generation in which it became the owner
	Former []int  `json:"former,omitempty" cbor:"former,omitempty"` // indexes of earlier owners that may still have granted tokens then
}

// Assignment names the owner of each shard. The zero value assigns none. Values are not
// changed once they are built.
type Assignment struct {
	Generation uint64       `json:"generation" cbor:"generation"` // rises by one with each change
	Owners     []Owner      `json:"owners" cbor:"owners"`
	Former     []Owner      `json:"former,omitempty" cbor:"former,omitempty"`
	Shards     []ShardOwner `json:"shards" cbor:"shards"` // by shard
}

// Validate checks a decoded assignment; it fails with *catkinrun.InvalidError.
func (a Assignment) Validate() error {
	if a.Generation == 0 || len(a.Shards) != ShardCount {
		return &catkinrun.InvalidError{Where: "assignment", Field: "shards", Reason: "expected a generation and " + strconv.Itoa(ShardCount) + " shards"}
	}
	for _, s := range a.Shards {
		isUnknown := func(former int) bool { return former < 0 || former >= len(a.Former) }
		if s.Owner < 0 || s.Owner >= len(a.Owners) || s.Epoch > a.Generation || slices.ContainsFunc(s.Former, isUnknown) {
			return &catkinrun.InvalidError{Where: "assignment", Field: "shards", Reason: "unknown owner or epoch"}
		}
	}
	return nil
}

// Owner returns the owner of a shard; there is none before the first generation.
func (a Assignment) Owner(shard int) (owner Owner, ok bool) {
	if a.Generation == 0 {
		return Owner{}, false
	}
	return a.Owners[a.Shards[shard].Owner], true
}

// Epoch returns the epoch of a shard.
func (a Assignment) Epoch(shard int) uint64 {
	if a.Generation == 0 {
		return 0
	}
	return a.Shards[shard].Epoch
}

// OwnedBy returns the shards of a daemon.
func (a Assignment) OwnedBy(owner Owner) ShardSet {
	var owned ShardSet
	for shard := range a.Shards {
		if a.Owners[a.Shards[shard].Owner] == owner {
			owned = owned.With(shard)
		}
	}
	return owned
}

// FormerOf returns the shards of which a daemon may still have granted tokens when their
// present owner was assigned.
func (a Assignment) FormerOf(owner Owner) ShardSet {
	var shards ShardSet
	for shard, s := range a.Shards {
		if slices.ContainsFunc(s.Former, func(former int) bool { return a.Former[former] == owner }) {
			shards = shards.With(shard)
		}
	}
	return shards
}

// WithOwner returns the next generation, in which a daemon owns the given shards too. Owners
// that are left without a shard are removed. granted has the shards whose present owners are
// known to have granted tokens, which proves that their own former owners had stopped.
func (a Assignment) WithOwner(shards ShardSet, owner Owner, granted ShardSet) Assignment {
	next := Assignment{Generation: a.Generation + 1}
	for shard := range ShardCount {
		present, _ := a.Owner(shard)
		former := a.formerOwners(shard)
		if !shards.Has(shard) {
			next.add(present, a.Epoch(shard), former)
			continue
		}
		if granted.Has(shard) {
			former = nil
		}
		next.add(owner, next.Generation, withoutHost(append(withoutHost(former, present.Host), present), owner.Host))
	}
	return next
}

// NewAssignment returns the first generation, in which one daemon owns all shards. former are
// daemons that may still grant tokens.
func NewAssignment(owner Owner, former ...Owner) Assignment {
	return newAssignmentIn(0, owner, former...)
}

// add appends the entry of the next shard to an assignment that is being built.
func (a *Assignment) add(owner Owner, epoch uint64, former []Owner) {
	entry := ShardOwner{Epoch: epoch}
	a.Owners, entry.Owner = indexOwner(a.Owners, owner)
	for _, f := range former {
		var index int
		a.Former, index = indexOwner(a.Former, f)
		entry.Former = append(entry.Former, index)
	}
	a.Shards = append(a.Shards, entry)
}

func (a Assignment) formerOwners(shard int) []Owner {
	if a.Generation == 0 {
		return nil
	}
	var owners []Owner
	for _, former := range a.Shards[shard].Former {
		owners = append(owners, a.Former[former])
	}
	return owners
}

// withoutHost returns the owners on other hosts. The earlier starts of a host's daemon have
// certainly ended.
func withoutHost(owners []Owner, host string) []Owner {
	return slices.DeleteFunc(owners, func(o Owner) bool { return o.Host == host })
}

// indexOwner returns the index of an owner in a list, to which it is added if it is new.
func indexOwner(list []Owner, owner Owner) ([]Owner, int) {
	if i := slices.Index(list, owner); i >= 0 {
		return list, i
	}
	return append(list, owner), len(list)
}
