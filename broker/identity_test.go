package broker

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
)

// addresses has the processes at the peer addresses of a fleet.
type addresses map[string]*Broker

func (a addresses) ask(ctx context.Context, owner Owner, request *TokenRequest) (*TokenResponse, error) {
	if b, ok := a[owner.Peer]; ok {
		return b.GrantTokens(ctx, request)
	}
	return nil, context.DeadlineExceeded
}

// start starts the daemon of a member at its address, with all shards owned by owner.
func (a addresses) start(t *testing.T, c catkinrun.Clock, self catkinrun.Member, rows members, owner Owner) *Broker {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := New(nil, rows, nil, c, log, "members", Owner{Host: self.Host, Peer: self.Peer, Incarnation: self.Incarnation}, a.ask)
	b.applyForTest(t, NewAssignment(owner), 1)
	a[self.Peer] = b
	return b
}

// TestProcessAnswersForItsOwnHostOnly asks the voters by rows of which three name an address. If the hosts of two of
// them are gone and another host uses their address, its daemon and the candidate are two of five, and no majority. A voter
// that has been started again counts, although its row names its earlier start.
func TestProcessAnswersForItsOwnHostOnly(t *testing.T) {
	row := func(host, peer string) catkinrun.Member {
		return catkinrun.Member{Host: host, Peer: peer, Incarnation: host + "-1"}
	}
	restarted := func(m catkinrun.Member) catkinrun.Member {
		m.Incarnation += "-again"
		return m
	}
	cases := []struct {
		name    string
		peers   [2]string // of the rows d and e
		started []int     // rows whose daemons respond, but the candidate's
		agreed  ShardSet
	}{
		{"address of others", [2]string{"10.0.0.3:1", "10.0.0.3:1"}, []int{2}, 0},
		{"own addresses", [2]string{"10.0.0.4:1", "10.0.0.5:1"}, []int{2, 3}, allShards},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewFake()
			rows := members{row("a", "10.0.0.1:1"), row("b", "10.0.0.2:1"), row("c", "10.0.0.3:1"), row("d", test.peers[0]), row("e", test.peers[1])}
			owner := Owner{Host: "b", Peer: "10.0.0.2:1", Incarnation: "b-1"}
			fleet := make(addresses)
			candidate := fleet.start(t, c, rows[0], rows, owner)
			for _, i := range test.started {
				fleet.start(t, c, restarted(rows[i]), rows, owner)
			}
			for range 3 {
				for _, b := range fleet {
					b.RecordResponse(owner, nil, context.DeadlineExceeded)
				}
				c.Advance(time.Second)
			}
			is.Equal(candidate.confirmClaim(t.Context(), rows, allShards), test.agreed)
		})
	}
}

// TestRowOfAnEarlierStartDoesNotEndAnOwner has an owner's daemon start again and take its shards back. Its member row arrives later
// than the assignment, or not at all while the store refuses its host. It responds, as the start that the assignment names.
func TestRowOfAnEarlierStartDoesNotEndAnOwner(t *testing.T) {
	owner := Owner{Host: "b", Peer: "10.0.0.2:1", Incarnation: "b-2"}
	earlier := catkinrun.Member{Host: "b", Peer: owner.Peer, Incarnation: "b-1"}
	present := catkinrun.Member{Host: "b", Peer: owner.Peer, Incarnation: "b-2"}
	self := catkinrun.Member{Host: "a", Peer: "10.0.0.1:1", Incarnation: "a-1"}
	ready := &TokenResponse{Incarnation: "b-2", Generation: 1, Ready: allShards}
	cases := []struct {
		name     string
		rows     members
		response *TokenResponse // nil if it does not respond
		claimed  ShardSet
	}{
		{"row of the earlier start", members{self, earlier}, ready, 0},
		{"no row", members{self}, ready, 0},
		{"present row", members{self, present}, ready, 0},
		{"row of the earlier start, no response", members{self, earlier}, nil, allShards},
		{"another start responds", members{self, present}, &TokenResponse{Incarnation: "b-3", Generation: 1}, allShards},
		{"leaving", members{self, present.WithLeaving()}, ready, allShards},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := clock.NewFake()
			b := make(addresses).start(t, c, self, test.rows, owner)
			var err error
			if test.response == nil {
				err = context.DeadlineExceeded
			}
			b.RecordResponse(owner, test.response, err)
			is.Equal(b.shardsToClaimLocked(test.rows), test.claimed)
		})
	}
}

// TestOwnersAreNotReplacedBeforeTheMembersAreRead has a daemon know the assignment and its own row alone. The owner is no member
// by these rows, and the daemon itself is the majority of all voters.
func TestOwnersAreNotReplacedBeforeTheMembersAreRead(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake()
	rows := members{{Host: "a", Peer: "10.0.0.1:1", Incarnation: "a-1"}}
	b := make(addresses).start(t, c, rows[0], rows, Owner{Host: "b", Peer: "10.0.0.2:1", Incarnation: "b-1"})
	b.listed = false
	c.Advance(time.Second)
	is.Equal(b.shardsToClaimLocked(rows), ShardSet(0))
	b.Apply(catkinrun.Page{Revision: 2}, true)
	shards := b.shardsToClaimLocked(rows)
	is.Equal(shards, allShards) // now it is certain that the owner has no row
	is.Equal(b.confirmClaim(t.Context(), rows, shards), allShards)
}
