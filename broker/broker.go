// Package broker grants tokens of the teams' rates. One daemon, the owner, holds a
// bucket for each team, which refills at a share of the team's rate up to the same share
// of its burst; the rest is divided evenly among all hosts. All daemons request tokens
// from the owner as their callers need them.
//
// A row in the store names the owner, and the row's revision is the epoch. An owner
// grants tokens only while a majority of the voters, hosts chosen by rendezvous
// hashing, keeps requesting tokens under its epoch, and only after the authority of
// any earlier owner has certainly ended. Two owners therefore never grant tokens at
// the same time, and an owner continues to grant tokens during a store outage.
// docs/design/rates.md gives the argument.
package broker

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// RowKey is the key of the owner's row in the members table.
const RowKey = "owner/rates"

const (
	// OwnerShare is the fraction of each rate and burst that the owner grants.
	// The rest is divided evenly into the local shares of all hosts, so that a host that
	// cannot reach the owner still serves requests.
	OwnerShare = 0.65
	// voteTTL is how long a token request counts as a vote for the owner. It spans
	// several request intervals.
	voteTTL = time.Second
	// maxVoters bounds the number of voters, so that it does not grow with the fleet.
	maxVoters = 15
	// ownerTimeout is the time without a response after which the first of the other hosts
	// replaces the owner. Each further host waits claimInterval longer, in case those
	// before it have failed too.
	ownerTimeout  = 700 * time.Millisecond
	claimInterval = 300 * time.Millisecond
	// unreadyTimeout is the additional time before an owner that responds but does not
	// grant tokens is replaced.
	unreadyTimeout = 5 * time.Second
	// pollInterval is the time between two checks of the owner.
	pollInterval = 250 * time.Millisecond
)

// Owner is the content of the owner's row.
type Owner struct {
	Host        string             `json:"host"`
	Peer        string             `json:"peer"`
	Incarnation string             `json:"incarnation"`
	Epoch       catkinrun.Revision `json:"-"`
}

// Members lists the hosts.
type Members interface {
	Members() []catkinrun.Member
}

// SnapshotSource provides the configuration in force, which declares the teams.
type SnapshotSource interface {
	Snapshot() *catkinrun.Snapshot
}

// ConfirmStopped requests that an earlier owner stop granting tokens. It returns true only if
// that is certain: the earlier owner's response confirms it, or the owner's process has ended.
type ConfirmStopped func(ctx context.Context, earlier Owner, epoch catkinrun.Revision) bool

// Broker grants tokens if this daemon is the owner, and claims the ownership if the
// owner has failed.
type Broker struct {
	store          catkinrun.Store
	members        Members
	snapshots      SnapshotSource
	clock          catkinrun.Clock
	log            logrus.FieldLogger
	table          string
	self           Owner
	confirmStopped ConfirmStopped

	startedAt time.Time

	mu                 sync.Mutex
	owner              Owner
	votes              map[string]time.Time // last token request of each host under this epoch
	majoritySince      time.Time            // start of the current majority of votes, zero without one
	granting           bool
	grantingSince      time.Time // when granting last began
	buckets            map[string]*bucket
	predecessorStopped bool      // the previous owner has certainly stopped granting tokens
	superseded         bool      // a later epoch exists, but its row has not arrived yet
	failingSince       time.Time // since when the owner has not responded to this daemon, zero if it responds
	unreadySince       time.Time // since when no response has been ready, zero if the last one was ready
}

// New returns a broker for the daemon that self describes. The owner's row is in table.
func New(store catkinrun.Store, members Members, snapshots SnapshotSource, clock catkinrun.Clock, log logrus.FieldLogger, table string, self Owner, confirmStopped ConfirmStopped) *Broker {
	return &Broker{
		store: store, members: members, snapshots: snapshots, clock: clock, log: log, table: table, self: self, confirmStopped: confirmStopped, startedAt: clock.Now(),
		votes: make(map[string]time.Time), buckets: make(map[string]*bucket),
	}
}

// Apply applies changed rows of the table; all but the owner's row are ignored.
func (b *Broker) Apply(page catkinrun.Page) {
	for _, row := range page.Rows {
		if row.Key == RowKey && !row.Deleted {
			b.applyRow(row)
		}
	}
}

func (b *Broker) applyRow(row catkinrun.Row) {
	var owner Owner
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		b.log.WithError(err).Warn("broker: cannot decode the owner's row")
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if row.Revision <= b.owner.Epoch {
		return
	}
	owner.Epoch = row.Revision
	b.owner = owner
	b.failingSince, b.unreadySince, b.majoritySince = time.Time{}, time.Time{}, time.Time{}
	b.granting, b.predecessorStopped, b.superseded = false, false, false
	b.votes = make(map[string]time.Time)
	b.buckets = make(map[string]*bucket)
	b.log.WithFields(logrus.Fields{"owner": owner.Host, "epoch": owner.Epoch}).Info("broker: owner changed")
}

