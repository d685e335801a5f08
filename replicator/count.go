package replicator

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// reportLocked turns an Ask into tallies in this host's numbering. A tally numbered
// by a roster that is neither the current one nor the one before does not count.
func (r *Replica) reportLocked(ask Ask) []dated {
	now := r.clock.Now()
	var tallies []dated
	if own, ok := r.singleLocked(ask.Host, ask.Incarnation, ask.Held, ask.Service); ok {
		tallies = append(tallies, dated{own, now})
	}
	for _, t := range ask.Tallies {
		tallies = append(tallies, dated{r.numberedLocked(t), now.Add(-t.Age)})
	}
	return tallies
}

// numberedLocked returns a tally in the numbering of the current roster, if it has
// that of the roster before.
func (r *Replica) numberedLocked(t Tally) Tally {
	if t.Roster == r.before.RosterVersion() {
		return renumber(t, r.before, r.snapshot)
	}
	return t
}

// renumberLocked brings all tallies to the numbering of the next roster, so that
// nothing that is known of the hosts is lost with a roster change.
func (r *Replica) renumberLocked(next *catkinrun.Snapshot) {
	for _, known := range []map[string][]dated{r.children, r.views} {
		for _, tallies := range known {
			for i, t := range tallies {
				if t.Roster == r.snapshot.RosterVersion() {
					tallies[i].Tally = renumber(t.Tally, r.snapshot, next)
				}
			}
		}
	}
}

// singleLocked is the tally of one host of the own zone. The vote belongs to the
// incarnation on the roster; a restarted daemon is seen, and its server may be
// ready, but it has no vote until the roster names the new incarnation.
func (r *Replica) singleLocked(host, incarnation string, held catkinrun.Version, service string) (Tally, bool) {
	index := slices.Index(r.snapshot.ZoneHosts(r.identity.Zone), host)
	entry, ok := r.snapshot.Host(host)
	if index < 0 || !ok {
		return Tally{}, false
	}
	t := Tally{Zone: r.identity.Zone, Roster: r.snapshot.RosterVersion(), Held: held}
	t.Seen = Bitmap{}.With(index)
	if entry.Incarnation == incarnation {
		t.Voters = t.Seen
	}
	if service != "" && entry.Service == service {
		t.Ready = t.Seen
	}
	return t, true
}

// freshLocked drops tallies that are too old or numbered by another roster.
func (r *Replica) freshLocked(tallies []dated) []dated {
	oldest := r.clock.Now().Add(-r.limits.Report)
	roster := r.snapshot.RosterVersion()
	return slices.DeleteFunc(tallies, func(t dated) bool {
		return t.at.Before(oldest) || t.Roster != roster
	})
}

func (r *Replica) agedLocked(tallies []dated) []Tally {
	now := r.clock.Now()
	aged := make([]Tally, 0, len(tallies))
	for _, t := range tallies {
		t.Age = now.Sub(t.at)
		aged = append(aged, t.Tally)
	}
	return aged
}

// viewLocked returns what is known of every zone, freshest word first.
func (r *Replica) viewLocked() []dated {
	var all []dated
	for _, zone := range r.snapshot.Zones() {
		all = append(all, r.zoneLocked(zone)...)
	}
	return all
}

func (r *Replica) zoneLocked(zone string) []dated {
	r.views[zone] = r.freshLocked(r.views[zone])
	tallies := slices.Clone(r.views[zone])
	if zone == r.identity.Zone {
		tallies = append(tallies, r.ownZoneLocked()...)
	}
	merged := cover(tallies)
	if zone != r.identity.Zone {
		r.views[zone] = slices.Clone(merged)
	}
	return merged
}

func (r *Replica) ownZoneLocked() []dated {
	var tallies []dated
	for child, reports := range r.children {
		reports = r.freshLocked(reports)
		if len(reports) == 0 {
			delete(r.children, child)
			continue
		}
		r.children[child] = reports
		tallies = append(tallies, reports...)
	}
	own, ok := r.singleLocked(r.identity.Host, r.identity.Incarnation, r.snapshot.Version(), r.service)
	if ok {
		tallies = append(tallies, dated{own, r.clock.Now()})
	}
	return tallies
}

// Count derives acceptance and proof from the votes that are known now. The only
// host of a roster hears no other, so its puller counts too.
func (r *Replica) Count() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countLocked()
}

