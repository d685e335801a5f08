package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/authenticator"
	"github.com/catkinrun/catkinrun/replicator"
)

type verify struct {
	replica *replicator.Replica
}

func newVerify(p *Parts) catkinrun.Filter { return &verify{replica: p.Replica} }

// Process looks the key up once more at the serving host, so that an entry daemon
// which was paused between its check and its sending cannot run work on a withdrawn
// key. The request's time limit applies here too.
func (f *verify) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if err := c.Envelope.Validate(); err != nil {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, err.Error())
	}
	snapshot, current := f.replica.Current()
	if err := f.checkKey(c, snapshot, current); err != nil {
		return err
	}
	if route, ok := snapshot.Get(catkinrun.KindRoute, c.Envelope.Route); ok {
		c.Service = route.Route.Service
	}
	ctx, cancel := context.WithTimeout(ctx, c.Envelope.TimeLeft)
	return until(ctx, cancel, c, next)
}

func (f *verify) checkKey(c *catkinrun.Call, s *catkinrun.Snapshot, current bool) error {
	if c.Envelope.KeyID == "" {
		return f.checkOpen(c, s)
	}
	if !current {
		return refuseLater(catkinrun.ReasonStale, "the serving host has no current proof of its configuration")
	}
	if !authenticator.Valid(s, c.Envelope.KeyID, c.Envelope.Team) {
		return refuse(http.StatusUnauthorized, catkinrun.ReasonKey, "the key is unknown or withdrawn")
	}
	return nil
}

func (f *verify) checkOpen(c *catkinrun.Call, s *catkinrun.Snapshot) error {
	route, ok := s.Match(c.Method, c.URL.Path)
	if !ok || !route.Route.Open {
		return refuse(http.StatusUnauthorized, catkinrun.ReasonKey, "the route needs a key")
	}
	return nil
}
