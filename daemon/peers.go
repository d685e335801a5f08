package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"

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
func (d *Daemon) Answered(epoch catkinrun.Revision, ok bool) { d.broker.Answered(epoch, ok) }

// Ask implements limiter.Asker. The own broker is asked without a message.
func (d *Daemon) Ask(ctx context.Context, owner broker.Owner, ask *broker.Ask) (*broker.Answer, error) {
	if owner.Host == d.settings.Host {
		return d.broker.Deal(ctx, ask)
	}
	return messenger.Call[broker.Ask, broker.Answer](ctx, d.peers, owner.Peer, broker.Procedure, ask)
}
