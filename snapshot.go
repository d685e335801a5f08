package catkinrun

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is the whole declared configuration at one version. It is immutable;
// With returns the next one.
type Snapshot struct {
	version        Version
	resources      map[Kind]map[string]Resource
	keysByHash     map[string]string
	routes         []Resource // longest path first
	rosterVersion  Version
	previousRoster map[string]string // votes before the last roster change
	views          map[string]View
	zones          map[string][]string // host names by zone, sorted
	rankings       *rankings
	owners         []Owner // by shard
}

// SnapshotData is the form of a snapshot in the object store and between daemons.
type SnapshotData struct {
	Version        Version           `cbor:"version"`
	Resources      []Resource        `cbor:"resources"`
	RosterVersion  Version           `cbor:"roster-version"`
	PreviousRoster map[string]string `cbor:"previous-roster"`
	Views          map[string]View   `cbor:"views"`
	Owners         []Owner           `cbor:"owners"`
}

// NewSnapshot returns the empty configuration at version 0.
func NewSnapshot() *Snapshot {
	s := &Snapshot{
		resources:  make(map[Kind]map[string]Resource),
		keysByHash: make(map[string]string),
		views:      make(map[string]View),
		owners:     make([]Owner, shardCount),
		rankings:   &rankings{zones: make(map[string][]string)},
	}
	for _, kind := range Kinds {
		s.resources[kind] = make(map[string]Resource)
	}
	return s
}

// LoadSnapshot rebuilds a snapshot from its data; it fails with *InvalidError.
func LoadSnapshot(d SnapshotData) (*Snapshot, error) {
	s := NewSnapshot()
	for _, r := range d.Resources {
		if err := r.Validate(); err != nil {
			return nil, err
		}
		s.resources[r.Kind][r.Name] = r
	}
	s.version = d.Version
	s.rosterVersion = d.RosterVersion
	s.previousRoster = d.PreviousRoster
	if d.Views != nil {
		s.views = d.Views
	}
	if len(d.Owners) == shardCount {
		s.owners = d.Owners
	}
	s.index()
	s.indexZones()
	return s, nil
}

// Data returns the snapshot's form for storing and sending.
func (s *Snapshot) Data() SnapshotData {
	d := SnapshotData{
		Version:        s.version,
		RosterVersion:  s.rosterVersion,
		PreviousRoster: s.previousRoster,
		Views:          s.views,
		Owners:         s.owners,
	}
	for _, kind := range Kinds {
		d.Resources = append(d.Resources, s.List(kind)...)
	}
	return d
}

// Version returns the version of the last change in the snapshot.
func (s *Snapshot) Version() Version { return s.version }

// RosterVersion returns the version of the last change of votes.
func (s *Snapshot) RosterVersion() Version { return s.rosterVersion }

// Get returns a resource by kind and name.
func (s *Snapshot) Get(kind Kind, name string) (Resource, bool) {
	r, ok := s.resources[kind][name]
	return r, ok
}

// List returns the resources of a kind, sorted by name.
func (s *Snapshot) List(kind Kind) []Resource {
	names := slices.Sorted(maps.Keys(s.resources[kind]))
	list := make([]Resource, 0, len(names))
	for _, name := range names {
		list = append(list, s.resources[kind][name])
	}
	return list
}

// Count returns the number of resources of a kind.
func (s *Snapshot) Count(kind Kind) int { return len(s.resources[kind]) }

// KeyByHash returns the key with the hash of a secret.
func (s *Snapshot) KeyByHash(hash string) (Resource, bool) {
	name, ok := s.keysByHash[hash]
	if !ok {
		return Resource{}, false
	}
	return s.resources[KindKey][name], true
}

// Match returns the route of a request; the longest path wins.
func (s *Snapshot) Match(method, path string) (Resource, bool) {
	for _, r := range s.routes {
		if r.Route.Method == method && pathMatches(r.Route.Path, path) {
			return r, true
		}
	}
	return Resource{}, false
}

func pathMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Roster returns the votes: host name to incarnation.
func (s *Snapshot) Roster() map[string]string {
	roster := make(map[string]string, len(s.resources[KindHost]))
	for name, r := range s.resources[KindHost] {
		roster[name] = r.Host.Incarnation
	}
	return roster
}

// PreviousRoster returns the votes before the last roster change.
func (s *Snapshot) PreviousRoster() map[string]string { return s.previousRoster }

// View returns the hosts of a service.
func (s *Snapshot) View(service string) View { return s.views[service] }

// Host returns a roster entry.
func (s *Snapshot) Host(name string) (Host, bool) {
	r, ok := s.resources[KindHost][name]
	if !ok {
		return Host{}, false
	}
	return *r.Host, true
}

// ChangesVotes reports whether the change adds, removes or replaces a vote.
func (s *Snapshot) ChangesVotes(c Change) bool {
	for _, m := range c.Mutations {
		if m.Resource.Kind != KindHost {
			continue
		}
		old, ok := s.Host(m.Resource.Name)
		if m.Delete || !ok || old.Incarnation != m.Resource.Host.Incarnation {
			return true
		}
	}
	return false
}

// Check reports the first mutation that does not apply, as *ConflictError or
// *InvalidError.
func (s *Snapshot) Check(c Change) error {
	for _, m := range c.Mutations {
		current := s.resources[m.Resource.Kind][m.Resource.Name]
		if current.Version != m.Replace {
			return &ConflictError{
				Kind: m.Resource.Kind, Name: m.Resource.Name,
				Replace: m.Replace, Current: current.Version, Actor: current.Actor,
			}
		}
		if err := s.checkReferences(c, m); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) checkReferences(c Change, m Mutation) error {
	if m.Delete || m.Resource.Kind != KindKey {
		return nil
	}
	team := m.Resource.Key.Team
	if _, ok := s.resources[KindTeam][team]; ok || c.writes(KindTeam, team) {
		return nil
	}
	return m.Resource.invalid("team", "team "+team+" is not declared")
}

func (c Change) writes(kind Kind, name string) bool {
	return slices.ContainsFunc(c.Mutations, func(m Mutation) bool {
		return !m.Delete && m.Resource.Kind == kind && m.Resource.Name == name
	})
}

// With returns the snapshot after the next change of the log. It panics if the
// change is not the next one, since a daemon never goes back or skips a version.
func (s *Snapshot) With(c Change) *Snapshot {
	if c.Version != s.version+1 {
		panic("catkinrun: change out of order")
	}
	next := *s
	next.version = c.Version
	next.resources = maps.Clone(s.resources)
	if s.ChangesVotes(c) {
		next.previousRoster = s.Roster()
		next.rosterVersion = c.Version
	}
	touched := make(map[Kind]bool)
	for _, m := range c.Mutations {
		kind := m.Resource.Kind
		if !touched[kind] {
			next.resources[kind] = maps.Clone(s.resources[kind])
			touched[kind] = true
		}
		next.apply(c, m)
	}
	if touched[KindKey] || touched[KindRoute] {
		next.index()
	}
	if touched[KindHost] {
		next.views = s.nextViews(&next, c)
		next.owners = s.nextOwners(&next)
		next.indexZones()
	}
	return &next
}

func (s *Snapshot) apply(c Change, m Mutation) {
	if m.Delete {
		delete(s.resources[m.Resource.Kind], m.Resource.Name)
		return
	}
	r := m.Resource
	r.Version = c.Version
	r.Actor = c.Actor
	s.resources[r.Kind][r.Name] = r
}

func (s *Snapshot) index() {
	s.keysByHash = make(map[string]string, len(s.resources[KindKey]))
	for name, r := range s.resources[KindKey] {
		s.keysByHash[r.Key.Hash] = name
	}
	s.routes = s.List(KindRoute)
	slices.SortStableFunc(s.routes, func(a, b Resource) int {
		return len(b.Route.Path) - len(a.Route.Path)
	})
}
