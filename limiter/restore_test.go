package limiter_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinrun/catkinrun/broker"
)

// TestOwnerFailsAfterRestore restores a backup from before the present owner was assigned, and ends
// the owner's process. Claims used to fail for ever, since each named a revision that was lost.
func TestOwnerFailsAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, sameTeams(8, 100))
		backup := f.store.server.Backup()
		f.owner(teamNames(0)).crash()
		time.Sleep(3 * time.Second)
		f.store.restore(backup)
		time.Sleep(3 * time.Second)
		f.startLoads(t.Context(), 20, 60, f.reachable(), 3*time.Second).Wait()
		f.requireRefusedBelow(t, 2)
		f.owner(teamNames(0)).crash()
		time.Sleep(3 * time.Second)
		f.startLoads(t.Context(), 21, 60, f.reachable(), 3*time.Second).Wait()
		f.requireRefusedBelow(t, 2)
		f.checkBound(t)
	})
}

// TestAllRestartAfterRestore restores a backup from before the present owner was assigned and restarts
// all daemons but that owner at the same moment, while teams send four times their rates. The backup
// names the former owner, to which restarted voters used to give their votes at once.
func TestAllRestartAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, sameTeams(4, 40))
		backup := f.store.server.Backup()
		former := f.owner(teamNames(0))
		f.leave(former)
		time.Sleep(3 * time.Second)
		owner := f.owner(teamNames(0))
		if owner == former {
			t.Fatal("the leaving daemon still owns the team's shard")
		}
		loads := f.startLoads(t.Context(), 22, 4*40, f.hosts, 12*time.Second)
		time.Sleep(4 * time.Second)
		f.store.restore(backup)
		for _, h := range f.hosts {
			if h != owner && h != former {
				h.crash()
				h.start(t.Context())
			}
		}
		loads.Wait()
		f.checkBound(t)
	})
}

// TestOwnerWritesAssignmentAgainAfterRestore restores a backup from before the present owner was assigned,
// and checks that its teams notice nothing and that the store names it again.
func TestOwnerWritesAssignmentAgainAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, sameTeams(8, 100))
		backup := f.store.server.Backup()
		f.leave(f.owner(teamNames(0)))
		time.Sleep(3 * time.Second)
		owner := f.owner(teamNames(0))
		loads := f.startLoads(t.Context(), 23, 60, f.hosts, 4*time.Second)
		time.Sleep(time.Second)
		f.store.restore(backup)
		loads.Wait()
		f.requireRefusedBelow(t, 2)
		f.checkBound(t)
		if f.owner(teamNames(0)) != owner {
			t.Fatal("another daemon has become the owner")
		}
		var assignment broker.Assignment
		if err := json.Unmarshal(f.store.list().Rows[0].Value, &assignment); err != nil {
			t.Fatal(err)
		}
		if stored, _ := assignment.Owner(0); stored.Host != owner.name {
			t.Fatalf("the store names %s, the owner is %s", stored.Host, owner.name)
		}
	})
}
