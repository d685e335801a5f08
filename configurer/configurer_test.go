package configurer_test

import (
	"flag"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/configurer"
)

// A fixed seed makes test runs reproducible; -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func newConfigurer() *configurer.Configurer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return configurer.New(clock.NewFake(), log)
}

// TestVersionNeverDecreases applies versions in any order, as they arrive from the store and
// from daemons with older configurations.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newConfigurer()
		highest := catkinrun.Version(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 40)).Draw(t, "versions") {
			version := catkinrun.Version(v)
			applied, err := c.Apply(catkinrun.SnapshotData{Version: version}, "test")
			if err != nil || applied != (version > highest) {
				t.Fatalf("version %d after %d: applied %t, %v", version, highest, applied, err)
			}
			highest = max(highest, version)
			if c.Snapshot().Version() != highest {
				t.Fatalf("version %d in force after %d", c.Snapshot().Version(), highest)
			}
		}
	})
}

func TestInvalidConfigurationIsNotApplied(t *testing.T) {
	is := is.New(t)
	c := newConfigurer()
	_, err := c.Apply(catkinrun.SnapshotData{Version: 1}, "test")
	is.NoErr(err)
	invalid := catkinrun.Resource{Kind: catkinrun.KindRoute, Name: "r", Route: &catkinrun.Route{}}
	_, err = c.Apply(catkinrun.SnapshotData{Version: 2, Resources: []catkinrun.Resource{invalid}}, "test")
	is.True(err != nil)
	is.Equal(c.Snapshot().Version(), catkinrun.Version(1))
}
