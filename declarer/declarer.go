// Package declarer reads declared resources from YAML files, which operators keep in
// version control, and plans the changes that applying them makes.
package declarer

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun"
)

// FileError reports a file that cannot be read or parsed, or an invalid declaration in it.
type FileError struct {
	File  string
	Line  int // first line of the YAML document, 0 if the file could not be read or parsed
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
	slices.SortStableFunc(all, compareResources)
	return all, nil
}

func compareResources(a, b catkinrun.Resource) int {
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
		if err := validate(r, file, declared); err != nil {
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

func validate(r catkinrun.Resource, file string, declared map[string]string) error {
	if err := r.Validate(); err != nil {
		return err
	}
	if r.Route != nil && r.Route.UnknownKind != "" {
		return &catkinrun.InvalidError{
			Where: "route " + r.Name, Field: "unknown-kind", Reason: "cannot be declared; leave it out to keep the stored kind",
		}
	}
	id := string(r.Kind) + "/" + r.Name
	if other, ok := declared[id]; ok {
		return &DuplicateError{Kind: r.Kind, Name: r.Name, Other: other}
	}
	declared[id] = file
	return nil
}

// Change is the change of one resource when declared resources are applied.
type Change struct {
	Before, After *catkinrun.Resource // Before is nil for a new resource, After for a deleted one
}

// Plan returns the resources that result from applying the declared ones, and the
// changes. Teams keep their issued keys. With prune, resources that are not declared are
// deleted.
func Plan(declared, current []catkinrun.Resource, prune bool) ([]catkinrun.Resource, []Change) {
	var result []catkinrun.Resource
	var changes []Change
	for _, resource := range declared {
		existing := find(current, resource)
		switch {
		case existing == nil:
		case existing.Team != nil:
			resource = withKeys(resource, existing.Team.Keys)
		case existing.Route != nil:
			resource = withUnknownKind(resource, existing.Route.UnknownKind)
		}
		result = append(result, resource)
		if existing == nil || !reflect.DeepEqual(resource, *existing) {
			changes = append(changes, Change{Before: existing, After: &resource})
		}
	}
	for _, existing := range current {
		if find(declared, existing) != nil {
			continue
		}
		if !prune {
			result = append(result, existing)
			continue
		}
		changes = append(changes, Change{Before: &existing})
	}
	return result, changes
}

// withKeys returns a copy of a team resource with the issued keys added to the declared
// ones.
func withKeys(r catkinrun.Resource, issued []string) catkinrun.Resource {
	team := *r.Team
	team.Keys = slices.Clone(team.Keys)
	for _, key := range issued {
		if !slices.Contains(team.Keys, key) {
			team.Keys = append(team.Keys, key)
		}
	}
	r.Team = &team
	return r
}

// withUnknownKind returns a copy of a route with its stored kind if that is unknown and the
// declaration does not replace it.
func withUnknownKind(r catkinrun.Resource, kind string) catkinrun.Resource {
	route := *r.Route
	if !route.Idempotent && !route.Upload {
		route.UnknownKind = kind
	}
	r.Route = &route
	return r
}

func find(list []catkinrun.Resource, r catkinrun.Resource) *catkinrun.Resource {
	for i, other := range list {
		if other.Kind == r.Kind && other.Name == r.Name {
			return &list[i]
		}
	}
	return nil
}

// String describes the change in one line, and warns that the keys of a deleted team stop
// working.
func (c Change) String() string {
	switch {
	case c.After == nil && c.Before.Team != nil:
		return "- " + label(c.Before) + " (its keys stop working)"
	case c.After == nil:
		return "- " + label(c.Before)
	case c.Before == nil:
		return "+ " + label(c.After) + summary(c.After)
	}
	return "~ " + label(c.After) + summary(c.Before) + " ->" + summary(c.After)
}

func label(r *catkinrun.Resource) string { return string(r.Kind) + " " + r.Name }

func summary(r *catkinrun.Resource) string {
	switch {
	case r.Team != nil:
		return fmt.Sprintf(" rate %g burst %g keys %d", r.Team.Rate, r.Team.Burst, len(r.Team.Keys))
	case r.Route != nil:
		return fmt.Sprintf(" %s%s to %v, priority %d, %s", r.Route.Domain, r.Route.Prefix, r.Route.Targets, r.Route.Priority, requestKind(r.Route))
	case r.Service != nil:
		return fmt.Sprintf(" health %s connections %d", r.Service.Health, r.Service.MaxConnections)
	}
	return ""
}

// requestKind describes how the requests of a route may be repeated.
func requestKind(r *catkinrun.Route) string {
	switch {
	case r.Idempotent:
		return "idempotent"
	case r.Upload:
		return "upload"
	case r.UnknownKind != "":
		return fmt.Sprintf("unknown kind %q, treated as not idempotent", r.UnknownKind)
	}
	return "not idempotent"
}
