package filterer

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/limiter"
)

// tokenTimeout is the longest wait for a token: two exchanges with the owner across
// availability zones.
const tokenTimeout = 30 * time.Millisecond

// rateRetryAfterFraction is the fraction of the objective that sets the shortest
// Retry-After for a team above its rate. Tokens arrive evenly, so an early attempt may
// find one.
const rateRetryAfterFraction = 0.2

type limit struct {
	limiter *limiter.Limiter
}

func newLimit(deps *Dependencies) catkinrun.Filter { return &limit{limiter: deps.Limiter} }

// Process takes a token of the team's rate. Requests without a team have no rate limit;
// only admission at the servers bounds them.
func (f *limit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if c.Envelope.Team != "" {
		if err := f.limiter.Take(ctx, c.Envelope.Team, tokenTimeout); err != nil {
			refusal := *asRefusal(err)
			refusal.RetryAfter = max(refusal.RetryAfter, time.Duration(rateRetryAfterFraction*float64(objectiveOf(c.Route))))
			return &refusal
		}
	}
	return next(ctx, c)
}
