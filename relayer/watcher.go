package relayer

import (
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// maxPeers is the number of other watchers that a watcher knows.
const maxPeers = 3

// watchersFor returns the watchers that a daemon asks, in its order: those of its availability zone, and the first one of
// the next zone in order of their names. isWatcher reports whether the daemon is one of its zone's. If there is no
// other zone, its own has a watcher more.
func watchersFor(self catkinrun.Member, members []catkinrun.Member) (watchers []catkinrun.Member, isWatcher bool) {
	next, ok := zoneAfter(self.Zone, members)
	own := watchersOf(self.Zone, members, leastWatchers(ok))
	isWatcher = slices.ContainsFunc(own, func(m catkinrun.Member) bool { return m.Host == self.Host })
	watchers = inOrder("asked by "+self.Host, own) // the daemons of a zone spread over its watchers
	if ok {
		watchers = append(watchers, watchersOf(next, members, 1)[0])
	}
	return watchers, isWatcher
}

// inOrder returns members in the rendezvous order of a key.
func inOrder(key string, members []catkinrun.Member) []catkinrun.Member {
	byHost := make(map[string]catkinrun.Member, len(members))
	hosts := make([]string, 0, len(members))
	for _, m := range members {
		byHost[m.Host] = m
		hosts = append(hosts, m.Host)
	}
	ordered := make([]catkinrun.Member, 0, len(members))
	for _, host := range catkinrun.RendezvousOrder(key, hosts) {
		ordered = append(ordered, byHost[host])
	}
	return ordered
}

// zoneAfter returns the zone whose name follows that of a zone, or the first one after the last; ok is false if no
// other zone has members.
func zoneAfter(zone string, members []catkinrun.Member) (next string, ok bool) {
	first := ""
	for _, m := range members {
		if m.Leaving || m.Zone == zone {
			continue
		}
		if first == "" || m.Zone < first {
			first = m.Zone
		}
		if m.Zone > zone && (next == "" || m.Zone < next) {
			next = m.Zone
		}
	}
	if next == "" {
		next = first
	}
	return next, next != ""
}

// watchersOf returns the watchers of an availability zone: at least least if it has as many members.
func watchersOf(zone string, members []catkinrun.Member, least int) []catkinrun.Member {
	present := slices.DeleteFunc(slices.Clone(members), func(m catkinrun.Member) bool { return m.Zone != zone || m.Leaving })
	return inOrder("watchers/"+zone, present)[:min(len(present), least+len(present)/hostsPerWatcher)]
}

// peersFor returns the watchers that a watcher exchanges confirmations with, in its order: the first ones of the next zones,
// or the other ones of its zone if there is no other zone.
func peersFor(self catkinrun.Member, members []catkinrun.Member) []catkinrun.Member {
	var peers []catkinrun.Member
	zone := self.Zone
	for len(peers) < maxPeers {
		next, ok := zoneAfter(zone, members)
		if !ok || next == self.Zone {
			break
		}
		peers = append(peers, watchersOf(next, members, 1)[0])
		zone = next
	}
	if len(peers) > 0 {
		return peers
	}
	own := watchersOf(self.Zone, members, minWatchers)
	return slices.DeleteFunc(own, func(m catkinrun.Member) bool { return m.Host == self.Host })
}

// watchOffset returns by how much the watches of a watcher end later than those of the first zone, or of the first
// watcher if there is one zone.
func watchOffset(self catkinrun.Member, members []catkinrun.Member) time.Duration {
	var order []string
	for _, m := range members {
		if !m.Leaving {
			order = append(order, m.Zone)
		}
	}
	place := self.Zone
	slices.Sort(order)
	order = slices.Compact(order)
	if len(order) == 1 {
		order, place = nil, self.Host
		for _, m := range watchersOf(self.Zone, members, minWatchers) {
			order = append(order, m.Host)
		}
	}
	rank := max(0, slices.Index(order, place))
	return confirmInterval * time.Duration(rank) / time.Duration(max(1, len(order)))
}

// standbysOf returns the daemons that watch the store for the others while no watcher has current rows. One serves the
// whole fleet, since a pause of the store looks like the failure of all watchers; a large fleet has more.
func standbysOf(members []catkinrun.Member) []catkinrun.Member {
	present := slices.DeleteFunc(slices.Clone(members), func(m catkinrun.Member) bool { return m.Leaving })
	count := 1 + len(present)/hostsPerWatcher
	watching := watchingHosts(present)
	var standbys []catkinrun.Member
	for _, m := range inOrder("standby", present) {
		if len(standbys) == count {
			break
		}
		if !watching[m.Host] {
			standbys = append(standbys, m)
		}
	}
	return standbys
}

// watchingHosts returns the hosts of all watchers.
func watchingHosts(members []catkinrun.Member) map[string]bool {
	zones := make(map[string][]catkinrun.Member)
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	hosts := make(map[string]bool)
	for zone, list := range zones {
		for _, m := range watchersOf(zone, list, leastWatchers(len(zones) > 1)) {
			hosts[m.Host] = true
		}
	}
	return hosts
}

// leastWatchers returns how many watchers a zone has at least. The daemons of one of several zones know the first watcher
// of the next zone as well.
func leastWatchers(severalZones bool) int {
	if severalZones {
		return minWatchers - 1
	}
	return minWatchers
}
