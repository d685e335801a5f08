package catkinrun

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// View is a service's set of hosts and the version that last changed it.
type View struct {
	Version         Version  `cbor:"version"`
	Hosts           []string `cbor:"hosts"` // sorted names
	PreviousVersion Version  `cbor:"previous-version"`
	Previous        []string `cbor:"previous"` // hosts at PreviousVersion
}

// nextViews dates the views of the services whose hosts the change touches, if their
// hosts or incarnations differ, and keeps the others.
func (s *Snapshot) nextViews(next *Snapshot, c Change) map[string]View {
	views := maps.Clone(s.views)
	touched := touchedServices(s, next, c)
	before := s.hostsByService(touched)
	after := next.hostsByService(touched)
	for service := range touched {
		old := s.views[service]
		if !slices.Equal(before[service], after[service]) {
			views[service] = View{
				Version: next.version, Hosts: names(after[service]),
				PreviousVersion: old.Version, Previous: old.Hosts,
			}
		}
	}
	return views
}

// touchedServices returns the services that the changed hosts serve before or after.
func touchedServices(before, after *Snapshot, c Change) map[string]bool {
	touched := make(map[string]bool)
	for _, m := range c.Mutations {
		for _, s := range []*Snapshot{before, after} {
			if host, ok := s.Host(m.Resource.Name); ok && m.Resource.Kind == KindHost && host.Service != "" {
				touched[host.Service] = true
			}
		}
	}
	return touched
}

type member struct{ name, incarnation string }

// hostsByService returns the hosts of the named services, sorted by name.
func (s *Snapshot) hostsByService(services map[string]bool) map[string][]member {
	hosts := make(map[string][]member)
	for name, r := range s.resources[KindHost] {
		if services[r.Host.Service] {
			hosts[r.Host.Service] = append(hosts[r.Host.Service], member{name, r.Host.Incarnation})
		}
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b member) int { return strings.Compare(a.name, b.name) })
	}
	return hosts
}

func names(members []member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.name)
	}
	return list
}

// Zones returns the sorted names of the zones with hosts.
func (s *Snapshot) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// ZoneHosts returns the sorted names of a zone's hosts. The caller must not change it.
func (s *Snapshot) ZoneHosts(zone string) []string { return s.zones[zone] }

// Ranking returns a zone's hosts in the order in which they distribute the change
// log to each other. The caller must not change it.
func (s *Snapshot) Ranking(zone string) []string { return s.rankings.of(zone, s.zones[zone]) }

// rankings remembers the zones' rankings, which many calls need and few changes move.
type rankings struct {
	mu    sync.Mutex
	zones map[string][]string
}

func (r *rankings) of(zone string, hosts []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ranked, ok := r.zones[zone]
	if !ok {
		ranked = Rendezvous("zone "+zone, hosts)
		r.zones[zone] = ranked
	}
	return ranked
}

func (s *Snapshot) indexZones() {
	s.rankings = &rankings{zones: make(map[string][]string)}
	s.zones = make(map[string][]string)
	for name, r := range s.resources[KindHost] {
		s.zones[r.Host.Zone] = append(s.zones[r.Host.Zone], name)
	}
	for _, hosts := range s.zones {
		slices.Sort(hosts)
	}
}
