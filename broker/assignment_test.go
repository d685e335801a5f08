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
	all := NewAssignment(first)
	is.NoErr(all.Validate())
	is.Equal(all.OwnedBy(first), allShards)
	half := all.WithOwner(allShards.first(ShardCount/2), second, 0)
	is.NoErr(half.Validate())
	is.Equal(half.OwnedBy(second).Len(), ShardCount/2)
	is.Equal(half.OwnedBy(first), allShards.Without(half.OwnedBy(second)))
	is.Equal(half.Epoch(0), uint64(2))
	is.Equal(half.Epoch(ShardCount-1), uint64(1)) // a shard that stays keeps its epoch
	last := half.WithOwner(half.OwnedBy(first), second, 0)
	is.Equal(len(last.Owners), 1) // the first owns nothing
	is.Equal(last.Epoch(0), uint64(2))

	raw, err := json.Marshal(last)
	is.NoErr(err)
	var decoded Assignment
	is.NoErr(json.Unmarshal(raw, &decoded))
	is.Equal(decoded, last)
}

// TestFormerOwnersAreNamedUntilOneHasGranted passes a shard on several times. Owners that may
// still grant tokens stay named, but not the earlier starts of a daemon that was started again.
func TestFormerOwnersAreNamedUntilOneHasGranted(t *testing.T) {
	is := is.New(t)
	a, b, c := Owner{Host: "a", Incarnation: "1"}, Owner{Host: "b", Incarnation: "1"}, Owner{Host: "c", Incarnation: "1"}
	restarted := Owner{Host: "b", Incarnation: "2"}
	second := NewAssignment(a).WithOwner(allShards, b, 0)
	is.Equal(second.Former, []Owner{a})
	is.Equal(second.WithOwner(allShards, c, 0).Former, []Owner{a, b})
	is.Equal(second.WithOwner(allShards, c, allShards).Former, []Owner{b}) // b granted tokens: a had stopped
	third := second.WithOwner(allShards, restarted, 0)
	is.Equal(third.Former, []Owner{a}) // the earlier start of b has ended
	is.Equal(third.FormerOf(a), allShards)
	is.Equal(third.WithOwner(allShards.first(1), c, 0).FormerOf(restarted), allShards.first(1))
	is.NoErr(third.WithOwner(allShards.first(1), c, 0).Validate())
}

func TestInvalidAssignmentIsRefused(t *testing.T) {
	is := is.New(t)
	valid := NewAssignment(Owner{Host: "a"})
	is.True(Assignment{}.Validate() != nil)
	unknownOwner := Assignment{Generation: 1, Owners: nil, Shards: valid.Shards}
	is.True(unknownOwner.Validate() != nil)
	unknownFormer := NewAssignment(Owner{Host: "a"}, Owner{Host: "b"})
	unknownFormer.Former = nil
	is.True(unknownFormer.Validate() != nil)
	tooFew := Assignment{Generation: 1, Owners: valid.Owners, Shards: valid.Shards[1:]}
	is.True(tooFew.Validate() != nil)
}
