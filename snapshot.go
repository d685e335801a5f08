package catkinrun

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
)

// Snapshot is one complete configuration. It is immutable.
type Snapshot struct {
	version   Version
	resources []Resource
	teams     map[string]*Team
	services  map[string]*Service
	domains   map[string][]*Resource // routes by domain, longest prefix first
	keys      map[string]string      // team by key
	limits    Limits
}

// SnapshotData is the serializable form of a snapshot, which daemons exchange.
type SnapshotData struct {
	Version   Version    `cbor:"version"`
	Resources []Resource `cbor:"resources"`
}

// Validate checks decoded data; it fails with *InvalidError.
func (d SnapshotData) Validate() error {
	if d.Version == 0 {
		return &InvalidError{Where: "configuration", Field: "version", Reason: "expected at least 1"}
	}
	seen := make(map[string]bool, len(d.Resources))
	for _, r := range d.Resources {
		if err := r.Validate(); err != nil {
			return err
		}
		id := string(r.Kind) + "/" + r.Name
		if seen[id] {
			return r.invalid("name", "declared twice")
		}
		seen[id] = true
	}
	return nil
}

// NewSnapshot indexes a configuration; it fails with *InvalidError.
func NewSnapshot(d SnapshotData) (*Snapshot, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	s := EmptySnapshot()
	s.version = d.Version
	s.resources = d.Resources
	for i := range d.Resources {
		s.index(&d.Resources[i])
	}
	for _, routes := range s.domains {
		slices.SortFunc(routes, func(a, b *Resource) int {
			return cmp.Or(len(b.Route.Prefix)-len(a.Route.Prefix), strings.Compare(a.Name, b.Name))
		})
	}
	return s, nil
}

// EmptySnapshot returns the configuration of a daemon that has received none; its version
// is 0.
func EmptySnapshot() *Snapshot {
	return &Snapshot{
		teams: make(map[string]*Team), services: make(map[string]*Service),
		domains: make(map[string][]*Resource), keys: make(map[string]string),
	}
}

func (s *Snapshot) index(r *Resource) {
	switch r.Kind {
	case KindTeam:
		s.teams[r.Name] = r.Team
		for _, key := range r.Team.Keys {
			s.keys[key] = r.Name
		}
	case KindService:
		s.services[r.Name] = r.Service
	case KindRoute:
		domain := strings.ToLower(r.Route.Domain)
		s.domains[domain] = append(s.domains[domain], r)
	case KindLimits:
		s.limits = *r.Limits
	}
}

// Data returns the snapshot in its serializable form.
func (s *Snapshot) Data() SnapshotData {
	return SnapshotData{Version: s.version, Resources: s.resources}
}

// Version returns the configuration's version, 0 if none has been received.
func (s *Snapshot) Version() Version { return s.version }

// Team returns a team by name.
func (s *Snapshot) Team(name string) (Team, bool) {
	team, ok := s.teams[name]
	if !ok {
		return Team{}, false
	}
	return *team, true
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	if !ok {
		return Service{}, false
	}
	return *service, true
}

// TeamOfKey returns the name of the team that holds a key.
func (s *Snapshot) TeamOfKey(key string) (string, bool) {
	team, ok := s.keys[key]
	return team, ok
}

// HasKeyHash reports whether a team holds a key for which HashKey returns the hash.
func (s *Snapshot) HasKeyHash(team string, hash uint64) bool {
	t, ok := s.teams[team]
	return ok && slices.ContainsFunc(t.Keys, func(key string) bool { return HashKey(key) == hash })
}

// HashKey returns the hash that identifies a key in an envelope, so that the envelope does
// not contain the key itself.
func HashKey(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

// HasTeams reports whether any team is declared; without teams no request needs a key.
func (s *Snapshot) HasTeams() bool { return len(s.teams) > 0 }

// Limits returns the limits on what callers may send; for a zero value, the daemon's default
// applies.
func (s *Snapshot) Limits() Limits { return s.limits }

// Match returns the route of a request: among the domain's routes whose prefix the path
// begins with, the one with the longest prefix.
func (s *Snapshot) Match(domain, path string) (*Resource, bool) {
	routes, ok := s.domains[domain]
	if !ok {
		routes = s.domains[strings.ToLower(withoutPort(domain))]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Route.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func withoutPort(domain string) string {
	host, _, _ := strings.Cut(domain, ":")
	return host
}
