package filterer

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/learner"
)

type forward struct {
	parts *Parts
}

func newForward(p *Parts) catkinrun.Filter { return &forward{parts: p} }

// Process runs the request on the server beside this daemon and judges its answer.
func (f *forward) Process(ctx context.Context, c *catkinrun.Call, _ catkinrun.Handler) error {
	p := f.parts
	server, ok := p.takes(c)
	if !ok { // it has left while the request waited for a slot
		f.log(c, server, 0, "the server takes no new work of the service any more")
		return refuseLater(catkinrun.ReasonLeaving, "the server takes no new work of the service any more")
	}
	if c.Envelope.TimeLeft <= 0 {
		return refuse(http.StatusGatewayTimeout, catkinrun.ReasonDeadline, "no time is left")
	}
	calls := c.Envelope.Repeat && len(p.Learner.Calls(c.Envelope.Route)) > 0 // counts for repeats only
	if !p.Budget.Admit(c.Envelope, calls) {
		f.log(c, server, 0, "no more repeats may reach the server")
		return refuseLater(catkinrun.ReasonBudget, "no more repeats may reach the server")
	}
	startedAt := p.Clock.Now()
	end := p.Learner.Begin(learner.Run{
		Route: c.Envelope.Route, Class: c.Envelope.Class(), Weight: c.Envelope.Weight, Repeat: c.Envelope.Repeat || c.Envelope.Inherited,
	}, startedAt, startedAt.Add(c.Envelope.TimeLeft))
	defer end()
	request := exchanger.Request(ctx, c, p.Server)
	p.Dialect.TellServer(request.Header, catkinrun.ServerFacts{
		ID: c.Envelope.Request, TimeLeft: c.Envelope.TimeLeft, Instance: server.ID, Caller: c.Envelope.Caller, Team: c.Envelope.Team,
	})
	exchange, err := p.Backend.Do(request)
	if err != nil {
		f.log(c, server, 0, asRefusal(err).Detail)
		if asRefusal(err).Reason == catkinrun.ReasonClosed {
			p.Registrar.Refused(server.ID, asRefusal(err).Detail)
		}
		return err
	}
	facts := p.Dialect.ReadAnswer(exchange.Answer.Status, exchange.Answer.Header)
	if err := f.judge(c, server, exchange, facts); err != nil {
		f.log(c, server, exchange.Answer.Status, asRefusal(err).Detail)
		return err
	}
	p.Backend.LearnIdle(facts.IdleTimeout)
	dropOwnHeaders(exchange.Answer.Header)
	exchange.Answer.Failed = exchange.Answer.Status >= http.StatusInternalServerError
	c.Answer = exchange.Answer
	return nil
}

// judge refuses an answer that is not the server's own, whole work on this request.
func (f *forward) judge(c *catkinrun.Call, server catkinrun.Server, x *exchanger.Exchange, facts catkinrun.AnswerFacts) error {
	status := x.Answer.Status
	switch {
	case facts.ID != "" && facts.ID != c.Envelope.Request:
		x.Discard()
		return brokenAnswer("the answer belongs to another request")
	case facts.Misdirected:
		f.parts.Registrar.Refused(server.ID, "another server has the address")
		return refuseLater(catkinrun.ReasonLeaving, "another server has the address").WithReached()
	case facts.NotRun:
		return refuseLater(catkinrun.ReasonRejected, "the server did not run the request").WithReached()
	case status < 300 && (!facts.Signed || x.Answer.Header.Get("Content-Encoding") != ""):
		x.Discard()
		return brokenAnswer("the answer is not the server's own")
	case promisesNotRun(status) || !facts.Signed && status < http.StatusInternalServerError:
		return brokenAnswer("the server's status would promise what it does not know")
	}
	return nil
}

// promisesNotRun reports whether callers take a status for a promise.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func brokenAnswer(detail string) *catkinrun.Refusal {
	return &catkinrun.Refusal{
		Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown, Reached: true, Detail: detail,
	}
}

func (f *forward) log(c *catkinrun.Call, server catkinrun.Server, status int, detail string) {
	f.parts.Journal.Failed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "server": server.ID, "status": status, "detail": detail,
		"time-left-ms": c.Envelope.TimeLeft.Milliseconds(),
	}, "forward: the server gave no answer that can be used")
}
