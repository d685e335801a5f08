package daemon

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/messenger"
)

// Share implements limiter.Sharer. The own broker is asked without a message.
func (d *Daemon) Share(ctx context.Context, host string, ask *broker.Ask) (*broker.Answer, error) {
	if host == d.settings.Host {
		return d.broker.Share(ctx, ask)
	}
	return callHost[broker.Ask, broker.Answer](ctx, d, host, broker.Procedure, ask)
}

// Claim implements deduplicator.Peers.
func (d *Daemon) Claim(ctx context.Context, host string, c *deduplicator.Claim) (*deduplicator.ClaimAnswer, error) {
	return callHost[deduplicator.Claim, deduplicator.ClaimAnswer](ctx, d, host, deduplicator.ClaimProcedure, c)
}

// Sync implements deduplicator.Peers.
func (d *Daemon) Sync(ctx context.Context, host string, s *deduplicator.Sync) (*deduplicator.SyncAnswer, error) {
	return callHost[deduplicator.Sync, deduplicator.SyncAnswer](ctx, d, host, deduplicator.SyncProcedure, s)
}

// callHost sends a message to a host of the roster.
func callHost[Q, A any](ctx context.Context, d *Daemon, host, procedure string, message *Q) (*A, error) {
	entry, ok := d.replica.Snapshot().Host(host)
	if !ok {
		return nil, &catkinrun.NotFoundError{Kind: "host", Name: host}
	}
	return messenger.Call[Q, A](ctx, d.peers, entry.Peer, procedure, message)
}

// part returns the logger of one part, whose debug lines the settings may switch on.
func (d *Daemon) part(name string) logrus.FieldLogger {
	for _, debugged := range d.settings.Log.Debug {
		if debugged == name || debugged == "all" {
			return &logrus.Logger{
				Out: d.log.Out, Formatter: d.log.Formatter, Hooks: d.log.Hooks,
				Level: logrus.DebugLevel, ExitFunc: d.log.ExitFunc,
			}
		}
	}
	return d.log
}
