package broker

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestShardsMoveBetweenOwners gives all shards to one owner, part of them to another, and
// then all to the second.
func TestShardsMoveBetweenOwners(t *testing.T) {
	is := is.New(t)
	first, second := Owner{Host: "a", Peer: "a:1", Incarnation: "1"}, Owner{Host: "b", Peer: "b:1", Incarnation: "1"}
	all := Assignment{}.WithOwner(allShards, first)
	is.NoErr(all.Validate())
	is.Equal(all.OwnedBy(first), allShards)
	half := all.WithOwner(allShards.first(ShardCount/2), second)
	is.NoErr(half.Validate())
	is.Equal(half.OwnedBy(second).Len(), ShardCount/2)
	is.Equal(half.OwnedBy(first), allShards.Without(half.OwnedBy(second)))
	is.Equal(half.Epoch(0), uint64(2))
	is.Equal(half.Epoch(ShardCount-1), uint64(1)) // a shard that stays keeps its epoch
	last := half.WithOwner(half.OwnedBy(first), second)
	is.Equal(len(last.Owners), 1) // the first owns nothing
	is.Equal(last.Epoch(0), uint64(2))

	raw, err := json.Marshal(last)
	is.NoErr(err)
	var decoded Assignment
	is.NoErr(json.Unmarshal(raw, &decoded))
	is.Equal(decoded, last)
}

func TestInvalidAssignmentIsRefused(t *testing.T) {
	is := is.New(t)
	valid := Assignment{}.WithOwner(allShards, Owner{Host: "a"})
	is.True(Assignment{}.Validate() != nil)
	unknownOwner := Assignment{Generation: 1, Owners: nil, Shards: valid.Shards}
	is.True(unknownOwner.Validate() != nil)
	tooFew := Assignment{Generation: 1, Owners: valid.Owners, Shards: valid.Shards[1:]}
	is.True(tooFew.Validate() != nil)
}
