package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
)

type verify struct {
	deps *Dependencies
}

func newVerify(deps *Dependencies) catkinrun.Filter { return &verify{deps: deps} }

// Process checks the envelope. The entry daemon may have been paused or cut off: if its
// configuration is older than this daemon's, this daemon's must allow the request too. If
// the entry daemon's configuration is newer, the syncer requests it from that daemon.
func (f *verify) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if err := c.Envelope.Validate(); err != nil {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, err.Error())
	}
	snapshot := f.deps.Configurer.Snapshot()
	if c.Envelope.Version > snapshot.Version() {
		f.deps.Syncer.ObserveVersion(c.Envelope.EntryAddress, c.Envelope.Version)
	}
	if c.Envelope.Version < snapshot.Version() && !permits(snapshot, c) {
		return refuseTemporarily(catkinrun.ReasonStale, "a newer configuration does not allow the request")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Envelope.TimeLeft+responseGracePeriod)
	return cancelAfterResponse(ctx, cancel, c, next)
}

// permits reports whether a configuration allows the request with the service, team and key
// in its envelope.
func permits(s *catkinrun.Snapshot, c *catkinrun.Call) bool {
	r, ok := s.Match(c.Domain, c.URL.Path)
	if !ok || !r.Route.HasTarget(c.Envelope.Service) {
		return false
	}
	if c.Envelope.Team != "" { // on open routes too, since the server receives the team
		return s.HasKeyHash(c.Envelope.Team, c.Envelope.KeyHash)
	}
	return r.Route.Open || !s.HasTeams()
}