// Owner returns the owner known to this daemon; its epoch is 0 if there is none.
func (b *Broker) Owner() Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner
}

// RecordResponse records the response of an epoch's owner to a token request of this daemon,
// nil if the request failed.
func (b *Broker) RecordResponse(epoch catkinrun.Revision, response *TokenResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch != b.owner.Epoch {
		return
	}
	now := b.clock.Now()
	trackSince(&b.failingSince, now, response == nil || response.Incarnation != b.owner.Incarnation)
	trackSince(&b.unreadySince, now, response == nil || !response.Ready)
}

// trackSince sets since to the time from which a condition has held, zero if it does not.
func trackSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// GrantTokens handles a token request. The response has Ready set only if this daemon is the
// owner and may grant tokens.
func (b *Broker) GrantTokens(_ context.Context, request *TokenRequest) (*TokenResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	response := &TokenResponse{Incarnation: b.self.Incarnation, Epoch: b.owner.Epoch}
	if request.Epoch > b.owner.Epoch {
		b.superseded = true // the requesting daemon knows a later owner
	}
	if request.Epoch != b.owner.Epoch || b.owner.Incarnation != b.self.Incarnation || b.superseded {
		return response, nil
	}
	now := b.clock.Now()
	b.votes[request.Host] = now
	b.authorizeLocked(now)
	if !b.granting {
		return response, nil
	}
	response.Ready = true
	snapshot := b.snapshots.Snapshot()
	for _, teamRequest := range request.Teams {
		team, ok := snapshot.Team(teamRequest.Team)
		if ok {
			response.Grants = append(response.Grants, Grant{Team: teamRequest.Team, Tokens: b.grantLocked(now, team, teamRequest)})
		}
	}
	return response, nil
}

func (b *Broker) grantLocked(now time.Time, team catkinrun.Team, teamRequest TeamRequest) float64 {
	teamBucket, ok := b.buckets[teamRequest.Team]
	if !ok {
		teamBucket = &bucket{refilledAt: b.grantingSince} // no token accrued since then has been granted
		b.buckets[teamRequest.Team] = teamBucket
	}
	teamBucket.refill(now, OwnerShare*team.Rate, OwnerShare*team.Burst)
	teamBucket.putBack(teamRequest.Returned, OwnerShare*team.Burst)
	return teamBucket.take(teamRequest.Tokens)
}

// authorizeLocked decides whether this owner may grant tokens. The vote of a host for the
// previous owner stays valid for voteTTL after its last token request there. The majority
// must therefore have lasted that long, unless the previous owner has certainly stopped.
func (b *Broker) authorizeLocked(now time.Time) {
	if !b.hasMajorityLocked(now) {
		if b.granting {
			b.log.WithField("epoch", b.owner.Epoch).Warn("broker: no majority of votes, stopped granting tokens")
		}
		b.granting, b.majoritySince = false, time.Time{}
		return
	}
	if b.majoritySince.IsZero() {
		b.majoritySince = now
	}
	if !b.granting && (b.predecessorStopped || now.Sub(b.majoritySince) >= voteTTL) {
		b.granting, b.grantingSince = true, now
		b.buckets = make(map[string]*bucket)
		b.log.WithField("epoch", b.owner.Epoch).Info("broker: started granting tokens")
	}
}

func (b *Broker) hasMajorityLocked(now time.Time) bool {
	voters := b.voters()
	count := 0
	for _, host := range voters {
		if at, ok := b.votes[host]; ok && now.Sub(at) < voteTTL {
			count++
		}
	}
	return 2*count > len(voters)
}

// voters returns the hosts whose token requests count as votes.
func (b *Broker) voters() []string {
	members := b.members.Members()
	hosts := make([]string, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, m.Host)
	}
	if len(hosts) <= maxVoters {
		return hosts
	}
	return catkinrun.RendezvousOrder(RowKey, hosts)[:maxVoters]
}

// bucket holds the tokens of one team that are not granted yet.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), burst)
	b.refilledAt = now
}

func (b *bucket) putBack(tokens, burst float64) { b.tokens = min(b.tokens+tokens, burst) }

func (b *bucket) take(count float64) float64 {
	taken := max(0, min(count, b.tokens))
	b.tokens -= taken
	return taken
}
