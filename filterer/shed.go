package filterer

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/leveler"
)

type shed struct {
	leveler *leveler.Leveler
	log     logrus.FieldLogger
}

func newShed(p *Parts) catkinrun.Filter { return &shed{leveler: p.Leveler, log: p.Log} }

// Process refuses a request whose rank is below the admission level that answers
// of its route brought back, before any work is done for it.
func (f *shed) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	level := f.leveler.Level(c.Envelope.Route)
	if rank := c.Envelope.Rank(); rank < level {
		f.log.WithFields(logrus.Fields{
			"request": c.Envelope.Request, "route": c.Envelope.Route, "rank": rank, "level": level,
		}).Debug("shed: request refused for a server further down")
		return refuseLater(catkinrun.ReasonOverload, "servers further down shed requests of this rank").WithLevel(level)
	}
	err := next(ctx, c)
	if err == nil && c.Answer != nil {
		f.leveler.Set(c.Envelope.Route, c.Answer.Level)
	}
	if level := levelOf(err); level > 0 {
		f.leveler.Set(c.Envelope.Route, level)
	}
	return err
}
