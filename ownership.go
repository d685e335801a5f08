package catkinrun

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rendezvous orders hosts for a key by highest random weight, so that a lost
// host moves only the keys that it came first for.
func Rendezvous(key string, hosts []string) []string {
	type scored struct {
		host  string
		score uint64
	}
	list := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		list = append(list, scored{host, weight(key, host)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	ordered := make([]string, 0, len(list))
	for _, s := range list {
		ordered = append(ordered, s.host)
	}
	return ordered
}

// weight mixes a key and a host into an evenly spread number.
func weight(key, host string) uint64 {
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
