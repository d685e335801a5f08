package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/configurer"
)

type authenticate struct {
	configurer *configurer.Configurer
}

func newAuthenticate(deps *Dependencies) catkinrun.Filter {
	return &authenticate{configurer: deps.Configurer}
}

// Process identifies the caller and, with the team known, sets the request's fingerprint.
func (f *authenticate) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if err := f.identify(c); err != nil {
		return err
	}
	c.Envelope.Fingerprint = catkinrun.NewFingerprint(c)
	return next(ctx, c)
}

// identify finds the team that holds the caller's key and removes the key. Open routes need no key; a
// request without a key on an open route is a downstream call. It fails with *catkinrun.Refusal.
func (f *authenticate) identify(c *catkinrun.Call) error {
	key := c.CallerKey
	c.CallerKey = ""
	snapshot := f.configurer.Snapshot()
	if !snapshot.HasTeams() {
		return nil
	}
	name, ok := snapshot.TeamOfKey(key)
	switch {
	case ok:
		c.Envelope.Team = name
		c.Envelope.KeyHash = catkinrun.HashKey(key)
		if team, _ := snapshot.Team(name); team.Priority != nil {
			c.Envelope.TeamPriority = *team.Priority
		}
	case !c.Route.Open && key == "":
		return refuse(http.StatusUnauthorized, catkinrun.ReasonKey, "the request has no key")
	case !c.Route.Open:
		return refuse(http.StatusUnauthorized, catkinrun.ReasonKey, "the key is unknown or withdrawn")
	default:
		c.Envelope.Downstream = key == ""
	}
	return nil
}
