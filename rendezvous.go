package catkinrun

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// RendezvousOrder returns the hosts ordered for a key by rendezvous hashing (highest random
// weight), so that the loss of a host moves only the keys for which it came first.
func RendezvousOrder(key string, hosts []string) []string {
	type weightedHost struct {
		host   string
		weight uint64
	}
	weighted := make([]weightedHost, 0, len(hosts))
	for _, host := range hosts {
		weighted = append(weighted, weightedHost{host, hashWeight(key, host)})
	}
	slices.SortFunc(weighted, func(a, b weightedHost) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	ordered := make([]string, 0, len(weighted))
	for _, w := range weighted {
		ordered = append(ordered, w.host)
	}
	return ordered
}

// hashWeight returns the weight of a host for a key: their FNV-1a hash, evenly spread by
// the finalizer of MurmurHash3.
func hashWeight(key, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
