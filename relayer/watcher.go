package relayer

import (
	"slices"

	"github.com/catkinrun/catkinrun"
)

// watchersFor returns the watchers that a daemon asks in turn: those of its availability zone, and the first one of the
// next zone in order of their names. isWatcher reports whether the daemon is one of its zone's. If there is no
// other zone, its own has a watcher more.
func watchersFor(self catkinrun.Member, members []catkinrun.Member) (watchers []catkinrun.Member, isWatcher bool) {
	next, ok := zoneAfter(self.Zone, members)
	minWatchers := minTurns
	if ok {
		minWatchers--
	}
	watchers = watchersOf(self.Zone, members, minWatchers)
	isWatcher = slices.ContainsFunc(watchers, func(m catkinrun.Member) bool { return m.Host == self.Host })
	if ok {
		watchers = append(watchers, watchersOf(next, members, 1)[0])
	}
	return watchers, isWatcher
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

// watchersOf returns the watchers of an availability zone: at least minWatchers if it has as many members.
func watchersOf(zone string, members []catkinrun.Member, minWatchers int) []catkinrun.Member {
	byHost := make(map[string]catkinrun.Member)
	var hosts []string
	for _, m := range members {
		if m.Zone == zone && !m.Leaving {
			byHost[m.Host] = m
			hosts = append(hosts, m.Host)
		}
	}
	count := min(len(hosts), minWatchers+len(hosts)/hostsPerWatcher)
	watchers := make([]catkinrun.Member, 0, count)
	for _, host := range catkinrun.RendezvousOrder("watchers/"+zone, hosts)[:count] {
		watchers = append(watchers, byHost[host])
	}
	return watchers
}
