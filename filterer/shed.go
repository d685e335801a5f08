package filterer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// shedRetryAfterFraction is the fraction of the objective after which the caller of a shed
// request may send it again, so that the second request can still meet the objective.
const shedRetryAfterFraction = 0.4

type shed struct {
	deps *Dependencies
}

func newShed(deps *Dependencies) catkinrun.Filter { return &shed{deps: deps} }

// Process sheds new requests if the servers of their route, or servers that those call, lack
// spare capacity, before any server processes the requests. It never sheds downstream calls;
// it attributes them to their most likely parent requests.
func (f *shed) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	deps := f.deps
	route := c.Envelope.Route
	if c.Envelope.Downstream {
		parent := deps.Correlator.Attribute(route, c.StartedAt, c.TimeLeft)
		c.Envelope.ParentClass, c.Envelope.Weight, c.Envelope.FromRetry = parent.Class, parent.Weight, parent.Retry
		return next(ctx, c)
	}
	shouldShed, pressure := deps.Shedder.ShouldShed(route, c.Envelope.Class())
	if shouldShed {
		deps.Journal.LogFailed(logrus.Fields{
			"request": c.Envelope.Request, "route": route, "class": c.Envelope.Class(), "pressure": pressure,
		}, "shed: request refused for lack of spare capacity downstream")
		refusal := refuseTemporarily(catkinrun.ReasonOverload, "downstream servers lack spare capacity")
		refusal.RetryAfter = shedRetryAfter(c.Route)
		return refusal
	}
	c.Envelope.Weight = 1 / (1 - pressure)
	return next(ctx, c)
}

// shedRetryAfter returns the Retry-After of a shed request.
func shedRetryAfter(r *catkinrun.Route) time.Duration {
	return time.Duration(shedRetryAfterFraction * float64(objectiveOf(r)))
}
