package relayer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinrun/catkinrun/follower"
)

// TestChangeIsInForceInTimeThoughTheFirstCallIsSlow has all watchers cut off from the store, and each daemon that calls it
// instead take a second for its first connection, as after a lost packet. A change that is due after two seconds was late, since
// the waits before that call took 1.6 s.
func TestChangeIsInForceInTimeThoughTheFirstCallIsSlow(t *testing.T) {
	for _, table := range []string{promptName, tableName} {
		for moment := 50 * time.Millisecond; moment < follower.PromptWait; moment += 100 * time.Millisecond {
			t.Run(fmt.Sprint(table, ", ", moment), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, 12, "z", "zz", "zzz")
					f.store.setDelay(4 * time.Millisecond)
					f.store.setDialTime(time.Second)
					watchers := f.watchers()
					f.store.write(promptName)
					time.Sleep(7*time.Second + moment)
					for _, host := range watchers {
						f.store.fallSilent(host)
					}
					if slowest := f.slowest(t, table); slowest >= inForce {
						t.Errorf("in force after %v", slowest)
					}
				})
			})
		}
	}
}

// TestShortPauseOfTheStoreSendsOneDaemonThere has the store respond to nobody for a second. All daemons called it then,
// as if each watcher had failed.
func TestShortPauseOfTheStoreSendsOneDaemonThere(t *testing.T) {
	for moment := 50 * time.Millisecond; moment < follower.PromptWait; moment += 100 * time.Millisecond {
		t.Run(fmt.Sprint(moment), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 12, "z", "zz", "zzz")
				f.store.setDelay(4 * time.Millisecond)
				watchers := f.watchers()
				f.store.write(promptName)
				time.Sleep(7*time.Second + moment)
				since := time.Now()
				f.store.pause(time.Second)
				time.Sleep(3 * time.Second)
				if callers := f.store.callers(since, watchers); len(callers) > 1 {
					t.Errorf("%d daemons besides the watchers called the store", len(callers))
				}
			})
		})
	}
}
