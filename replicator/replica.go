// Package replicator keeps this daemon's copy of the change log and the proof
// that the copy is current. The rule is checked in spec/currency.pml.
package replicator

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinrun/catkinrun"
)

// keptChanges is the number of changes at hand for hosts that lag.
const keptChanges = 512

// Identity names a daemon incarnation.
type Identity struct {
	Host        string
	Zone        string
	Incarnation string
}

// Limits are the time limits of the currency rule.
type Limits struct {
	// Proof is the age up to which a proof counts.
	Proof time.Duration
	// Report is the age up to which a report counts for a vote or for readiness.
	Report time.Duration
}

// Replica is one daemon's copy of the change log. It is safe for concurrent use.
type Replica struct {
	identity Identity
	limits   Limits
	clock    catkinrun.Clock

	mu         sync.Mutex
	snapshot   *catkinrun.Snapshot
	before     *catkinrun.Snapshot // last one with the roster before
	recent     []catkinrun.Change
	proofAt    time.Time // zero without proof
	lapses     uint64    // times that the proof ran out and was renewed
	accepted   catkinrun.Version
	acceptance []acceptance // when versions were first known as accepted, oldest first
	service    string       // service of the ready server beside this daemon
	children   map[string][]dated
	views      map[string][]dated // other zones, and the own zone as parents saw it
	merged     []dated            // all zones, as they were counted last
	kept       map[string]Bitmap  // by zone, members with the same vote in the previous roster
	observers  []func(*catkinrun.Snapshot)
}

// New returns a replica without configuration.
func New(identity Identity, limits Limits, clock catkinrun.Clock) *Replica {
	return &Replica{
		identity: identity,
		limits:   limits,
		clock:    clock,
		snapshot: catkinrun.NewSnapshot(),
		before:   catkinrun.NewSnapshot(),
		children: make(map[string][]dated),
		views:    make(map[string][]dated),
	}
}

// Identity returns the daemon's identity.
func (r *Replica) Identity() Identity { return r.identity }

// Snapshot returns the configuration held, current or not.
func (r *Replica) Snapshot() *catkinrun.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// Current returns the configuration and whether it is proven to be the latest
// accepted one. Keyed requests run only on a current configuration.
func (r *Replica) Current() (*catkinrun.Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot, r.currentLocked()
}

func (r *Replica) currentLocked() bool {
	return !r.proofAt.IsZero() && r.clock.Now().Sub(r.proofAt) < r.limits.Proof
}

// Accepted returns the highest version known to be accepted.
func (r *Replica) Accepted() catkinrun.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// acceptance says since when a version is known to be accepted.
type acceptance struct {
	version catkinrun.Version
	at      time.Time
}

// keptAcceptances bounds the list; the oldest entry stands for all before it.
const keptAcceptances = 64

// AcceptedFor returns how long a version has been known here to be accepted; ok is
// false before it is.
func (r *Replica) AcceptedFor(v catkinrun.Version) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acceptance {
		if a.version >= v {
			return r.clock.Now().Sub(a.at), true
		}
	}
	return 0, v == 0
}

// SetReady tells which service the server beside this daemon is ready to serve;
// empty for none.
func (r *Replica) SetReady(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service = service
}

// Load replaces the copy by a newer snapshot; an older one is ignored.
func (r *Replica) Load(s *catkinrun.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version() <= r.snapshot.Version() {
		return
	}
	r.recent = nil
	r.replaceLocked(s)
}

// Apply appends the changes that follow the copy; others are ignored.
func (r *Replica) Apply(changes ...catkinrun.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyLocked(changes)
}

func (r *Replica) applyLocked(changes []catkinrun.Change) {
	for _, c := range changes {
		if c.Version != r.snapshot.Version()+1 {
			continue
		}
		r.recent = append(r.recent, c)
		r.replaceLocked(r.snapshot.With(c))
	}
	if excess := len(r.recent) - keptChanges; excess > 0 {
		r.recent = slices.Clone(r.recent[excess:])
	}
}

// FindChange returns a recent change by its id.
func (r *Replica) FindChange(id string) (catkinrun.Change, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.recent, func(c catkinrun.Change) bool { return c.ID == id })
	if i < 0 {
		return catkinrun.Change{}, false
	}
	return r.recent[i], true
}

