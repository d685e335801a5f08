package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
)

type verify struct {
	parts *Parts
}

func newVerify(p *Parts) catkinrun.Filter { return &verify{parts: p} }

// Process checks the request once more by this daemon's configuration if it is newer
// than the entry daemon's, which may have been paused or cut off. If it is older, this
// daemon has something to learn.
func (f *verify) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if err := c.Envelope.Validate(); err != nil {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, err.Error())
	}
	snapshot := f.parts.Configurer.Snapshot()
	if c.Envelope.Version > snapshot.Version() {
		f.parts.Syncer.Saw(c.Envelope.Entry, c.Envelope.Version)
	}
	if c.Envelope.Version < snapshot.Version() && !permits(snapshot, c) {
		return refuseLater(catkinrun.ReasonStale, "a newer configuration does not allow the request")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Envelope.TimeLeft+answerGrace)
	return until(ctx, cancel, c, next)
}

// permits reports whether a configuration lets the request run as its envelope says.
func permits(s *catkinrun.Snapshot, c *catkinrun.Call) bool {
	r, ok := s.Match(c.Domain, c.URL.Path)
	if !ok || !r.Route.Serves(c.Envelope.Service) {
		return false
	}
	return r.Route.Open || !s.HasTeams() || s.HoldsKey(c.Envelope.Team, c.Envelope.KeyMark)
}
