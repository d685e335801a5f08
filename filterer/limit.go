package filterer

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/limiter"
)

// limitPatience is the longest wait for a token: an exchange with the owner of the
// team's rate, twice, across availability zones.
const limitPatience = 30 * time.Millisecond

// rateBackPart is the part of the objective after which a caller whose team is above its
// rate is asked to try again: tokens come evenly, so that an early try may find one.
const rateBackPart = 0.2

type limit struct {
	limiter *limiter.Limiter
}

func newLimit(p *Parts) catkinrun.Filter { return &limit{limiter: p.Limiter} }

// Process takes a token of the team's rate. Requests without a team have no rate; the
// servers' admission alone bounds them.
func (f *limit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if c.Envelope.Team != "" {
		if err := f.limiter.Take(ctx, c.Envelope.Team, limitPatience); err != nil {
			refusal := *asRefusal(err)
			refusal.RetryAfter = max(refusal.RetryAfter, time.Duration(rateBackPart*float64(objectiveOf(c.Route))))
			return &refusal
		}
	}
	return next(ctx, c)
}
