package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/exchanger"
)

type send struct {
	parts *Parts
}

func newSend(p *Parts) catkinrun.Filter { return &send{parts: p} }

// Process hands the call to the chosen host's daemon. Next is the peer chain of
// this daemon, which takes the calls for the server beside it.
func (f *send) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	now := f.parts.Clock.Now()
	c.Envelope.TimeLeft = c.Deadline.Sub(now)
	c.Envelope.Objective = c.StartedAt.Add(objectiveOf(c.Route)).Sub(now)
	if c.Envelope.TimeLeft <= 0 {
		return refuse(http.StatusGatewayTimeout, catkinrun.ReasonDeadline, "no time is left")
	}
	if c.Host == f.parts.Self.Host {
		return next(ctx, c)
	}
	request := exchanger.Request(ctx, c, c.Peer)
	sealed, err := seal(c.Envelope)
	if err != nil {
		return err
	}
	request.Header.Set(EnvelopeHeader, sealed)
	exchange, err := f.parts.Peers.Do(request)
	if err != nil {
		return err
	}
	return f.open(c, exchange)
}

// open reads what the other daemon said of its answer. An answer that is not to
// this request is discarded; it says nothing about the run.
func (f *send) open(c *catkinrun.Call, exchange *exchanger.Exchange) error {
	answer := exchange.Answer
	if answer.Header.Get(RequestHeader) != c.Envelope.Request {
		exchange.Discard()
		return &catkinrun.Refusal{
			Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown, Reached: true,
			Detail: "the other daemon's answer belongs to another request",
		}
	}
	refusal, refused := readRefusal(answer)
	readReport(answer)
	f.parts.Syncer.Saw(c.Peer, answer.Version)
	if refused {
		return refusal
	}
	c.Answer = answer
	return nil
}
