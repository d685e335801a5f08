package replicator

import (
	"slices"

	"github.com/catkinrun/catkinrun"
)

const (
	// rootCount is the number of hosts per zone that read the store.
	rootCount = 2
	// fanOut is the number of hosts that pull from one host.
	fanOut = 8
)

// Tree is a host's place in the distribution of configuration.
type Tree struct {
	Root    bool     // reads the store
	Parents []string // hosts to pull from, the preferred ones first
	Remotes []string // roots of other zones, which a root pulls from
}

// Place returns a host's place in the tree of its zone.
func Place(s *catkinrun.Snapshot, name, zone string) Tree {
	ranks := s.Ranking(zone)
	rank := slices.Index(ranks, name)
	tree := Tree{Root: rank >= 0 && rank < rootCount}
	for i, host := range ranks {
		if i < rootCount && host != name {
			tree.Parents = append(tree.Parents, host)
		}
	}
	if rank >= rootCount {
		parent := ranks[(rank-rootCount)/fanOut]
		tree.Parents = slices.DeleteFunc(tree.Parents, func(p string) bool { return p == parent })
		tree.Parents = slices.Insert(tree.Parents, 0, parent)
	}
	tree.Remotes = remoteRoots(s, zone)
	return tree
}

// remoteRoots returns the roots of the other zones, first roots first.
func remoteRoots(s *catkinrun.Snapshot, zone string) []string {
	var first, second []string
	for _, other := range s.Zones() {
		if other == zone {
			continue
		}
		ranks := s.Ranking(other)
		first = append(first, ranks[0])
		if len(ranks) > 1 {
			second = append(second, ranks[1])
		}
	}
	return append(first, second...)
}
