package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/router"
)

// CallPath prefixes the path of a call on a peer listener.
const CallPath = "/call"

type send struct {
	parts  *Parts
	router *router.Router
	self   string
}

func newSend(p *Parts) catkinrun.Filter {
	return &send{parts: p, router: p.Router, self: p.Replica.Identity().Host}
}

// Process hands the call to the chosen host's daemon. Next is the peer chain of
// this daemon, which takes the calls for the server beside it.
func (f *send) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if deadline, ok := ctx.Deadline(); ok {
		c.Envelope = c.Envelope.WithTimeLeft(deadline.Sub(f.parts.Clock.Now()))
	}
	if c.Envelope.TimeLeft <= 0 {
		return refuse(http.StatusGatewayTimeout, catkinrun.ReasonDeadline, "no time is left")
	}
	if c.Target == f.self {
		return next(ctx, c)
	}
	address, ok := f.router.Address(c.Target)
	if !ok {
		return refuseLater(catkinrun.ReasonNoServer, "the host has left")
	}
	request := exchanger.Request(ctx, c, f.parts.Scheme, address, CallPath)
	sealed, err := sealEnvelope(c.Envelope)
	if err != nil {
		return err
	}
	request.Header.Set(EnvelopeHeader, sealed)
	request.Header.Set(messenger.FleetKeyHeader, f.parts.FleetKey)
	answer, err := f.parts.Peers.Do(request)
	if err != nil {
		return err
	}
	return f.open(c, answer)
}

// open reads what the other daemon said of its answer. An answer that is not to
// this request is discarded; it says nothing about the run.
func (f *send) open(c *catkinrun.Call, answer *catkinrun.Answer) error {
	if answer.Header.Get(RequestHeader) != c.Envelope.Request {
		closeAnswer(answer)
		return &catkinrun.Refusal{
			Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown,
			Detail: "the answer belongs to another request",
		}
	}
	if refusal, ok := readRefusal(answer); ok {
		closeAnswer(answer)
		return refusal
	}
	readReport(answer)
	c.Answer = answer
	return nil
}

func closeAnswer(a *catkinrun.Answer) {
	if a.Stream != nil {
		_ = a.Stream.Close()
	}
}
