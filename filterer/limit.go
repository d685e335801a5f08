package filterer

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/limiter"
)

const (
	// minTokenTimeout is the shortest wait for a token: two exchanges with the owner across
	// availability zones.
	minTokenTimeout = 30 * time.Millisecond
	// aboveRateFraction is the fraction of the objective for which a request of a team without
	// tokens waits. It absorbs short bursts; a longer wait would not help a team that stays
	// above its rate.
	aboveRateFraction = 0.125
	// noAnswerFraction is the fraction of the objective for which a request waits for the
	// owner's response. A failed owner is usually replaced within this time, and then most teams
	// have tokens.
	noAnswerFraction = 0.25
	// rateRetryAfterFraction is the fraction of the objective that sets the shortest
	// Retry-After for a team above its rate. Tokens arrive evenly, so an early attempt may
	// find one.
	rateRetryAfterFraction = 0.2
)

type limit struct {
	limiter *limiter.Limiter
}

func newLimit(deps *Dependencies) catkinrun.Filter { return &limit{limiter: deps.Limiter} }

// Process takes a token of the team's rate. Requests without a team have no rate limit;
// only admission at the servers bounds them.
func (f *limit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if c.Envelope.Team != "" {
		objective := float64(objectiveOf(c.Route))
		patience := limiter.Patience{
			AboveRate: max(minTokenTimeout, time.Duration(aboveRateFraction*objective)),
			NoAnswer:  max(minTokenTimeout, time.Duration(noAnswerFraction*objective)),
		}
		if err := f.limiter.Take(ctx, c.Envelope.Team, patience); err != nil {
			refusal := *asRefusal(err)
			refusal.RetryAfter = max(refusal.RetryAfter, time.Duration(rateRetryAfterFraction*objective))
			return &refusal
		}
	}
	return next(ctx, c)
}
