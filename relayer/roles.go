package relayer

import (
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// rolesTime is how long a daemon keeps to its view of the roles. Working it out takes a look at all members.
const rolesTime = time.Second

// roles are the other daemons that one daemon exchanges rows with, and what it is itself.
type roles struct {
	watchers  []catkinrun.Member // that this daemon asks, in its order
	isWatcher bool
	peers     []catkinrun.Member // of a watcher, in its order
	offset    time.Duration      // of a watcher's watches
	standby   catkinrun.Member   // that this daemon asks, without a host if there is none
	isStandby bool
	viewedAt  time.Time
}

// currentRoles returns the roles as the members list showed them at most rolesTime ago.
func (r *Relayer) currentRoles() roles {
	now := r.clock.Now()
	r.mu.Lock()
	current := r.roles
	r.mu.Unlock()
	if len(current.watchers) > 0 && now.Sub(current.viewedAt) < rolesTime {
		return current
	}
	current = rolesOf(r.self, r.members.Members())
	current.viewedAt = now
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roles = current
	return current
}

// rolesOf returns the roles in a list of members.
func rolesOf(self catkinrun.Member, members []catkinrun.Member) roles {
	var view roles
	view.watchers, view.isWatcher = watchersFor(self, members)
	if view.isWatcher {
		view.peers, view.offset = peersFor(self, members), watchOffset(self, members)
	}
	standbys := standbysOf(members)
	view.isStandby = slices.ContainsFunc(standbys, func(m catkinrun.Member) bool { return m.Host == self.Host })
	if len(standbys) > 0 && !view.isStandby {
		view.standby = inOrder("asked by "+self.Host, standbys)[0]
	}
	return view
}
