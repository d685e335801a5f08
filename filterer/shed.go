package filterer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// comeBackPart is the part of the objective after which a refused caller is asked to
// try again, so that its second attempt can still meet it.
const comeBackPart = 0.4

type shed struct {
	parts *Parts
}

func newShed(p *Parts) catkinrun.Filter { return &shed{parts: p} }

// Process refuses new requests whose servers, or those that these call, are short of
// room, before any work is done for them. Calls of running requests pass.
func (f *shed) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	p := f.parts
	route := c.Envelope.Route
	if c.Envelope.Call {
		run := p.Learner.Called(route, c.StartedAt, c.TimeLeft)
		c.Envelope.Parent, c.Envelope.Weight, c.Envelope.Inherited = run.Class, run.Weight, run.Repeat
		return next(ctx, c)
	}
	refused, pressure := p.Leveler.Refuses(route, c.Envelope.Class())
	if refused {
		p.Journal.Failed(logrus.Fields{
			"request": c.Envelope.Request, "route": route, "class": c.Envelope.Class(), "pressure": pressure,
		}, "shed: request refused for servers further down")
		refusal := refuseLater(catkinrun.ReasonOverload, "servers further down are short of room")
		refusal.RetryAfter = comeBack(c.Route)
		return refusal
	}
	c.Envelope.Weight = 1 / (1 - pressure)
	return next(ctx, c)
}

// comeBack returns the wait told to a caller that was refused for lack of room.
func comeBack(r *catkinrun.Route) time.Duration {
	return time.Duration(comeBackPart * float64(objectiveOf(r)))
}
