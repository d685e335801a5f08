package relayer_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/follower"
)

// inForce is the time in which a change must have reached all daemons that reach the store.
const inForce = 2 * time.Second

// failures are what may happen to a watcher, by name.
var failures = map[string]func(f *fleet, host string){
	"cut off":       func(f *fleet, host string) { f.store.fallSilent(host) },
	"refused":       func(f *fleet, host string) { f.store.fail(host) },
	"frozen":        func(f *fleet, host string) { f.daemons[host].frozen.Store(true) },
	"slow to reply": func(f *fleet, host string) { f.daemons[host].slow.Store(true) },
}

// watchersOfZones returns the watchers of the first zones, whose names are as long as their number.
func (f *fleet) watchersOfZones(count int) []string {
	zones := make(map[string]string)
	for _, m := range f.members {
		zones[m.Host] = m.Zone
	}
	return slices.DeleteFunc(f.watchers(), func(host string) bool { return len(zones[host]) > count })
}

// TestChangeIsInForceInTimeWhileTheWatchersAreBlind has the watchers of one, two or all zones fail at a moment of
// their watches, and changes a table then or later. "No changes" was passed on as news by watchers that had heard nothing
// of the store for up to 2.5 s, or 26.5 s for the table with long watches.
func TestChangeIsInForceInTimeWhileTheWatchersAreBlind(t *testing.T) {
	for name, fail := range failures {
		for _, failing := range []struct {
			zones []string
			count int // of zones whose watchers fail
		}{
			{[]string{"z"}, 1},
			{[]string{"z", "zz"}, 2},
			{[]string{"z", "zz", "zzz"}, 1},
			{[]string{"z", "zz", "zzz"}, 2},
			{[]string{"z", "zz", "zzz"}, 3},
		} {
			for _, table := range []string{promptName, tableName} {
				t.Run(fmt.Sprint(name, ", ", failing.count, " of ", len(failing.zones), " zones, ", table), func(t *testing.T) {
					for moment := 50 * time.Millisecond; moment < follower.PromptWait; moment += 300 * time.Millisecond {
						for _, later := range []time.Duration{0, 700 * time.Millisecond, 2200 * time.Millisecond} {
							playBlind(t, fail, failing.zones, failing.count, table, moment, later)
						}
					}
				})
			}
		}
	}
}

// playBlind has the watchers of the first zones fail at a moment of their watches, which begin together, and writes a
// change later.
func playBlind(t *testing.T, fail func(*fleet, string), zones []string, failing int, table string, moment, later time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, zones...)
		watchers := f.watchersOfZones(failing)
		f.store.write(promptName)
		time.Sleep(3*follower.PromptWait + moment)
		for _, host := range watchers {
			fail(f, host)
		}
		time.Sleep(later)
		if slowest := f.slowest(t, table); slowest >= inForce {
			t.Errorf("watchers failed at %v of a watch, change %v later: in force after %v", moment, later, slowest)
		}
	})
}

// TestSlowStoreIsNotReadByAll has the store take longer for each response than usual. The watchers' news are then older,
// and all daemons must not read the store themselves for that.
func TestSlowStoreIsNotReadByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 30, "z", "zz", "zzz")
		f.store.setDelay(300 * time.Millisecond)
		watchers := f.watchers()
		before := f.store.callsBesides(watchers)
		time.Sleep(30 * time.Second)
		is.Equal(f.store.callsBesides(watchers)-before, 0)
	})
}

// TestChangesAreReadByWatchersAlone has changes of both tables reach all daemons. The watches of one table that a change of
// the other interrupts must not make the watchers seem to have failed.
func TestChangesAreReadByWatchersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFleet(t, 30, "z", "zz", "zzz")
		f.store.setDelay(4 * time.Millisecond)
		watchers := f.watchers()
		before := f.store.callsBesides(watchers)
		for i := range 10 {
			time.Sleep(time.Duration(i) * 97 * time.Millisecond)
			is.True(f.slowest(t, promptName) < 100*time.Millisecond)
			is.True(f.slowest(t, tableName) < 100*time.Millisecond)
		}
		is.Equal(f.store.callsBesides(watchers)-before, 0)
	})
}
