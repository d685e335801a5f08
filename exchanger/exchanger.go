// Package exchanger sends one HTTP request, once, and reads its answer. It knows
// whether a failed request can have been received.
package exchanger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/dialer"
)

const (
	// wholeLimit is the size up to which an answer is read whole before it is passed
	// on, so that one that breaks off is never passed on in part.
	wholeLimit = 64 << 10
	// idlePart is the part of a server's idle timeout for which a connection is kept, so
	// that a request does not meet its closing.
	idlePart = 0.7
)

// Exchanger sends requests to other daemons or to a backend server.
type Exchanger struct {
	dialTimeout time.Duration
	maxIdle     int

	mu        sync.Mutex
	idle      time.Duration
	transport *http.Transport
}

// New returns an exchanger that keeps up to maxIdle unused connections to an address
// for idle.
func New(dialTimeout, idle time.Duration, maxIdle int) *Exchanger {
	return &Exchanger{
		dialTimeout: dialTimeout, maxIdle: maxIdle, idle: idle,
		transport: dialer.Transport(dialTimeout, idle, maxIdle),
	}
}

// LearnIdle follows the idle timeout that the other end has told. Connections that are
// open already keep to the one before.
func (e *Exchanger) LearnIdle(told time.Duration) {
	idle := time.Duration(idlePart * float64(told))
	e.mu.Lock()
	defer e.mu.Unlock()
	if idle <= 0 || idle == e.idle {
		return
	}
	before := e.transport
	e.idle = idle
	e.transport = dialer.Transport(e.dialTimeout, idle, e.maxIdle)
	before.CloseIdleConnections()
}

// Transport returns the transport that new requests use.
func (e *Exchanger) Transport() *http.Transport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.transport
}

// onceReader hides that a body could be read again: the transport must never send
// a request a second time by itself.
type onceReader struct{ io.Reader }

func (onceReader) Close() error { return nil }

// Request returns the HTTP request that carries a call to address, with method, path,
// query, domain and body as the caller sent them.
func Request(ctx context.Context, c *catkinrun.Call, address string) *http.Request {
	target := &url.URL{Scheme: "http", Host: address, Opaque: c.Target}
	if strings.HasPrefix(c.Target, "//") { // would be taken for a host
		*target = *c.URL
		target.Scheme, target.Host = "http", address
	}
	request := &http.Request{
		Method: c.Method, URL: target, Host: c.Domain,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.Header.Clone(),
	}
	if len(request.Header["User-Agent"]) == 0 {
		request.Header["User-Agent"] = []string{""} // else the library adds its own
	}
	request.Body, request.ContentLength = body(c)
	return request.WithContext(ctx)
}

// body returns a body that the transport cannot read again, and its length.
func body(c *catkinrun.Call) (io.ReadCloser, int64) {
	switch {
	case c.Stream != nil:
		return onceReader{c.Stream}, c.Length
	case len(c.Body) > 0:
		return io.NopCloser(bytes.NewReader(c.Body)), int64(len(c.Body))
	case repeatedByTransport(c):
		return onceReader{http.NoBody}, 0
	}
	return http.NoBody, 0
}

// repeatedByTransport reports whether the transport would send a request without a body
// again by itself.
func repeatedByTransport(c *catkinrun.Call) bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return c.Header["Idempotency-Key"] != nil || c.Header["X-Idempotency-Key"] != nil
}

// Exchange is one request's answer and the means to end its connection.
type Exchange struct {
	Answer *catkinrun.Answer
	watch  *dialer.Watch
}

// Discard ends the connection of an answer that is not to be trusted.
func (x *Exchange) Discard() {
	if x.Answer.Stream != nil {
		_ = x.Answer.Stream.Close() // nothing of it is used
	}
	x.watch.Close()
}

// Do sends the request and returns its answer. It fails with *catkinrun.Refusal,
// which is not-run only if no byte of the request went out.
func (e *Exchanger) Do(request *http.Request) (*Exchange, error) {
	watch := &dialer.Watch{}
	request = request.WithContext(watch.Trace(request.Context()))
	response, err := e.Transport().RoundTrip(request)
	if err != nil {
		return nil, failure(request.Context(), watch, err)
	}
	answer := &catkinrun.Answer{Status: response.StatusCode, Header: response.Header}
	head, err := io.ReadAll(io.LimitReader(response.Body, wholeLimit+1))
	switch {
	case err != nil:
		_ = response.Body.Close() // it broke off already
		return nil, broken(request.Context(), err)
	case len(head) <= wholeLimit:
		_ = response.Body.Close() // it was read to its end
		answer.Body = head
	default:
		answer.Stream = &joined{Reader: io.MultiReader(bytes.NewReader(head), response.Body), closer: response.Body}
	}
	return &Exchange{Answer: answer, watch: watch}, nil
}

// joined reads what was read ahead and then the rest.
type joined struct {
	io.Reader
	closer io.Closer
}

func (j *joined) Close() error { return j.closer.Close() }

func failure(ctx context.Context, watch *dialer.Watch, err error) error {
	if !watch.Unsent() {
		return broken(ctx, err)
	}
	refusal := &catkinrun.Refusal{
		Status: http.StatusServiceUnavailable, Reason: catkinrun.ReasonUnreachable, Outcome: catkinrun.NotRun,
		Detail: "the request was not sent: " + strconv.Quote(err.Error()),
	}
	switch {
	case ctx.Err() != nil:
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, catkinrun.ReasonDeadline
	case errors.Is(err, syscall.ECONNREFUSED):
		refusal.Reason = catkinrun.ReasonClosed
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		refusal.Reason = catkinrun.ReasonLocal
	}
	return refusal
}

// broken tells an answer that broke off from one that did not come in time.
func broken(ctx context.Context, err error) error {
	refusal := &catkinrun.Refusal{
		Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown, Reached: true,
		Detail: "the answer broke off: " + strconv.Quote(err.Error()),
	}
	if ctx.Err() != nil {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Reason = catkinrun.ReasonDeadline
		refusal.Detail = "the time ran out before the answer came"
	}
	return refusal
}