// Observe calls observer with each configuration from now on, in order. It must not
// call the replica back, but for Identity.
func (r *Replica) Observe(observer func(*catkinrun.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observers = append(r.observers, observer)
}

func (r *Replica) replaceLocked(s *catkinrun.Snapshot) {
	if s.RosterVersion() != r.snapshot.RosterVersion() {
		r.before = r.snapshot
		r.renumberLocked(s)
	}
	r.snapshot = s
	for _, observer := range r.observers {
		observer(s)
	}
}

// ProveByStore records that the store's head was head in a read sent at sentAt.
// It counts only if the copy has reached head.
func (r *Replica) ProveByStore(sentAt time.Time, head catkinrun.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot.Version() >= head {
		r.proveLocked(sentAt)
	}
}

func (r *Replica) proveLocked(at time.Time) {
	if !at.After(r.proofAt) {
		return
	}
	if !r.currentLocked() {
		r.lapses++
	}
	r.proofAt = at
}

// Term names the unbroken period of currency that the daemon is in; ok is false
// while it is not current. What was granted in an earlier term is void, since
// others may have been told meanwhile that it is free.
func (r *Replica) Term() (term uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lapses, r.currentLocked()
}

// Member reports whether the roster held names this incarnation.
func (r *Replica) Member() bool {
	host, ok := r.Snapshot().Host(r.identity.Host)
	return ok && host.Incarnation == r.identity.Incarnation
}

// ProofAge returns the age of the newest proof; ok is false without one.
func (r *Replica) ProofAge() (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proofAgeLocked()
}

func (r *Replica) proofAgeLocked() (time.Duration, bool) {
	if r.proofAt.IsZero() {
		return 0, false
	}
	return r.clock.Now().Sub(r.proofAt), true
}

// Ask returns the message with which this daemon pulls.
func (r *Replica) Ask() Ask {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Ask{
		Host:        r.identity.Host,
		Zone:        r.identity.Zone,
		Incarnation: r.identity.Incarnation,
		Held:        r.snapshot.Version(),
		Service:     r.service,
		Tallies:     r.agedLocked(cover(r.freshLocked(r.belowLocked()))),
	}
}

// belowLocked returns the reports of hosts which have this one as their tree parent.
func (r *Replica) belowLocked() []dated {
	var below []dated
	for child, tallies := range r.children {
		if Place(r.snapshot, child, r.identity.Zone).Root {
			continue
		}
		below = append(below, tallies...)
	}
	return below
}

// Answer takes the report in an Ask and returns what the sender lacks.
func (r *Replica) Answer(ask Ask) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ask.Zone == r.identity.Zone && ask.Host != r.identity.Host {
		r.children[ask.Host] = r.reportLocked(ask)
	}
	r.countLocked()
	answer := Answer{
		Version:  r.snapshot.Version(),
		Accepted: r.accepted,
		Tallies:  r.agedLocked(r.merged),
	}
	answer.ProofAge, answer.Proven = r.proofAgeLocked()
	r.fillLocked(&answer, ask.Held)
	return answer
}

func (r *Replica) fillLocked(answer *Answer, held catkinrun.Version) {
	if held >= r.snapshot.Version() {
		return
	}
	missing := int(r.snapshot.Version() - held)
	if missing <= len(r.recent) {
		answer.Changes = slices.Clone(r.recent[len(r.recent)-missing:])
		return
	}
	data := r.snapshot.Data()
	answer.Snapshot = &data
}

// Absorb takes the answer to an Ask that was sent at sentAt. All ages in it
// count from the sending, so a slow link or a pause only makes them older.
func (r *Replica) Absorb(sentAt time.Time, answer Answer) error {
	if answer.Snapshot != nil {
		snapshot, err := catkinrun.LoadSnapshot(*answer.Snapshot)
		if err != nil {
			return err
		}
		r.Load(snapshot)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyLocked(answer.Changes)
	if answer.Proven && r.snapshot.Version() >= answer.Version {
		r.proveLocked(sentAt.Add(-answer.ProofAge))
	}
	if answer.Accepted <= r.snapshot.Version() {
		r.acceptLocked(answer.Accepted)
	}
	for _, t := range answer.Tallies {
		r.views[t.Zone] = append(r.views[t.Zone], dated{r.numberedLocked(t), sentAt.Add(-t.Age)})
	}
	r.countLocked()
	return nil
}

func (r *Replica) acceptLocked(v catkinrun.Version) {
	if v <= r.accepted {
		return
	}
	r.accepted = v
	r.acceptance = append(r.acceptance, acceptance{version: v, at: r.clock.Now()})
	if len(r.acceptance) > keptAcceptances {
		r.acceptance = slices.Clone(r.acceptance[1:])
	}
}
