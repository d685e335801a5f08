package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/authenticator"
	"github.com/catkinrun/catkinrun/replicator"
)

type authenticate struct {
	replica *replicator.Replica
}

func newAuthenticate(p *Parts) catkinrun.Filter { return &authenticate{replica: p.Replica} }

// Process finds the team of the caller's key. Open routes need no key; all others
// need a current configuration, since an old one may hold a withdrawn key.
func (f *authenticate) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	secret := c.Secret
	c.Secret = ""
	dedupeKey := c.Envelope.DedupeKey
	c.Envelope.DedupeKey = "" // of a team only, so that no caller gets another's answer
	snapshot, current := f.replica.Current()
	if !current {
		if c.Open {
			return next(ctx, c)
		}
		return refuseLater(catkinrun.ReasonStale, "this host has no current proof of its configuration")
	}
	key, ok := authenticator.Check(snapshot, secret)
	switch {
	case ok:
		c.Envelope.KeyID = key.Name
		c.Envelope.Team = key.Key.Team
		c.Envelope.DedupeKey = bindDedupeKey(key.Key.Team, dedupeKey)
	case !c.Open:
		return refuse(http.StatusUnauthorized, catkinrun.ReasonKey, "the key is unknown or withdrawn")
	}
	return next(ctx, c)
}

// bindDedupeKey sets a key apart from the same key of other teams.
func bindDedupeKey(team, key string) string {
	if key == "" || team == "" {
		return ""
	}
	return team + " " + key
}
