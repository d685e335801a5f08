// Package broker deals out the teams' tokens. One daemon, the owner, holds a bucket
// for each team with the part of its rate and burst that is not divided evenly among
// all hosts; the others ask it for tokens as their callers need them.
//
// Which daemon is the owner stands in a row of the store, and the row's revision is
// the epoch. An owner deals only while a majority of its jury, hosts chosen by name,
// keeps asking it under its epoch, and only after an earlier owner's authority has
// surely ended. So two owners never deal at once, and an owner that the store does not
// answer goes on. docs/design/rates.md has the argument.
package broker

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// RowKey is the key of the owner's row in the members' table.
const RowKey = "owner/rates"

const (
	// DealtPart is the part of each rate and burst that the owner deals; the rest is
	// divided evenly among all hosts, so that one which reaches no owner still serves.
	DealtPart = 0.65
	// voteLife is how long an Ask counts for the owner's authority: several Asks.
	voteLife = time.Second
	// juryLimit bounds the hosts whose Asks count, so that their number does not grow
	// with the fleet.
	juryLimit = 15
	// silence is the time without an answer after which the first host replaces the owner,
	// and turn the time after which the next one does, in case the first is dead too.
	silence = 700 * time.Millisecond
	turn    = 300 * time.Millisecond
	// unready is the time after which an owner that answers and does not deal is replaced.
	unready = 5 * time.Second
	// lookEvery is the time between two looks at the owner.
	lookEvery = 250 * time.Millisecond
)

// Owner is the content of the owner's row.
type Owner struct {
	Host        string             `json:"host"`
	Peer        string             `json:"peer"`
	Incarnation string             `json:"incarnation"`
	Epoch       catkinrun.Revision `json:"-"`
}

// Members knows the hosts.
type Members interface {
	Members() []catkinrun.Member
}

// Teams knows the teams in force.
type Teams interface {
	Snapshot() *catkinrun.Snapshot
}

// Predecessor asks an earlier owner to stop, and reports whether it deals no more for
// certain: it says so, or its process has ended.
type Predecessor func(ctx context.Context, earlier Owner, epoch catkinrun.Revision) bool

// Broker deals tokens if this daemon is the owner, and sees to it that there is one.
type Broker struct {
	store   catkinrun.Store
	members Members
	teams   Teams
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	table   string
	self    Owner
	stopped Predecessor

	startedAt time.Time

	mu         sync.Mutex
	owner      Owner
	votes      map[string]time.Time // last Ask of each host under this epoch
	heldSince  time.Time            // since when a majority has asked without a gap
	dealing    bool
	dealtSince time.Time // when dealing began under this epoch
	buckets    map[string]*bucket
	alone      bool      // no earlier owner deals any more
	resigned   bool      // a later epoch exists, whose row has not come yet
	failedAt   time.Time // since when the owner does not answer this daemon, zero if it does
	unreadyAt  time.Time // since when it answers without dealing, zero if it deals
}

// New returns a broker for the daemon that self describes; the owner's row lies in table.
func New(store catkinrun.Store, members Members, teams Teams, clock catkinrun.Clock, log logrus.FieldLogger, table string, self Owner, stopped Predecessor) *Broker {
	return &Broker{
		store: store, members: members, teams: teams, clock: clock, log: log, table: table, self: self, stopped: stopped, startedAt: clock.Now(),
		votes: make(map[string]time.Time), buckets: make(map[string]*bucket),
	}
}

// Apply takes changed rows of the table.
func (b *Broker) Apply(page catkinrun.Page) {
	for _, row := range page.Rows {
		if row.Key == RowKey && !row.Deleted {
			b.take(row)
		}
	}
}

func (b *Broker) take(row catkinrun.Row) {
	var owner Owner
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		b.log.WithError(err).Warn("broker: owner's row cannot be read")
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if row.Revision <= b.owner.Epoch {
		return
	}
	owner.Epoch = row.Revision
	b.owner = owner
	b.failedAt, b.unreadyAt, b.heldSince = time.Time{}, time.Time{}, time.Time{}
	b.dealing, b.alone, b.resigned = false, false, false
	b.votes = make(map[string]time.Time)
	b.buckets = make(map[string]*bucket)
	b.log.WithFields(logrus.Fields{"owner": owner.Host, "epoch": owner.Epoch}).Info("broker: owner known")
}

