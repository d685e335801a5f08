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
	Owner int    `json:"owner" cbor:"owner"` // index into the owners of the assignment
	Epoch uint64 `json:"epoch" cbor:"epoch"` // generation in which it became the owner
}

// Assignment names the owner of each shard. The zero value assigns none. Values are not
// changed once they are built.
type Assignment struct {
	Generation uint64       `json:"generation" cbor:"generation"` // rises by one with each change
	Owners     []Owner      `json:"owners" cbor:"owners"`
	Shards     []ShardOwner `json:"shards" cbor:"shards"` // by shard
}

// Validate checks a decoded assignment; it fails with *catkinrun.InvalidError.
func (a Assignment) Validate() error {
	if a.Generation == 0 || len(a.Shards) != ShardCount {
		return &catkinrun.InvalidError{Where: "assignment", Field: "shards", Reason: "expected a generation and " + strconv.Itoa(ShardCount) + " shards"}
	}
	for _, s := range a.Shards {
		if s.Owner < 0 || s.Owner >= len(a.Owners) || s.Epoch > a.Generation {
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

// WithOwner returns the next generation, in which a daemon owns the given shards too. Owners
// that are left without a shard are removed.
func (a Assignment) WithOwner(shards ShardSet, owner Owner) Assignment {
	next := Assignment{Generation: a.Generation + 1}
	for shard := range ShardCount {
		shardOwner, epoch := owner, next.Generation
		if !shards.Has(shard) && a.Generation > 0 {
			shardOwner, epoch = a.Owners[a.Shards[shard].Owner], a.Shards[shard].Epoch
		}
		index := slices.Index(next.Owners, shardOwner)
		if index < 0 {
			index = len(next.Owners)
			next.Owners = append(next.Owners, shardOwner)
		}
		next.Shards = append(next.Shards, ShardOwner{Owner: index, Epoch: epoch})
	}
	return next
}
