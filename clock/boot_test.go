package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/clock"
)

// TestBootAdvancesAsSystem compares the two clocks while the host is not suspended.
func TestBootAdvancesAsSystem(t *testing.T) {
	is := is.New(t)
	bootStart := clock.Boot{}.Now()
	systemStart := clock.System{}.Now()
	is.NoErr(clock.Boot{}.Wait(t.Context(), 30*time.Millisecond))
	system := clock.System{}.Now().Sub(systemStart)
	boot := clock.Boot{}.Now().Sub(bootStart)
	is.True(system >= 30*time.Millisecond)
	is.True(boot >= system) // it was read earlier at the start and later at the end
}
