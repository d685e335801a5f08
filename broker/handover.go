package broker

import "context"

// confirmFormerOwners asks the former owners of this daemon's shards to stop granting tokens,
// until it is certain that they have stopped or the wait for their votes to expire is over.
func (b *Broker) confirmFormerOwners(ctx context.Context) {
	b.mu.Lock()
	assignment := b.assignment
	var former []Owner
	for owner, shards := range b.unconfirmed {
		if shards.Without(b.ready) == 0 {
			delete(b.unconfirmed, owner)
			continue
		}
		former = append(former, owner)
	}
	b.mu.Unlock()
	for _, owner := range former {
		stopped, handover := b.confirmStopped(ctx, owner, assignment)
		b.recordStopped(owner, assignment, stopped, handover)
	}
}

// confirmStopped asks a former owner to stop granting tokens of the shards that the assignment
// gives to this daemon. It returns the shards for which that is certain, because the former
// owner's response confirms it or its process has ended, and the tokens that it hands over.
func (b *Broker) confirmStopped(ctx context.Context, former Owner, assignment Assignment) (stopped ShardSet, handover []Grant) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	response, err := b.ask(ctx, former, &TokenRequest{
		Host: b.self.Host, Incarnation: b.self.Incarnation, Generation: assignment.Generation, Assignment: &assignment,
	})
	switch {
	case ProcessEnded(former, response, err):
		return allShards, nil
	case err != nil || response.Generation < assignment.Generation:
		return 0, nil
	}
	return allShards.Without(response.Ready), response.Handover
}

// recordStopped records the shards of which a former owner has stopped granting tokens, and
// the tokens that it has handed over.
func (b *Broker) recordStopped(former Owner, assignment Assignment, stopped ShardSet, handover []Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.assignment.Generation != assignment.Generation {
		return
	}
	for _, grant := range handover {
		if shard := ShardOf(grant.Team); stopped.Has(shard) && b.unconfirmed[former].Has(shard) {
			b.handedOver[grant.Team] = grant.Tokens
		}
	}
	b.unconfirmed[former] = b.unconfirmed[former].Without(stopped)
}
