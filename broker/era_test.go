package broker

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
)

// members lists hosts whose rows are written once.
type members []catkinrun.Member

func (m members) Members() []catkinrun.Member { return m }
func (m members) Row(string) catkinrun.Row    { return catkinrun.Row{} }
func (m members) Apply(catkinrun.Page, bool)  {}

func newBroker(c catkinrun.Clock, host string) *Broker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ask := func(context.Context, Owner, *TokenRequest) (*TokenResponse, error) {
		return nil, context.DeadlineExceeded
	}
	hosts := members{{Host: "a", Peer: "a", Incarnation: "a-1"}, {Host: "b", Peer: "b", Incarnation: "b-1"}, {Host: "c", Peer: "c", Incarnation: "c-1"}}
	return New(nil, hosts, nil, c, log, "members", Owner{Host: host, Peer: host, Incarnation: host + "-1"}, ask)
}

// apply applies an assignment as a row of the store.
func (b *Broker) applyForTest(t *testing.T, a Assignment, revision catkinrun.Revision) {
	t.Helper()
	is.New(t).NoErr(a.Validate())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = true
	b.revision = revision
	b.applyLocked(a)
}

// TestVoterThatGoesBackAbstains has a restored store give a shard back to its former owner. The votes
// for the lost owner still count there for a second.
func TestVoterThatGoesBackAbstains(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	b := newBroker(c, "c")
	first := NewAssignment(Owner{Host: "a", Peer: "a", Incarnation: "a-1"})
	lost := first.WithOwner(allShards, Owner{Host: "b", Peer: "b", Incarnation: "b-1"}, allShards)
	b.applyForTest(t, lost, 9)
	c.Advance(time.Minute)
	is.True(b.Standing().Votes)
	again := first.raisedTo(1)
	again.Generation++
	b.applyForTest(t, again, catkinrun.NewRevision(1, 3))
	is.True(!b.Standing().Votes)
	c.Advance(VoteTTL)
	is.True(b.Standing().Votes)
}

// TestVoterThatStartsAfterRestoreAbstains has a restarted voter read an assignment that may be older than
// the one it voted under.
func TestVoterThatStartsAfterRestoreAbstains(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	b := newBroker(c, "c")
	first := NewAssignment(Owner{Host: "a", Peer: "a", Incarnation: "a-1"})
	raw, err := json.Marshal(first)
	is.NoErr(err)
	b.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: RowKey, Value: raw, Revision: catkinrun.NewRevision(1, 3)}}, Revision: catkinrun.NewRevision(1, 3)}, true)
	is.True(!b.Standing().Votes)
	c.Advance(VoteTTL)
	is.True(b.Standing().Votes)
	confirmed := newBroker(c, "c")
	again := first.raisedTo(1)
	again.Generation++
	confirmed.applyForTest(t, again, catkinrun.NewRevision(1, 4))
	is.True(confirmed.Standing().Votes) // it has been written in this era
}

// TestVoterOfAnOwnerThatIsNotNamedAbstains has a voter miss two changes of the owner. The second claimer has
// seen that the first one granted tokens, and asks nobody whether the owner before it has stopped.
func TestVoterOfAnOwnerThatIsNotNamedAbstains(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	b := newBroker(c, "d")
	a, second, third := Owner{Host: "a", Peer: "a", Incarnation: "a-1"}, Owner{Host: "b", Peer: "b", Incarnation: "b-1"}, Owner{Host: "c", Peer: "c", Incarnation: "c-1"}
	first := NewAssignment(a)
	taken := first.WithOwner(allShards, second, 0)
	b.applyForTest(t, first, 1)
	c.Advance(time.Minute)
	b.applyForTest(t, taken, 2)
	is.True(b.Standing().Votes) // the second owner asks the first
	b.applyForTest(t, taken.WithOwner(allShards, third, allShards), 3)
	is.True(!b.Standing().Votes)
	c.Advance(VoteTTL)
	is.True(b.Standing().Votes)
}

// TestFirstClaimInAnEraWaitsForUnknownOwners claims the shards of an owner that has certainly ended, while
// a lost assignment may name another one.
func TestFirstClaimInAnEraWaitsForUnknownOwners(t *testing.T) {
	is := is.New(t)
	b := newBroker(clock.NewFake(), "c")
	b.applyForTest(t, NewAssignment(Owner{Host: "a", Peer: "a", Incarnation: "a-1"}), catkinrun.NewRevision(1, 3))
	next := b.nextAssignmentLocked(allShards)
	is.NoErr(next.Validate())
	is.Equal(next.eraOf(), uint64(1))
	is.Equal(next.FormerOf(Owner{}), allShards)
	b.applyForTest(t, next, catkinrun.NewRevision(1, 4))
	b.confirmFormerOwners(t.Context())
	is.Equal(b.unconfirmed[Owner{}], allShards) // nobody can confirm
	later := b.nextAssignmentLocked(allShards)
	is.True(later.Generation > next.Generation)
}

// TestRestartedVoterSettlesAnew has a voter vote for another owner after its restart, and come back.
func TestRestartedVoterSettlesAnew(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	b := newBroker(c, "a")
	b.applyForTest(t, NewAssignment(b.self).WithOwner(allShards, b.self, 0), 5)
	vote := func(incarnation string) {
		b.recordSupportLocked(&TokenRequest{Host: "c", Incarnation: incarnation, Generation: 2, Echo: b.elapsed(), Votes: true}, b.elapsed())
	}
	c.Advance(time.Second)
	vote("c-1")
	c.Advance(VoteTTL)
	vote("c-1")
	is.True(b.supporters["c"].settledIn(2, b.elapsed()))
	vote("c-2")
	is.True(!b.supporters["c"].settledIn(2, b.elapsed()))
}
