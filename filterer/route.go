package filterer

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/shedder"
)

type route struct {
	router  *router.Router
	shedder *shedder.Shedder
	journal *journaler.Journal
	clock   catkinrun.Clock
}

func newRoute(deps *Dependencies) catkinrun.Filter {
	return &route{router: deps.Router, shedder: deps.Shedder, journal: deps.Journal, clock: deps.Clock}
}

// Process chooses the host and records the result of the attempt.
func (f *route) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	choice, ok := f.router.Choose(router.Criteria{
		Service: c.Envelope.Service, Route: c.Envelope.Route, Objective: objectiveOf(c.Route), Tried: c.Tried,
	})
	if !ok {
		return refuseTemporarily(catkinrun.ReasonNoServer, "no backend server of "+c.Envelope.Service+" is ready")
	}
	c.Host, c.Peer = choice.Member.Host, choice.Member.Peer
	f.router.RecordStart(c.Host)
	startedAt := f.clock.Now()
	err := next(ctx, c)
	fields := logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "team": c.Envelope.Team,
		"host": c.Host, "score": loggedScore(choice.Score), "among": choice.Candidates, "attempt": c.Envelope.Attempt,
		"caller": c.Envelope.Caller, "caller-age-ms": startedAt.Sub(c.ServiceAt).Milliseconds(),
		"version": c.Envelope.Version, "took-ms": f.clock.Now().Sub(startedAt).Milliseconds(),
	}
	if err != nil {
		refusal := asRefusal(err)
		if refusal.Pressure != nil {
			f.shedder.RecordPressure(c.Envelope.Route, *refusal.Pressure)
		}
		f.router.RecordResult(c.Host, resultOf(refusal), refusal.Load)
		fields["reason"], fields["outcome"], fields["detail"], fields["load"] = refusal.Reason, refusal.Outcome, refusal.Detail, refusal.Load
		f.journal.LogFailed(fields, "route: attempt failed")
		return err
	}
	f.shedder.RecordPressure(c.Envelope.Route, c.Response.Pressure)
	result := router.Served
	if c.Response.Failed {
		result = router.Failed
	}
	f.router.RecordResult(c.Host, result, c.Response.Load)
	f.router.RecordLatency(c.Host, c.Envelope.Route, f.clock.Now().Sub(startedAt))
	fields["status"], fields["load"] = c.Response.Status, c.Response.Load
	f.journal.LogServed(fields, "route: attempt completed")
	return nil
}

// maxLoggedScore stands for the infinite score of a host that is chosen for want of a better one, which
// JSON cannot express.
const maxLoggedScore = 1e6

func loggedScore(score float64) float64 { return min(score, maxLoggedScore) }

// resultOf returns the router's result of an attempt that ended in a refusal.
func resultOf(r *catkinrun.Refusal) router.Result {
	switch r.Reason {
	case catkinrun.ReasonUnreachable, catkinrun.ReasonClosed:
		return router.Unreachable
	case catkinrun.ReasonBroken, catkinrun.ReasonRejected:
		return router.Failed
	case catkinrun.ReasonOverload:
		return router.Overloaded
	case catkinrun.ReasonLeaving, catkinrun.ReasonNoServer:
		return router.Leaving
	}
	return router.Unrelated
}