// Owner returns the owner that this daemon knows; its epoch is 0 if there is none.
func (b *Broker) Owner() Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner
}

// Answered notes what the owner of an epoch said to an Ask of this daemon, nil if
// nothing.
func (b *Broker) Answered(epoch catkinrun.Revision, answer *Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch != b.owner.Epoch {
		return
	}
	now := b.clock.Now()
	note(&b.failedAt, now, answer == nil || answer.Incarnation != b.owner.Incarnation)
	note(&b.unreadyAt, now, answer == nil || !answer.Ready)
}

// note keeps the time since which something holds, zero if it does not.
func note(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// Deal answers an Ask.
func (b *Broker) Deal(_ context.Context, ask *Ask) (*Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answer := &Answer{Incarnation: b.self.Incarnation, Epoch: b.owner.Epoch}
	if ask.Epoch > b.owner.Epoch {
		b.resigned = true // the asking daemon knows a later owner
	}
	if ask.Epoch != b.owner.Epoch || b.owner.Incarnation != b.self.Incarnation || b.resigned {
		return answer, nil
	}
	now := b.clock.Now()
	b.votes[ask.Host] = now
	b.authorizeLocked(now)
	if !b.dealing {
		return answer, nil
	}
	answer.Ready = true
	snapshot := b.teams.Snapshot()
	for _, want := range ask.Wants {
		team, ok := snapshot.Team(want.Team)
		if ok {
			answer.Grants = append(answer.Grants, Grant{Team: want.Team, Tokens: b.dealLocked(now, team, want)})
		}
	}
	return answer, nil
}

func (b *Broker) dealLocked(now time.Time, team catkinrun.Team, want Want) float64 {
	own, ok := b.buckets[want.Team]
	if !ok {
		own = &bucket{filledAt: b.dealtSince} // nobody has dealt what has been earned since then
		b.buckets[want.Team] = own
	}
	own.fill(now, DealtPart*team.Rate, DealtPart*team.Burst)
	own.put(want.Returned, DealtPart*team.Burst)
	return own.draw(want.Tokens)
}

// authorizeLocked decides whether this owner may deal. A host that now asks under this
// epoch may have counted for the owner before until voteLife after its last Ask there,
// so a majority must have lasted that long.
func (b *Broker) authorizeLocked(now time.Time) {
	if !b.majorityLocked(now) {
		if b.dealing {
			b.log.WithField("epoch", b.owner.Epoch).Warn("broker: too few hosts ask, dealing stops")
		}
		b.dealing, b.heldSince = false, time.Time{}
		return
	}
	if b.heldSince.IsZero() {
		b.heldSince = now
	}
	if !b.dealing && (b.alone || now.Sub(b.heldSince) >= voteLife) {
		b.dealing, b.dealtSince = true, now
		b.buckets = make(map[string]*bucket)
		b.log.WithField("epoch", b.owner.Epoch).Info("broker: dealing tokens")
	}
}

func (b *Broker) majorityLocked(now time.Time) bool {
	jury := b.jury()
	count := 0
	for _, host := range jury {
		if at, ok := b.votes[host]; ok && now.Sub(at) < voteLife {
			count++
		}
	}
	return 2*count > len(jury)
}

// jury returns the hosts whose Asks count.
func (b *Broker) jury() []string {
	members := b.members.Members()
	hosts := make([]string, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, m.Host)
	}
	if len(hosts) <= juryLimit {
		return hosts
	}
	return catkinrun.Rendezvous(RowKey, hosts)[:juryLimit]
}

// bucket holds the tokens of one team that are not dealt yet.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

func (b *bucket) fill(now time.Time, rate, depth float64) {
	b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), depth)
	b.filledAt = now
}

func (b *bucket) put(tokens, depth float64) { b.tokens = min(b.tokens+tokens, depth) }

func (b *bucket) draw(want float64) float64 {
	drawn := max(0, min(want, b.tokens))
	b.tokens -= drawn
	return drawn
}
