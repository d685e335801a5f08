package filterer

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

type admit struct {
	deps *Dependencies
}

func newAdmit(deps *Dependencies) catkinrun.Filter { return &admit{deps: deps} }

// Process waits for a slot of the server and holds it until the response is complete or
// its stream is closed.
func (f *admit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	deps := f.deps
	server, ok := deps.serverFor(c)
	if n := c.Envelope.Notice; ok && n != nil && n.Leaving {
		deps.Registrar.MarkLeaving(n.Server)
		ok = !deps.Observer.Departed(server.Start(), n)
	}
	if !ok {
		f.log(c, server, "admit: the server accepts no new requests for the service")
		return refuseTemporarily(catkinrun.ReasonLeaving, "the server accepts no new requests for the service")
	}
	deps.Observer.Adopt(deps.Self.Host, server.Start(), c.Envelope.Notice)
	deps.Admitter.SetServer(server.Slots, server.ColdLeft > 0)
	deps.applyRateLimit(server)
	enteredAt := deps.Clock.Now()
	if err := deps.Admitter.Acquire(ctx, c.Envelope); err != nil {
		refusal := *asRefusal(err)
		pressure := f.pressure(c.Envelope.Route)
		refusal.Pressure = &pressure
		f.log(c, server, "admit: "+refusal.Detail)
		return &refusal
	}
	startedAt := deps.Clock.Now()
	c.Envelope.TimeLeft -= startedAt.Sub(enteredAt)
	err := next(ctx, c)
	if err != nil {
		deps.Admitter.Release(c.Envelope, 0)
		return err
	}
	c.Response.OnEnd(func(bool) {
		deps.Admitter.Release(c.Envelope, deps.Clock.Now().Sub(startedAt))
	})
	c.Response.Load = deps.Admitter.Load()
	c.Response.Pressure = f.pressure(c.Envelope.Route)
	return nil
}

// pressure returns, for each class, the highest pressure among this server and those that
// the route's requests call.
func (f *admit) pressure(route string) catkinrun.Pressure {
	highest := f.deps.Admitter.Pressure()
	for _, downstream := range f.deps.Correlator.DownstreamRoutes(route) {
		highest = highest.Max(f.deps.Shedder.Pressure(downstream))
	}
	return highest
}

func (f *admit) log(c *catkinrun.Call, server catkinrun.Server, message string) {
	f.deps.Journal.LogFailed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "class": c.Envelope.Class(),
		"server": server.ID, "server-service": server.Service, "draining": server.Draining,
		"load": f.deps.Admitter.Load(), "time-left-ms": c.Envelope.TimeLeft.Milliseconds(),
	}, message)
}
