package declarer_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/declarer"
)

const declaredRoute = `kind: route
name: r
route: {domain: h, prefix: /a/, targets: [{service: s, weight: 1}], priority: 1, timeout: 2s, objective: 1s, attempts: 2`

func readText(t *testing.T, text string) ([]catkinrun.Resource, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "routes.yaml")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	return declarer.Read(file)
}

// TestKindOfRequestsSurvivesDeclarations applies a route whose stored kind of requests is
// unknown, and one that is changed to uploads.
func TestKindOfRequestsSurvivesDeclarations(t *testing.T) {
	is := is.New(t)
	declared, err := readText(t, declaredRoute+"}\n")
	is.NoErr(err)
	stored := declared[0]
	route := *declared[0].Route
	route.UnknownKind = "stream"
	stored.Route = &route
	result, changes := declarer.Plan(declared, []catkinrun.Resource{stored}, false)
	is.Equal(len(changes), 0) // the declaration says nothing about the unknown kind
	is.Equal(result[0].Route.UnknownKind, "stream")

	declared, err = readText(t, declaredRoute+", upload: true}\n")
	is.NoErr(err)
	result, changes = declarer.Plan(declared, []catkinrun.Resource{stored}, false)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].String(), `~ route r h/a/ to [{s 1}], priority 1, unknown kind "stream", treated as not idempotent -> h/a/ to [{s 1}], priority 1, upload`)
	is.Equal(result[0].Route.UnknownKind, "")
}

// TestInvalidKindsAreRefused declares kinds of requests that contradict each other or cannot
// be declared.
func TestInvalidKindsAreRefused(t *testing.T) {
	for _, fields := range []string{", upload: true, idempotent: true}", ", unknown-kind: stream}", ", kind: stream}"} {
		_, err := readText(t, declaredRoute+fields+"\n")
		var fileErr *declarer.FileError
		is.New(t).True(errors.As(err, &fileErr))
	}
}
