package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/messenger"
)

// incarnationBytes makes the names of a daemon's starts unique.
const incarnationBytes = 8

func newIncarnation() string {
	raw := make([]byte, incarnationBytes)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// Owner implements limiter.Asker.
func (d *Daemon) Owner() broker.Owner { return d.broker.Owner() }

// Answered implements limiter.Asker.
func (d *Daemon) Answered(epoch catkinrun.Revision, answer *broker.Answer) {
	d.broker.Answered(epoch, answer)
}

// Ask implements limiter.Asker. The own broker is asked without a message.
func (d *Daemon) Ask(ctx context.Context, owner broker.Owner, ask *broker.Ask) (*broker.Answer, error) {
	if owner.Host == d.settings.Host {
		return d.broker.Deal(ctx, ask)
	}
	return messenger.Call[broker.Ask, broker.Answer](ctx, d.peers, owner.Peer, broker.Procedure, ask)
}

// stopTimeout bounds the question to an earlier owner: two crossings of a region.
const stopTimeout = 300 * time.Millisecond

// stopped implements broker.Predecessor.
func (d *Daemon) stopped(ctx context.Context, earlier broker.Owner, epoch catkinrun.Revision) bool {
	if earlier.Host == d.settings.Host {
		return true // an earlier start of this daemon
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	answer, err := d.Ask(ctx, earlier, &broker.Ask{Host: d.settings.Host, Epoch: epoch})
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return answer.Incarnation != earlier.Incarnation || !answer.Ready
}
