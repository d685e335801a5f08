package broker

import (
	"strconv"
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// VoteTTL is how long a vote supports an owner, counted from the stamp that the vote
	// echoes. It spans several token requests.
	VoteTTL = time.Second
	// CedeTTL is how long a host that has received a response leaves its local share of the
	// rates to the owner. It spans several token requests, and is short, because a host that
	// has lost its owner is without tokens until it ends.
	CedeTTL = 700 * time.Millisecond
	// voterGroupCount is the number of groups of voters. The shards are divided among them, so
	// that in a large fleet no host votes for every owner.
	voterGroupCount = 4
	// maxVoters bounds the number of voters of a group, so that it does not grow with the fleet.
	maxVoters = 15
)

// supporter is what an owner knows about one host that requests tokens from it. Times are
// readings of the owner's clock.
//
// A vote and a ceded local share are valid for a time after the stamp that a request echoes,
// not after its arrival: the host has received that stamp before it sent the request, so that
// a request that the network delayed supports the owner no longer than the host intended.
type supporter struct {
	incarnation string // of the host's daemon
	generation  uint64
	echo        time.Duration
	votes       bool
	heardAt     time.Duration // arrival of the last request
	adoptions   []adoption
}

// adoption is the time at which a host first requested tokens under a generation.
type adoption struct {
	generation uint64
	at         time.Duration
}

// record adds a request that arrived at now. A request from before one that has already
// arrived is ignored.
func (s *supporter) record(request *TokenRequest, now time.Duration) {
	s.heardAt = now
	if request.Generation < s.generation || request.Echo < s.echo || request.Echo > now {
		return
	}
	s.echo, s.votes = request.Echo, request.Votes
	if request.Generation > s.generation {
		s.generation = request.Generation
		s.adoptions = append(settledAdoptions(s.adoptions, now), adoption{request.Generation, now})
	}
}

// settledAdoptions drops the adoptions that a later one makes irrelevant: of those older than
// VoteTTL only the last one counts.
func settledAdoptions(adoptions []adoption, now time.Duration) []adoption {
	for len(adoptions) > 1 && now-adoptions[1].at >= VoteTTL {
		adoptions = adoptions[1:]
	}
	return adoptions
}

// votesFor reports whether the host's vote for an epoch is valid.
func (s *supporter) votesFor(epoch uint64, now time.Duration) bool {
	return s.votes && s.generation >= epoch && s.echo > 0 && now < s.echo+VoteTTL
}

// settledIn reports whether the host has known an epoch for so long that its votes for
// earlier owners have expired.
func (s *supporter) settledIn(epoch uint64, now time.Duration) bool {
	for _, a := range s.adoptions {
		if a.generation >= epoch {
			return now-a.at >= VoteTTL
		}
	}
	return false
}

// cedesAt reports whether the host leaves its local share to an owner that has been granting
// tokens since grantingSince.
func (s *supporter) cedesAt(now, grantingSince time.Duration) bool {
	return s.echo > grantingSince && now < s.echo+CedeTTL
}

// voters returns, by group, the hosts whose requests count as votes.
func voters(hosts []string) [voterGroupCount][]string {
	var groups [voterGroupCount][]string
	for i := range groups {
		order := catkinrun.RendezvousOrder(RowKey+"/voters/"+strconv.Itoa(i), hosts)
		groups[i] = order[:min(len(order), maxVoters)]
	}
	return groups
}

// voterGroup returns the group that votes for the owner of a shard.
func voterGroup(shard int) int { return shard % voterGroupCount }
