package filterer

import (
	"context"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/limiter"
)

type limit struct {
	limiter *limiter.Limiter
}

func newLimit(p *Parts) catkinrun.Filter { return &limit{limiter: p.Limiter} }

// Process takes a token of the team's share. Anonymous requests have no rate; the
// servers' admission alone bounds them.
func (f *limit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if c.Envelope.Team != "" {
		if err := f.limiter.Take(ctx, c.Envelope.Team, c.Envelope.Priority); err != nil {
			return err
		}
	}
	return next(ctx, c)
}
