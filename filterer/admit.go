package filterer

import (
	"context"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/registrar"
)

type admit struct {
	admitter  *admitter.Admitter
	registrar *registrar.Registrar
	clock     catkinrun.Clock
}

func newAdmit(p *Parts) catkinrun.Filter {
	return &admit{admitter: p.Admitter, registrar: p.Registrar, clock: p.Clock}
}

// Process waits for a slot of the server and holds it until the answer has arrived.
func (f *admit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	server, open := f.registrar.Server()
	if !open || server.Service != c.Service && c.Service != "" {
		return refuseLater(catkinrun.ReasonLeaving, "the server takes no new work")
	}
	f.admitter.SetSlots(server.Slots)
	if err := f.admitter.Acquire(ctx, c.Envelope); err != nil {
		return err
	}
	startedAt := f.clock.Now()
	err := next(ctx, c)
	if err != nil {
		f.admitter.Release(c.Envelope.Route, 0)
		return err
	}
	c.Answer.OnEnd(func(bool) {
		f.admitter.Release(c.Envelope.Route, f.clock.Now().Sub(startedAt))
	})
	state := f.admitter.State()
	c.Answer.Level = max(c.Answer.Level, state.Level)
	c.Answer.Load = state.Load
	return nil
}
