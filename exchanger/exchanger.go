// Package exchanger sends one HTTP request, once, and reads its answer. It knows
// whether a failed request can have been received.
package exchanger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/dialer"
)

// wholeLimit is the size up to which an answer is read whole before it is passed
// on, so that one that breaks off is never passed on in part.
const wholeLimit = 64 << 10

// Exchanger sends requests over one transport.
type Exchanger struct {
	transport http.RoundTripper
}

// New returns an exchanger; transport comes from dialer.Transport.
func New(transport http.RoundTripper) *Exchanger {
	return &Exchanger{transport: transport}
}

// onceReader hides that a body could be read again: the transport must never send
// a request a second time by itself.
type onceReader struct{ io.Reader }

func (onceReader) Close() error { return nil }

// Request returns the HTTP request that carries a call to address.
func Request(ctx context.Context, c *catkinrun.Call, scheme, address, pathPrefix string) *http.Request {
	target := *c.URL
	target.Scheme = scheme
	target.Host = address
	target.Path = pathPrefix + target.Path
	target.RawPath = ""
	request := &http.Request{
		Method: c.Method, URL: &target, Host: address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.Header.Clone(),
		Body:   onceReader{bytes.NewReader(c.Body)},
	}
	request.ContentLength = int64(len(c.Body))
	if c.Stream != nil {
		request.Body = onceReader{c.Stream}
		request.ContentLength = c.Length
	}
	return request.WithContext(ctx)
}

// Do sends the request and returns its answer. It fails with *catkinrun.Refusal,
// which is not-run only if no byte of the request went out.
func (e *Exchanger) Do(request *http.Request) (*catkinrun.Answer, error) {
	var watch dialer.Watch
	request = request.WithContext(watch.Trace(request.Context()))
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		return nil, e.failure(request.Context(), &watch, err)
	}
	answer := &catkinrun.Answer{Status: response.StatusCode, Header: response.Header}
	head, err := io.ReadAll(io.LimitReader(response.Body, wholeLimit+1))
	switch {
	case err != nil:
		_ = response.Body.Close()
		return nil, broken(request.Context(), err)
	case len(head) <= wholeLimit:
		_ = response.Body.Close()
		answer.Body = head
	default:
		answer.Stream = &joined{Reader: io.MultiReader(bytes.NewReader(head), response.Body), closer: response.Body}
	}
	return answer, nil
}

// joined reads what was read ahead and then the rest.
type joined struct {
	io.Reader
	closer io.Closer
}

func (j *joined) Close() error { return j.closer.Close() }

func (e *Exchanger) failure(ctx context.Context, watch *dialer.Watch, err error) error {
	if !watch.Unsent() {
		return broken(ctx, err)
	}
	return &catkinrun.Refusal{
		Status: http.StatusServiceUnavailable, Reason: catkinrun.ReasonUnreachable, Outcome: catkinrun.NotRun,
		Detail: "the host could not be reached",
	}
}

// broken tells an answer that broke off from one that did not come in time.
func broken(ctx context.Context, err error) error {
	refusal := &catkinrun.Refusal{
		Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown,
		Detail: "the answer broke off: " + strconv.Quote(err.Error()),
	}
	if ctx.Err() != nil {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Reason = catkinrun.ReasonDeadline
		refusal.Detail = "the time ran out before the answer came"
	}
	return refusal
}
