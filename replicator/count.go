package replicator

import (
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
	for i, t := range r.merged {
		r.merged[i].Tally = renumber(t.Tally, r.snapshot, next)
	}
	r.kept = keptVotes(next)
}

// singleLocked is the tally of one host of the own zone. The vote belongs to the
// incarnation on the roster; a restarted daemon is seen, and its server may be
// ready, but it has no vote until the roster names the new incarnation.
func (r *Replica) singleLocked(host, incarnation string, held catkinrun.Version, service string) (Tally, bool) {
	index, found := slices.BinarySearch(r.snapshot.ZoneHosts(r.identity.Zone), host)
	entry, ok := r.snapshot.Host(host)
	if !found || !ok {
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
	r.views[zone] = cover(r.freshLocked(r.views[zone]))
	if zone != r.identity.Zone {
		return r.views[zone]
	}
	return cover(append(slices.Clone(r.views[zone]), r.ownZoneLocked()...))
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

// countLocked merges what is known of all zones, and derives acceptance and proof
// from the votes.
func (r *Replica) countLocked() {
	r.merged = r.viewLocked()
	r.acceptByVotesLocked(r.merged)
	r.proveByVotesLocked(r.merged)
}

// acceptByVotesLocked finds the highest version that majorities of the current and
// of the previous roster hold.
func (r *Replica) acceptByVotesLocked(view []dated) {
	for _, v := range versions(view) {
		if v <= r.accepted || v > r.snapshot.Version() || v < r.snapshot.RosterVersion() {
			continue
		}
		current, previous := r.votesLocked(view, func(t dated) bool { return t.Held >= v })
		if majority(current, r.snapshot.Count(catkinrun.KindHost)) && majority(previous, len(r.snapshot.PreviousRoster())) {
			r.acceptLocked(v)
			return
		}
	}
}

// versions returns the versions in a view, the highest first.
func versions(view []dated) []catkinrun.Version {
	var list []catkinrun.Version
	for _, t := range view {
		list = append(list, t.Held)
	}
	slices.Sort(list)
	slices.Reverse(list)
	return slices.Compact(list)
}

// proveByVotesLocked renews the proof if a majority reported lately, and nobody
// reported a version above the one held. The proof is as old as the oldest report
// that it rests on.
func (r *Replica) proveByVotesLocked(view []dated) {
	byAge := slices.Clone(view)
	slices.SortFunc(byAge, func(a, b dated) int { return b.at.Compare(a.at) })
	roster := r.snapshot.Count(catkinrun.KindHost)
	votes := 0
	var oldest time.Time
	for _, t := range byAge {
		if t.Held > r.snapshot.Version() {
			return
		}
		if !majority(votes, roster) {
			votes += t.Voters.Count()
			oldest = t.at
		}
	}
	if roster > 0 && majority(votes, roster) {
		r.proveLocked(oldest)
	}
}

// votesLocked counts the votes in the chosen tallies, of the current roster, and
// those of them that the previous roster names too.
func (r *Replica) votesLocked(view []dated, choose func(dated) bool) (current, previous int) {
	for _, t := range view {
		if choose(t) {
			current += t.Voters.Count()
			previous += t.Voters.And(r.kept[t.Zone]).Count()
		}
	}
	return current, previous
}

// keptVotes returns, by zone, the members that the previous roster names in the same
// incarnation.
func keptVotes(s *catkinrun.Snapshot) map[string]Bitmap {
	kept := make(map[string]Bitmap)
	previous := s.PreviousRoster()
	for _, zone := range s.Zones() {
		hosts := s.ZoneHosts(zone)
		set := make(Bitmap, len(hosts)/8+1)
		for i, name := range hosts {
			if host, _ := s.Host(name); previous[name] == host.Incarnation {
				set[i/8] |= 1 << (i % 8)
			}
		}
		kept[zone] = set
	}
	return kept
}

// majority reports whether the votes are more than half of a roster. An empty roster
// needs no votes.
func majority(votes, roster int) bool { return votes*2 > roster || roster == 0 }

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
	for _, zone := range r.snapshot.Zones() {
		for i, name := range r.snapshot.ZoneHosts(zone) {
			statuses[name] = r.statusLocked(name, zone, i)
		}
	}
	return statuses
}

// Ready returns the hosts of a service that are ready for new work, sorted by name.
func (r *Replica) Ready(service string) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []Status
	for _, name := range r.snapshot.View(service).Hosts {
		host, _ := r.snapshot.Host(name)
		i, _ := slices.BinarySearch(r.snapshot.ZoneHosts(host.Zone), name)
		if status := r.statusLocked(name, host.Zone, i); status.Ready {
			ready = append(ready, status)
		}
	}
	return ready
}

// statusLocked returns the status of the i-th host of a zone, as it was counted last.
func (r *Replica) statusLocked(name, zone string, i int) Status {
	host, _ := r.snapshot.Host(name)
	status := Status{Name: name, Host: host}
	oldest := r.clock.Now().Add(-r.limits.Report)
	for _, t := range r.merged {
		if t.Zone == zone && t.Seen.Has(i) && !t.at.Before(oldest) {
			status.Seen = true
			status.Ready = t.Ready.Has(i)
			status.Held = t.Held
		}
	}
	return status
}

// Connected reports whether a majority of the votes was heard lately. Only then
// may hosts that are silent be taken off the roster.
func (r *Replica) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countLocked()
	votes, _ := r.votesLocked(r.merged, func(dated) bool { return true })
	return majority(votes, r.snapshot.Count(catkinrun.KindHost))
}
