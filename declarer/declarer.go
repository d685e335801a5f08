// Package declarer reads declared resources from YAML files, as they are kept in
// version control, and finds what a change must do to bring them into force.
package declarer

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun"
)

// FileError reports a declaration that cannot be used.
type FileError struct {
	File  string
	Line  int // of the document's start
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// DuplicateError reports a resource that is declared twice.
type DuplicateError struct {
	Kind  catkinrun.Kind
	Name  string
	Other string // file of the first declaration
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s %q is declared in %s already", e.Kind, e.Name, e.Other)
}

// Read returns the resources declared in the YAML files of a directory, or in one
// file, sorted by kind and name. It fails with *FileError.
func Read(path string) ([]catkinrun.Resource, error) {
	files, err := yamlFiles(path)
	if err != nil {
		return nil, &FileError{File: path, Cause: err}
	}
	var all []catkinrun.Resource
	declared := make(map[string]string)
	for _, file := range files {
		resources, err := readFile(file, declared)
		if err != nil {
			return nil, err
		}
		all = append(all, resources...)
	}
	if err := checkTeams(path, all); err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, compare)
	return all, nil
}

func compare(a, b catkinrun.Resource) int {
	byKind := slices.Index(catkinrun.Kinds, a.Kind) - slices.Index(catkinrun.Kinds, b.Kind)
	if byKind != 0 {
		return byKind
	}
	return strings.Compare(a.Name, b.Name)
}

func yamlFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	return filepath.Glob(filepath.Join(path, "*.yaml"))
}

func readFile(file string, declared map[string]string) ([]catkinrun.Resource, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	var resources []catkinrun.Resource
	nodes := yaml.NewDecoder(bytes.NewReader(raw))
	strict := yaml.NewDecoder(bytes.NewReader(raw))
	strict.KnownFields(true)
	for {
		var node yaml.Node
		if err := nodes.Decode(&node); errors.Is(err, io.EOF) {
			return resources, nil
		} else if err != nil {
			return nil, &FileError{File: file, Cause: err}
		}
		var r catkinrun.Resource
		if err := strict.Decode(&r); err != nil {
			return nil, &FileError{File: file, Line: firstLine(&node), Cause: err}
		}
		if err := check(r, file, declared); err != nil {
			return nil, &FileError{File: file, Line: firstLine(&node), Cause: err}
		}
		resources = append(resources, r)
	}
}

func firstLine(node *yaml.Node) int {
	if len(node.Content) > 0 {
		return node.Content[0].Line
	}
	return node.Line
}

func check(r catkinrun.Resource, file string, declared map[string]string) error {
	if r.Kind == catkinrun.KindHost {
		return &catkinrun.InvalidError{Where: "host " + r.Name, Field: "kind", Reason: "hosts join by themselves"}
	}
	if err := r.Validate(); err != nil {
		return err
	}
	id := string(r.Kind) + "/" + r.Name
	if other, ok := declared[id]; ok {
		return &DuplicateError{Kind: r.Kind, Name: r.Name, Other: other}
	}
	declared[id] = file
	return nil
}

// checkTeams checks that each declared key's team is declared with it.
func checkTeams(path string, all []catkinrun.Resource) error {
	for _, r := range all {
		if r.Kind != catkinrun.KindKey {
			continue
		}
		known := slices.ContainsFunc(all, func(t catkinrun.Resource) bool {
			return t.Kind == catkinrun.KindTeam && t.Name == r.Key.Team
		})
		if !known {
			return &FileError{File: path, Cause: &catkinrun.NotFoundError{Kind: "team", Name: r.Key.Team}}
		}
	}
	return nil
}

// Plan returns the mutations that bring the declared resources into force. With
// prune, resources of the declared kinds that are not declared are deleted; keys
// are only ever deleted by name, since they are issued, not declared.
func Plan(declared, current []catkinrun.Resource, prune bool) []catkinrun.Mutation {
	var mutations []catkinrun.Mutation
	for _, want := range declared {
		have := find(current, want)
		if !same(want, have) {
			mutations = append(mutations, catkinrun.Mutation{Replace: have.Version, Resource: want})
		}
	}
	if !prune {
		return mutations
	}
	for _, have := range current {
		prunable := have.Kind == catkinrun.KindTeam || have.Kind == catkinrun.KindRoute
		if prunable && find(declared, have).Name == "" {
			mutations = append(mutations, catkinrun.Mutation{Replace: have.Version, Delete: true, Resource: have})
		}
	}
	return mutations
}

func find(list []catkinrun.Resource, r catkinrun.Resource) catkinrun.Resource {
	for _, other := range list {
		if other.Kind == r.Kind && other.Name == r.Name {
			return other
		}
	}
	return catkinrun.Resource{}
}

// same compares what is declared; version and actor are not.
func same(a, b catkinrun.Resource) bool {
	switch {
	case a.Team != nil && b.Team != nil:
		return *a.Team == *b.Team
	case a.Key != nil && b.Key != nil:
		return *a.Key == *b.Key
	case a.Route != nil && b.Route != nil:
		return *a.Route == *b.Route
	}
	return false
}

// Describe says in one line what a mutation does, and warns of what it takes away.
func Describe(m catkinrun.Mutation, current []catkinrun.Resource) string {
	r := m.Resource
	have := find(current, r)
	label := fmt.Sprintf("%s %s", r.Kind, r.Name)
	switch {
	case m.Delete && r.Kind == catkinrun.KindTeam:
		return "- " + label + " (its keys stop working)"
	case m.Delete:
		return "- " + label
	case have.Name == "":
		return "+ " + label + spec(r)
	case r.Kind == catkinrun.KindTeam && r.Team.Rate < have.Team.Rate:
		return fmt.Sprintf("~ %s rate falls from %g to %g", label, have.Team.Rate, r.Team.Rate)
	}
	return "~ " + label + spec(have) + " ->" + spec(r)
}

func spec(r catkinrun.Resource) string {
	switch {
	case r.Team != nil:
		return fmt.Sprintf(" rate %g burst %g", r.Team.Rate, r.Team.Burst)
	case r.Key != nil:
		return fmt.Sprintf(" of %s withdrawn %t", r.Key.Team, r.Key.Withdrawn)
	case r.Route != nil:
		return fmt.Sprintf(" %s %s to %s, %s", r.Route.Method, r.Route.Path, r.Route.Service, r.Route.Priority)
	}
	return ""
}
