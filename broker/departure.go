package broker

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// minGoneTimeout is how long a host must have sent nothing before its member row is removed. It is
	// longer than the restart of a host, and than most partitions.
	minGoneTimeout = 30 * time.Second
	// goneTimePerHost lengthens it in a large fleet, to three times the interval at which a host there
	// requests tokens.
	goneTimePerHost = 6 * time.Millisecond
	// departureInterval is the least time between two removals. The voters change by one at a time, so
	// that a majority before a removal has a host in common with each majority after it.
	departureInterval = time.Second
)

// lastSign is the last sign of life of a host: a request of its daemon, or a change of its row.
type lastSign struct {
	at       time.Duration // reading of this daemon's clock
	revision catkinrun.Revision
}

// removeDeparted removes the row of one host that has been silent for long. Hosts that never
// return would count as voters and reserve local shares for ever. Only an owner that has the majority
// of every group of voters does so, so that a minority that is cut off never removes the others.
// A host that is alive writes its row again.
func (b *Broker) removeDeparted(ctx context.Context) {
	b.mu.Lock()
	row, host, ok := b.departedLocked(b.elapsed())
	b.mu.Unlock()
	if !ok {
		return
	}
	page, err := b.store.Commit(ctx, catkinrun.Transaction{
		Preconditions: []catkinrun.Precondition{{Table: b.table, Key: row.Key, Revision: row.Revision}},
		Writes:        []catkinrun.Write{{Table: b.table, Key: row.Key, Delete: true}},
	})
	if err != nil {
		b.log.WithError(err).WithField("host", host).Info("broker: row of a silent host not removed")
		return
	}
	b.log.WithFields(logrus.Fields{"host": host, "revision": row.Revision}).Info("broker: row of a silent host removed")
	b.members.Apply(catkinrun.Page{Rows: []catkinrun.Row{{Key: row.Key, Revision: page.Revision, Deleted: true}}}, false)
}

// goneTimeoutLocked returns how long a host must have been silent.
func (b *Broker) goneTimeoutLocked() time.Duration {
	return max(minGoneTimeout, time.Duration(len(b.hosts))*goneTimePerHost)
}

// departedLocked records the signs of life, and returns the row of a host whose last one is long ago.
func (b *Broker) departedLocked(now time.Duration) (row catkinrun.Row, host string, ok bool) {
	if owner, _ := b.assignment.Owner(0); owner != b.self {
		b.signs = nil
		return row, "", false
	}
	if now-b.departedAt < departureInterval {
		return row, "", false
	}
	b.departedAt = now
	b.updateHostsLocked()
	signs := make(map[string]lastSign, len(b.hosts))
	for _, h := range b.hosts {
		current := b.members.Row(h)
		sign, known := b.signs[h]
		if !known || sign.revision != current.Revision {
			sign = lastSign{at: now, revision: current.Revision}
		}
		if s := b.supporters[h]; s != nil {
			sign.at = max(sign.at, s.heardAt)
		}
		signs[h] = sign
		if h != b.self.Host && now-sign.at >= b.goneTimeoutLocked() && current.Revision > 0 {
			row, host, ok = current, h, true
		}
	}
	b.signs = signs
	return row, host, ok && b.presidesLocked(now)
}

// presidesLocked reports whether this daemon has granted the tokens of the first shard for as long as
// a host must be silent, and has the majority of every group of voters.
func (b *Broker) presidesLocked(now time.Duration) bool {
	l, granting := b.ledgers[0]
	if !granting || now-l.grantingSince < b.goneTimeoutLocked() {
		return false
	}
	for group := range voterGroupCount {
		if !b.hasMajorityLocked(majority{group: group, epoch: b.assignment.Epoch(0), formerStopped: true}, now) {
			return false
		}
	}
	return true
}
