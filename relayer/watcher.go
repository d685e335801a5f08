package relayer

import (
	"slices"

	"github.com/catkinrun/catkinrun"
)

// watchersFor returns the watchers that a daemon asks, in its order: those of its availability zone, and the first one of
// the next zone in order of their names. isWatcher reports whether the daemon is one of its zone's. If there is no
// other zone, its own has a watcher more.
func watchersFor(self catkinrun.Member, members []catkinrun.Member) (watchers []catkinrun.Member, isWatcher bool) {
	next, ok := zoneAfter(self.Zone, members)
	count := minWatchers
	if ok {
		count--
	}
	own := watchersOf(self.Zone, members, count)
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
