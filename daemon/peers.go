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

// incarnationBytes is the length of the random identifier of a daemon's start, enough to
// make it unique.
const incarnationBytes = 8

func newIncarnation() string {
	raw := make([]byte, incarnationBytes)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// Owner implements limiter.OwnerClient.
func (d *Daemon) Owner() broker.Owner { return d.broker.Owner() }

// RecordResponse implements limiter.OwnerClient.
func (d *Daemon) RecordResponse(epoch catkinrun.Revision, response *broker.TokenResponse) {
	d.broker.RecordResponse(epoch, response)
}

// RequestTokens implements limiter.OwnerClient. If this daemon is the owner, it calls its own
// broker directly.
func (d *Daemon) RequestTokens(ctx context.Context, owner broker.Owner, request *broker.TokenRequest) (*broker.TokenResponse, error) {
	if owner.Host == d.settings.Host {
		return d.broker.GrantTokens(ctx, request)
	}
	return messenger.Call[broker.TokenRequest, broker.TokenResponse](ctx, d.peerClient, owner.Peer, broker.Procedure, request)
}

// ownerStopTimeout bounds the request to an earlier owner. It allows for two
// trips across a region.
const ownerStopTimeout = 300 * time.Millisecond

// ownerStopped implements broker.ConfirmStopped.
func (d *Daemon) ownerStopped(ctx context.Context, earlier broker.Owner, epoch catkinrun.Revision) bool {
	if earlier.Host == d.settings.Host {
		return true // an earlier start of this daemon
	}
	ctx, cancel := context.WithTimeout(ctx, ownerStopTimeout)
	defer cancel()
	response, err := d.RequestTokens(ctx, earlier, &broker.TokenRequest{Host: d.settings.Host, Epoch: epoch})
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return response.Incarnation != earlier.Incarnation || !response.Ready
}
