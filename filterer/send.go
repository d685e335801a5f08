package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/exchanger"
)

type send struct {
	deps *Dependencies
}

func newSend(deps *Dependencies) catkinrun.Filter { return &send{deps: deps} }

// Process sends the request to the chosen host's daemon. If that is this daemon, it
// passes the request to next, its own peer chain.
func (f *send) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	now := f.deps.Clock.Now()
	c.Envelope.TimeLeft = c.Deadline.Sub(now)
	c.Envelope.Objective = c.StartedAt.Add(objectiveOf(c.Route)).Sub(now)
	if c.Envelope.TimeLeft <= 0 {
		return refuse(http.StatusGatewayTimeout, catkinrun.ReasonDeadline, "the deadline has passed")
	}
	c.Envelope.Notice = f.deps.Observer.Notice(c.Host)
	if c.Host == f.deps.Self.Host {
		err := next(ctx, c)
		f.observe(c)
		return err
	}
	request := exchanger.NewRequest(ctx, c, c.Peer)
	encoded, err := encodeHeader(c.Envelope)
	if err != nil {
		return err
	}
	request.Header.Set(EnvelopeHeader, encoded)
	exchange, err := f.deps.Peers.Do(request)
	if err != nil {
		return err
	}
	err = f.readResponse(c, exchange)
	f.observe(c)
	return err
}

// observe records what the server states about itself in a response that goes to the caller.
func (f *send) observe(c *catkinrun.Call) {
	if response := c.Response; response != nil {
		f.deps.Observer.Record(c.Host, response.Server, f.deps.HeaderCodec.ReadResponse(response.Status, response.Header).Condition)
	}
}

// readResponse reads the serving daemon's response and its headers. A response to another
// request is discarded; whether this request ran is then unknown.
func (f *send) readResponse(c *catkinrun.Call, exchange *exchanger.Exchange) error {
	response := exchange.Response
	if response.Header.Get(RequestHeader) != c.Envelope.Request {
		exchange.Discard()
		return &catkinrun.Refusal{
			Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.OutcomeUnknown, Reached: true,
			Detail: "the serving daemon's response belongs to another request",
		}
	}
	refusal, refused := readRefusal(response)
	takeResponseHeaders(response)
	f.deps.Syncer.ObserveVersion(c.Peer, response.Version)
	if refused {
		return refusal
	}
	c.Response = response
	return nil
}
