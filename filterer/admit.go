package filterer

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

type admit struct {
	parts *Parts
}

func newAdmit(p *Parts) catkinrun.Filter { return &admit{parts: p} }

// Process waits for a slot of the server and holds it until the response is complete or
// its stream is closed.
func (f *admit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	p := f.parts
	server, ok := p.serverFor(c)
	if !ok {
		f.log(c, server, "admit: the server accepts no new requests for the service")
		return refuseTemporarily(catkinrun.ReasonLeaving, "the server accepts no new requests for the service")
	}
	p.Admitter.SetServer(server.Slots, server.ColdLeft > 0)
	enteredAt := p.Clock.Now()
	if err := p.Admitter.Acquire(ctx, c.Envelope); err != nil {
		refusal := *asRefusal(err)
		pressure := f.pressure(c.Envelope.Route)
		refusal.Pressure = &pressure
		f.log(c, server, "admit: "+refusal.Detail)
		return &refusal
	}
	startedAt := p.Clock.Now()
	c.Envelope.TimeLeft -= startedAt.Sub(enteredAt)
	err := next(ctx, c)
	if err != nil {
		p.Admitter.Release(c.Envelope, 0)
		return err
	}
	c.Response.OnEnd(func(bool) {
		p.Admitter.Release(c.Envelope, p.Clock.Now().Sub(startedAt))
	})
	c.Response.Load = p.Admitter.Load()
	c.Response.Pressure = f.pressure(c.Envelope.Route)
	return nil
}

// pressure returns, for each class, the highest pressure among this server and those that
// the route's requests call.
func (f *admit) pressure(route string) catkinrun.Pressure {
	highest := f.parts.Admitter.Pressure()
	for _, called := range f.parts.Correlator.DownstreamRoutes(route) {
		highest = highest.Max(f.parts.Shedder.Pressure(called))
	}
	return highest
}

func (f *admit) log(c *catkinrun.Call, server catkinrun.Server, message string) {
	f.parts.Journal.LogFailed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "class": c.Envelope.Class(),
		"server": server.ID, "server-service": server.Service, "draining": server.Draining,
		"load": f.parts.Admitter.Load(), "time-left-ms": c.Envelope.TimeLeft.Milliseconds(),
	}, message)
}