// countLocked derives acceptance and proof from the votes.
func (r *Replica) countLocked() {
	view := r.viewLocked()
	r.acceptByVotesLocked(view)
	r.proveByVotesLocked(view)
}

// acceptByVotesLocked finds the highest version that majorities of the current
// and of the previous roster hold.
func (r *Replica) acceptByVotesLocked(view []dated) {
	current := r.snapshot.Roster()
	previous := r.snapshot.PreviousRoster()
	var versions []catkinrun.Version
	for _, t := range view {
		versions = append(versions, t.Held)
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	for _, v := range versions {
		if v <= r.accepted || v > r.snapshot.Version() || v < r.snapshot.RosterVersion() {
			continue
		}
		holders := r.votersLocked(view, func(t dated) bool { return t.Held >= v })
		if majority(holders, current) && majority(holders, previous) {
			r.acceptLocked(v)
			return
		}
	}
}

// proveByVotesLocked renews the proof if a majority reported, lately, nothing
// above the version held. The proof is as old as the oldest report it rests on.
func (r *Replica) proveByVotesLocked(view []dated) {
	voters := r.votersLocked(view, func(t dated) bool { return t.Held <= r.snapshot.Version() })
	total := r.votersLocked(view, func(dated) bool { return true })
	if len(voters) < len(total) || !majority(voters, r.snapshot.Roster()) {
		return
	}
	r.proveLocked(r.oldestNeededLocked(view))
}

// oldestNeededLocked dates the freshest majority in the view.
func (r *Replica) oldestNeededLocked(view []dated) time.Time {
	byAge := slices.Clone(view)
	slices.SortFunc(byAge, func(a, b dated) int { return b.at.Compare(a.at) })
	votes := 0
	for _, t := range byAge {
		votes += t.Voters.Count()
		if votes*2 > r.snapshot.Count(catkinrun.KindHost) {
			return t.at
		}
	}
	return time.Time{}
}

// votersLocked returns the votes, host to incarnation, in the chosen tallies.
func (r *Replica) votersLocked(view []dated, choose func(dated) bool) map[string]string {
	voters := make(map[string]string)
	for _, t := range view {
		if !choose(t) {
			continue
		}
		for i, host := range r.snapshot.ZoneHosts(t.Zone) {
			if entry, ok := r.snapshot.Host(host); ok && t.Voters.Has(i) {
				voters[host] = entry.Incarnation
			}
		}
	}
	return voters
}

// majority reports whether more than half of the roster's votes are among the
// voters. An empty roster needs no votes.
func majority(voters, roster map[string]string) bool {
	votes := 0
	for host, incarnation := range roster {
		if voters[host] == incarnation {
			votes++
		}
	}
	return votes*2 > len(roster) || len(roster) == 0
}

// Status is what is known of one host of the roster.
type Status struct {
	Name  string            `json:"name"`
	Host  catkinrun.Host    `json:"host"`
	Seen  bool              `json:"seen"`
	Ready bool              `json:"ready"`
	Held  catkinrun.Version `json:"held"`
}

// Hosts returns the status of each host on the roster, by name.
func (r *Replica) Hosts() map[string]Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make(map[string]Status)
	for _, entry := range r.snapshot.List(catkinrun.KindHost) {
		statuses[entry.Name] = Status{Name: entry.Name, Host: *entry.Host}
	}
	for _, t := range r.viewLocked() {
		for i, host := range r.snapshot.ZoneHosts(t.Zone) {
			if t.Seen.Has(i) {
				status := statuses[host]
				status.Seen = true
				status.Ready = t.Ready.Has(i)
				status.Held = t.Held
				statuses[host] = status
			}
		}
	}
	return statuses
}

// Connected reports whether a majority of the votes was heard lately. Only then
// may hosts that are silent be taken off the roster.
func (r *Replica) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	voters := r.votersLocked(r.viewLocked(), func(dated) bool { return true })
	return majority(voters, r.snapshot.Roster())
}

// Services returns the sorted names of services with hosts.
func (r *Replica) Services() []string {
	services := make(map[string]bool)
	for _, entry := range r.Snapshot().List(catkinrun.KindHost) {
		if entry.Host.Service != "" {
			services[entry.Host.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}
