package catkinrun

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

// shardCount is the number of shards over which teams are spread.
const shardCount = 1024

// Owner is the daemon incarnation that brokers a shard's rates. Since is the
// change that made it owner and serves as the epoch of its grants.
type Owner struct {
	Host        string  `cbor:"host"`
	Incarnation string  `cbor:"incarnation"`
	Since       Version `cbor:"since"`
}

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

// Owner returns the owner of a team's rate.
func (s *Snapshot) Owner(team string) Owner {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return s.owners[h.Sum32()%shardCount]
}

// nextOwners names the owners after a roster change. An owner that stays on the
// roster keeps its shards unless a new host has a higher weight.
func (s *Snapshot) nextOwners(next *Snapshot) []Owner {
	if next.rosterVersion != next.version {
		return s.owners
	}
	added := next.addedHosts(s)
	owners := make([]Owner, shardCount)
	for shard, owner := range s.owners {
		owners[shard] = next.nextOwner(shard, owner, added)
	}
	return owners
}

func (s *Snapshot) addedHosts(before *Snapshot) []string {
	var added []string
	for name, r := range s.resources[KindHost] {
		if old, ok := before.Host(name); !ok || old.Incarnation != r.Host.Incarnation {
			added = append(added, name)
		}
	}
	return added
}

func (s *Snapshot) nextOwner(shard int, owner Owner, added []string) Owner {
	entry, ok := s.Host(owner.Host)
	candidates := added
	if ok && entry.Incarnation == owner.Incarnation {
		candidates = append(slices.Clone(added), owner.Host)
	} else {
		candidates = s.hostNames()
	}
	best := s.heaviest("shard "+strconv.Itoa(shard), candidates)
	if best == owner.Host && ok && entry.Incarnation == owner.Incarnation {
		return owner
	}
	if best == "" {
		return Owner{}
	}
	host, _ := s.Host(best)
	return Owner{Host: best, Incarnation: host.Incarnation, Since: s.version}
}

func (s *Snapshot) heaviest(key string, hosts []string) string {
	best := ""
	var most uint64
	for _, host := range hosts {
		w := weight(key, host)
		if best == "" || w > most || w == most && host < best {
			best, most = host, w
		}
	}
	return best
}

func (s *Snapshot) hostNames() []string {
	list := make([]string, 0, len(s.resources[KindHost]))
	for name := range s.resources[KindHost] {
		list = append(list, name)
	}
	return list
}
