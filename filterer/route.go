package filterer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/replicator"
	"github.com/catkinrun/catkinrun/router"
)

type route struct {
	replica *replicator.Replica
	router  *router.Router
}

func newRoute(p *Parts) catkinrun.Filter { return &route{replica: p.Replica, router: p.Router} }

// Process chooses the host: for a request with an idempotency key the owner of the
// key, so that record and run cannot be parted; else by load.
func (f *route) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	host, ok := f.choose(c)
	if !ok {
		return refuseLater(catkinrun.ReasonNoServer, "no backend server of "+c.Service+" is ready")
	}
	c.Target = host
	f.router.Started(host)
	err := next(ctx, c)
	if err != nil {
		f.failed(host, err)
		return err
	}
	f.router.Ended(host, false, c.Answer.Load)
	return nil
}

func (f *route) choose(c *catkinrun.Call) (string, bool) {
	if !deduplicated(c.Envelope) {
		return f.router.Pick(c.Service, c.Tried)
	}
	holders := deduplicator.Holders(c.Envelope.DedupeKey, f.replica.Snapshot().View(c.Service).Hosts)
	if len(holders) == 0 {
		return "", false
	}
	return holders[0], true
}

// deduplicated reports whether a request runs at its key's owner.
func deduplicated(e catkinrun.Envelope) bool { return e.DedupeKey != "" && !e.Idempotent }

// failed counts a failure against the host if the host caused it.
func (f *route) failed(host string, err error) {
	var refusal *catkinrun.Refusal
	fault := false
	load := float64(unknownLoad)
	if errors.As(err, &refusal) {
		switch refusal.Reason {
		case catkinrun.ReasonUnreachable, catkinrun.ReasonBroken:
			fault = true
		case catkinrun.ReasonOverload:
			load = fullLoad
		case catkinrun.ReasonLeaving, catkinrun.ReasonNoServer:
			f.router.Left(host)
		}
	}
	f.router.Ended(host, fault, load)
}

const (
	// unknownLoad says that no load was reported.
	unknownLoad = -1
	// fullLoad is the load of a server that sheds: its slots and its queue are full.
	fullLoad = 2
)
