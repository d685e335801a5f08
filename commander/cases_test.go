package commander_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/commander"
)

var update = flag.Bool("update", false, "overwrite the expected output of each case with the actual output")

// TestCases runs the command line in each folder's file cmd and compares its output and
// exit status with the file expected.
func TestCases(t *testing.T) {
	t.Setenv("CATKINRUN_STORE", "")
	folders, err := filepath.Glob("testdata/cases/*")
	is.New(t).NoErr(err)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			is := is.New(t)
			command, err := os.ReadFile(filepath.Join(folder, "cmd"))
			is.NoErr(err)
			var out bytes.Buffer
			status := commander.Run(strings.Fields(string(command)), &out, &out)
			got := fmt.Sprintf("%sexit status %d\n", out.String(), status)
			expected := filepath.Join(folder, "expected")
			if *update {
				is.NoErr(os.WriteFile(expected, []byte(got), 0o600))
			}
			want, err := os.ReadFile(expected)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}
