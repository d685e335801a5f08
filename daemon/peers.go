package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/relayer"
)

// incarnationBytes is the length of the random identifier of a daemon's start, enough to
// make it unique.
const incarnationBytes = 8

func newIncarnation() string {
	raw := make([]byte, incarnationBytes)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// Assignment implements limiter.Client.
func (d *Daemon) Assignment() (assignment broker.Assignment, changed <-chan struct{}) {
	return d.broker.Assignment()
}

// RecordResponse implements limiter.Client.
func (d *Daemon) RecordResponse(owner broker.Owner, response *broker.TokenResponse, err error) {
	d.broker.RecordResponse(owner, response, err)
}

// Standing implements limiter.Client.
func (d *Daemon) Standing() broker.Standing { return d.broker.Standing() }

// RequestTokens implements limiter.Client. If this daemon is the owner, it calls its own
// broker directly.
func (d *Daemon) RequestTokens(ctx context.Context, owner broker.Owner, request *broker.TokenRequest) (*broker.TokenResponse, error) {
	if owner.Host == d.settings.Host {
		return d.broker.GrantTokens(ctx, request)
	}
	return messenger.Call[broker.TokenRequest, broker.TokenResponse](ctx, d.peerClient, owner.Peer, broker.Procedure, request)
}

// askWatcher implements relayer.Ask.
func (d *Daemon) askWatcher(ctx context.Context, watcher catkinrun.Member, request *relayer.Request) (*relayer.Response, error) {
	return messenger.Call[relayer.Request, relayer.Response](ctx, d.peerClient, watcher.Peer, relayer.Procedure, request)
}
