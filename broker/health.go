package broker

import (
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
)

// ownerHealth is what this daemon has seen of one owner.
type ownerHealth struct {
	owner        Owner
	failingSince time.Time // since when the owner has not responded, zero if it responds
	gone         bool      // its process has ended
	unreadySince time.Time // since when it has not been ready for all of its shards, zero if it is
	granted      ShardSet  // shards of which it has granted tokens under the epochs in force
}

// RecordResponse records the response of an owner to a token request of this daemon, or the
// error with which the request failed.
func (b *Broker) RecordResponse(owner Owner, response *TokenResponse, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if response != nil && response.Assignment != nil {
		b.applyLocked(*response.Assignment)
	}
	owned := b.assignment.OwnedBy(owner)
	if owned == 0 {
		return
	}
	h := b.healthLocked(owner)
	now := b.clock.Now()
	h.gone = ProcessEnded(owner, response, err)
	trackSince(&h.failingSince, now, response == nil || h.gone)
	var ready ShardSet
	if response != nil && !h.gone && response.Generation == b.assignment.Generation {
		ready = response.Ready
	}
	h.granted |= ready & owned
	trackSince(&h.unreadySince, now, owned.Without(ready) != 0)
	if h.gone {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
}

// ProcessEnded reports whether an owner's process has certainly ended: its host refuses
// connections, or another start of the daemon responds. An owner resigns before it refuses
// connections.
func ProcessEnded(owner Owner, response *TokenResponse, err error) bool {
	if response == nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return response.Incarnation != owner.Incarnation
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

func (b *Broker) healthLocked(owner Owner) *ownerHealth {
	h, ok := b.health[owner.Host]
	if !ok || h.owner != owner {
		h = &ownerHealth{owner: owner}
		b.health[owner.Host] = h
	}
	return h
}

// forgetEpochsLocked removes what is known of the former epochs of shards, and of daemons
// that own no shard any more.
func (b *Broker) forgetEpochsLocked(reassigned ShardSet) {
	for host, h := range b.health {
		h.granted = h.granted.Without(reassigned)
		if b.assignment.OwnedBy(h.owner) == 0 {
			delete(b.health, host)
		}
	}
}

// failureTimeLocked returns how long an owner has failed to respond to this daemon. An owner
// that responds but does not grant tokens counts as failed after unreadyTimeout.
func (b *Broker) failureTimeLocked(owner Owner) time.Duration {
	h, ok := b.health[owner.Host]
	if !ok || h.owner != owner {
		return 0
	}
	now := b.clock.Now()
	failure := time.Duration(0)
	if !h.failingSince.IsZero() {
		failure = now.Sub(h.failingSince)
	}
	if !h.unreadySince.IsZero() {
		failure = max(failure, now.Sub(h.unreadySince)-unreadyTimeout)
	}
	return failure
}

// hasEndedLocked reports whether an owner has certainly ended or is leaving. An owner that responds has not ended, even
// if its row is missing or names another start: rows may be late.
func (b *Broker) hasEndedLocked(members []catkinrun.Member, owner Owner) bool {
	i := slices.IndexFunc(members, func(m catkinrun.Member) bool { return m.Host == owner.Host && m.Incarnation == owner.Incarnation })
	if i < 0 && !b.respondsLocked(owner) {
		return true
	}
	return i >= 0 && members[i].Leaving || b.processEndedLocked(owner)
}

// respondsLocked reports whether the last token request of this daemon to an owner got a response from it.
func (b *Broker) respondsLocked(owner Owner) bool {
	h, ok := b.health[owner.Host]
	return ok && h.owner == owner && h.failingSince.IsZero()
}

// processEndedLocked reports whether a response, or a refused connection, showed that an owner's
// process has ended.
func (b *Broker) processEndedLocked(owner Owner) bool {
	h, ok := b.health[owner.Host]
	return ok && h.owner == owner && h.gone
}

// failedLocked returns the shards whose tokens this daemon does not get from their owner, for
// a candidate that asks for its consent.
func (b *Broker) failedLocked() ShardSet {
	var failed ShardSet
	for _, owner := range b.assignment.Owners {
		owned := b.assignment.OwnedBy(owner)
		switch {
		case owner == b.self:
			failed |= owned.Without(b.ready)
		case b.processEndedLocked(owner), b.failureTimeLocked(owner) >= confirmFailure:
			failed |= owned
		}
	}
	return failed
}
