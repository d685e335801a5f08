package filterer

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/correlator"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/screener"
)

type forward struct {
	deps *Dependencies
}

func newForward(deps *Dependencies) catkinrun.Filter { return &forward{deps: deps} }

// Process sends the request to the server beside this daemon and checks the response.
func (f *forward) Process(ctx context.Context, c *catkinrun.Call, _ catkinrun.Handler) error {
	deps := f.deps
	server, ok := deps.serverFor(c)
	if !ok { // it stopped accepting requests while this one waited for a slot
		f.log(c, server, 0, "the server no longer accepts requests for the service")
		return refuseTemporarily(catkinrun.ReasonLeaving, "the server no longer accepts requests for the service")
	}
	if c.Envelope.TimeLeft <= 0 {
		return refuse(http.StatusGatewayTimeout, catkinrun.ReasonDeadline, "the deadline has passed")
	}
	makesCalls := c.Envelope.Retry && len(deps.Correlator.DownstreamRoutes(c.Envelope.Route)) > 0 // Admit uses it for retries only
	if !deps.Budget.Admit(c.Envelope, makesCalls) {
		f.log(c, server, 0, "the retry budget of the server is exhausted")
		return refuseTemporarily(catkinrun.ReasonBudget, "the retry budget of the server is exhausted")
	}
	startedAt := deps.Clock.Now()
	end := deps.Correlator.Begin(correlator.RunningRequest{
		Route: c.Envelope.Route, Class: c.Envelope.Class(), Weight: c.Envelope.Weight, Retry: c.Envelope.Retry || c.Envelope.FromRetry,
	}, startedAt, startedAt.Add(c.Envelope.TimeLeft))
	defer end()
	request := exchanger.NewRequest(ctx, c, deps.Server)
	deps.HeaderCodec.SetForwardHeaders(request.Header, catkinrun.ForwardMetadata{
		ID: c.Envelope.Request, TimeLeft: c.Envelope.TimeLeft, Instance: server.ID, Caller: c.Envelope.Caller, Team: c.Envelope.Team,
	})
	run := deps.Screener.Begin(server.Start(), c.Envelope.Fingerprint)
	exchange, err := deps.Backend.Do(request)
	if err != nil {
		f.recordFailure(c, server, run, asRefusal(err))
		return err
	}
	metadata := deps.HeaderCodec.ReadResponse(exchange.Response.Status, exchange.Response.Header)
	if metadata.ID == c.Envelope.Request && !metadata.NotRun {
		run.Complete()
	}
	if metadata.ID == c.Envelope.Request && !metadata.Misdirected {
		deps.Observer.Record(deps.Self.Host, server.Start(), metadata.Condition)
		deps.applyRateLimit(server)
		if metadata.Condition.Leaving {
			deps.Registrar.MarkLeaving(server.Start())
		}
	}
	if err := f.checkResponse(c, server, exchange, metadata); err != nil {
		f.log(c, server, exchange.Response.Status, asRefusal(err).Detail)
		return err
	}
	deps.Backend.SetPeerIdleTimeout(metadata.IdleTimeout)
	removeSystemHeaders(exchange.Response.Header)
	if metadata.Condition != (catkinrun.Condition{}) {
		exchange.Response.Server = server.Start()
	}
	exchange.Response.Failed = exchange.Response.Status >= http.StatusInternalServerError
	c.Response = exchange.Response
	return nil
}

// recordFailure records a request without a response.
func (f *forward) recordFailure(c *catkinrun.Call, server catkinrun.Server, run *screener.Run, r *catkinrun.Refusal) {
	f.log(c, server, 0, r.Detail)
	switch r.Reason {
	case catkinrun.ReasonClosed:
		f.deps.Registrar.MarkDown(server.ID, r.Detail)
		f.deps.Screener.ServerEnded(server.Start())
	case catkinrun.ReasonBroken:
		run.Break()
	}
}

// checkResponse refuses a response that is not the server's own, complete result of this
// request.
func (f *forward) checkResponse(c *catkinrun.Call, server catkinrun.Server, x *exchanger.Exchange, metadata catkinrun.ResponseMetadata) error {
	status := x.Response.Status
	switch {
	case metadata.ID != "" && metadata.ID != c.Envelope.Request:
		x.Discard()
		return brokenResponse("the response belongs to another request")
	case metadata.Misdirected:
		f.deps.Registrar.MarkDown(server.ID, "another server has the address")
		return refuseTemporarily(catkinrun.ReasonLeaving, "another server has the address").WithReached()
	case metadata.NotRun:
		return refuseTemporarily(catkinrun.ReasonRejected, "the server did not run the request").WithReached()
	case status < 300 && (!metadata.Signed || x.Response.Header.Get("Content-Encoding") != ""):
		x.Discard()
		return brokenResponse("the response is unsigned or has a content encoding")
	case impliesNotRun(status) || !metadata.Signed && status < http.StatusInternalServerError:
		return brokenResponse("the status suggests that the request did not run, which the server did not confirm")
	}
	return nil
}

// impliesNotRun reports whether callers take the status to mean that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func brokenResponse(detail string) *catkinrun.Refusal {
	return &catkinrun.Refusal{
		Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.OutcomeUnknown, Reached: true, Detail: detail,
	}
}

func (f *forward) log(c *catkinrun.Call, server catkinrun.Server, status int, detail string) {
	f.deps.Journal.LogFailed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "server": server.ID, "status": status, "detail": detail,
		"fingerprint": c.Envelope.Fingerprint.String(), "time-left-ms": c.Envelope.TimeLeft.Milliseconds(),
	}, "forward: no usable response from the server")
}
