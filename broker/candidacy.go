package broker

import (
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// confirmFailure is how long an owner must have failed for a voter that agrees to replace it:
// voters notice a failure later than the candidate by the time between two token requests.
const confirmFailure = ownerTimeout / 2

// candidacy collects the voters' answers to a daemon that is about to replace owners. Without a
// majority it could not grant tokens, and a daemon that is cut off from the others would take the
// shards from owners that serve everybody else.
type candidacy struct {
	shards  ShardSet                  // shards to claim
	certain ShardSet                  // those whose owner has certainly ended, which no voter has to confirm
	voters  [voterGroupCount][]string // hosts
	agreed  [ShardCount]int           // voters that agree, by shard
	members map[string]Owner          // voters to ask, by host
	answers chan answer               // of the voters
	ask     Ask                       // sends a request to a voter
	request *TokenRequest             // to each voter
}

// answer is the response of one voter.
type answer struct {
	host     string
	response *TokenResponse // nil without one
}

// voterPoll asks one voter.
type voterPoll struct {
	candidacy *candidacy
	voter     Owner
}

func (p *voterPoll) run(ctx context.Context) {
	response, err := p.candidacy.ask(ctx, p.voter, p.candidacy.request)
	if err != nil {
		response = nil
	}
	p.candidacy.answers <- answer{host: p.voter.Host, response: response}
}

// confirmClaim returns those of the shards that this daemon should claim for which a majority of the
// voters responds to it and agrees. The shards of an earlier start on this host need no
// majority, since no other daemon can have taken them.
func (b *Broker) confirmClaim(ctx context.Context, members []catkinrun.Member, shards ShardSet) ShardSet {
	b.mu.Lock()
	var own ShardSet
	for _, owner := range b.assignment.Owners {
		if owner.Host == b.self.Host {
			own |= b.assignment.OwnedBy(owner) & shards
		}
	}
	c := b.newCandidacyLocked(members, shards.Without(own))
	b.mu.Unlock()
	if c.shards == 0 {
		return own
	}
	confirmed := c.poll(ctx, b)
	if confirmed == 0 && b.isFirstRefusal(c.request.Generation) {
		b.log.WithFields(logrus.Fields{"shards": c.shards.Len(), "generation": c.request.Generation}).
			Info("broker: owner not replaced, a majority of the voters does not respond or finds that the owner serves it")
	}
	return own | confirmed
}

// isFirstRefusal reports whether the voters have not refused to replace an owner in a generation before,
// so that a host that is cut off logs it once.
func (b *Broker) isFirstRefusal(generation uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.refusedIn != generation
	b.refusedIn = generation
	return first
}

func (b *Broker) newCandidacyLocked(members []catkinrun.Member, shards ShardSet) *candidacy {
	b.updateHostsLocked()
	c := &candidacy{
		shards: shards, voters: b.voters, members: make(map[string]Owner), ask: b.ask,
		request: &TokenRequest{Host: b.self.Host, Generation: b.assignment.Generation, Candidate: true},
	}
	failing := ShardSet(0) // shards whose owner does not respond, but may not have ended
	for _, owner := range b.assignment.Owners {
		if !b.hasEndedLocked(members, owner) && b.failureTimeLocked(owner) > 0 {
			failing |= b.assignment.OwnedBy(owner)
		}
	}
	c.certain = shards.Without(failing)
	for _, m := range members {
		if b.isVoterLocked(m.Host) && m.Host != b.self.Host {
			c.members[m.Host] = Owner{Host: m.Host, Peer: m.Peer, Incarnation: m.Incarnation}
		}
	}
	c.answers = make(chan answer, len(c.members))
	c.count(b.self.Host, allShards)
	return c
}

// poll asks the voters until a majority has agreed to every shard, all have responded or the time
// for it is over. It returns the shards to which a majority has agreed, none if a voter knows a later
// assignment.
func (c *candidacy) poll(ctx context.Context, b *Broker) ShardSet {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	var polls sync.WaitGroup
	defer polls.Wait()
	defer cancel()
	for _, voter := range c.members {
		p := &voterPoll{candidacy: c, voter: voter}
		polls.Go(func() { p.run(ctx) })
	}
	for range c.members {
		if c.confirmed() == c.shards {
			break
		}
		select {
		case a := <-c.answers:
			if a.response == nil {
				continue
			}
			if a.response.Assignment != nil {
				b.ApplyAssignment(*a.response.Assignment)
				return 0
			}
			if answering := a.response.Host; answering != "" && answering != a.host {
				continue // another host has the voter's address now
			}
			c.count(a.host, c.certain|a.response.Failed)
		case <-ctx.Done():
			return c.confirmed()
		}
	}
	return c.confirmed()
}

// count counts a voter that agrees to claim some of the shards.
func (c *candidacy) count(host string, agreed ShardSet) {
	for shard := range ShardCount {
		if agreed.Has(shard) && slices.Contains(c.voters[voterGroup(shard)], host) {
			c.agreed[shard]++
		}
	}
}

// confirmed returns the shards to which a majority has agreed.
func (c *candidacy) confirmed() ShardSet {
	var confirmed ShardSet
	for shard := range ShardCount {
		if c.shards.Has(shard) && 2*c.agreed[shard] > len(c.voters[voterGroup(shard)]) {
			confirmed = confirmed.With(shard)
		}
	}
	return confirmed
}
