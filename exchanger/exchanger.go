// Package exchanger sends an HTTP request exactly once and reads its response. For a
// failed request it determines whether the other end may have received it.
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
	// maxBufferedBytes is the size up to which a response is buffered before it is passed
	// on, so that a truncated response of at most this size is never passed on in part.
	maxBufferedBytes = 64 << 10
	// idleTimeoutFraction is the fraction of a server's idle timeout for which an idle
	// connection is kept, so that no request is sent while the server closes it.
	idleTimeoutFraction = 0.7
)

// Exchanger sends requests to other daemons or to a backend server.
type Exchanger struct {
	dialTimeout  time.Duration
	maxIdleConns int

	mu          sync.Mutex
	idleTimeout time.Duration
	transport   *dialer.CheckedTransport
}

// New returns an exchanger that keeps up to maxIdleConns idle connections per address,
// each for at most idleTimeout.
func New(dialTimeout, idleTimeout time.Duration, maxIdleConns int) *Exchanger {
	return &Exchanger{
		dialTimeout: dialTimeout, maxIdleConns: maxIdleConns, idleTimeout: idleTimeout,
		transport: dialer.Transport(dialTimeout, idleTimeout, maxIdleConns),
	}
}

// SetPeerIdleTimeout adapts to the idle timeout that the other end has stated. The new timeout
// applies to new connections; idle connections with the previous one are closed.
func (e *Exchanger) SetPeerIdleTimeout(stated time.Duration) {
	idleTimeout := time.Duration(idleTimeoutFraction * float64(stated))
	e.mu.Lock()
	defer e.mu.Unlock()
	if idleTimeout <= 0 || idleTimeout == e.idleTimeout {
		return
	}
	previous := e.transport
	e.idleTimeout = idleTimeout
	e.transport = dialer.Transport(e.dialTimeout, idleTimeout, e.maxIdleConns)
	previous.CloseIdleConnections()
}

// Transport returns the transport that new requests use.
func (e *Exchanger) Transport() *dialer.CheckedTransport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.transport
}

// onceReader hides the type of a body from the transport, which otherwise resends
// requests by itself if it can read their body again.
type onceReader struct{ io.Reader }

func (onceReader) Close() error { return nil }

// NewRequest returns the HTTP request that carries a call to address, with method, path,
// query, domain and body as the caller sent them.
func NewRequest(ctx context.Context, c *catkinrun.Call, address string) *http.Request {
	target := &url.URL{Scheme: "http", Host: address, Opaque: c.Target}
	if strings.HasPrefix(c.Target, "//") { // net/url would write it as an absolute URL with a host
		*target = *c.URL
		target.Scheme, target.Host = "http", address
	}
	request := &http.Request{
		Method: c.Method, URL: target, Host: c.Domain,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.Header.Clone(),
	}
	if len(request.Header["User-Agent"]) == 0 {
		request.Header["User-Agent"] = []string{""} // else net/http adds its own
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
	case resentByTransport(c):
		return onceReader{http.NoBody}, 0
	}
	return http.NoBody, 0
}

// resentByTransport reports whether the transport would resend a request without a body
// by itself.
func resentByTransport(c *catkinrun.Call) bool {
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return c.Header["Idempotency-Key"] != nil || c.Header["X-Idempotency-Key"] != nil
}

// Exchange is the response to one request and the connection that it arrived on.
type Exchange struct {
	Response *catkinrun.Response
	tracker  *dialer.Tracker
}

// Discard closes the connection of a response that cannot be trusted.
func (x *Exchange) Discard() {
	if x.Response.Stream != nil {
		_ = x.Response.Stream.Close() // the rest of the body is not used
	}
	x.tracker.Close()
}

// Do sends the request and returns its response. It fails with *catkinrun.Refusal,
// whose outcome is not-run only if no byte of the request was sent.
func (e *Exchanger) Do(request *http.Request) (*Exchange, error) {
	received, tracker, err := e.Transport().Send(request)
	if err != nil {
		return nil, refusalOf(request.Context(), tracker, err)
	}
	response := &catkinrun.Response{Status: received.StatusCode, Header: received.Header}
	head, err := io.ReadAll(io.LimitReader(received.Body, maxBufferedBytes+1))
	switch {
	case err != nil:
		_ = received.Body.Close() // reading it has failed already
		return nil, incompleteResponse(request.Context(), err)
	case len(head) <= maxBufferedBytes:
		_ = received.Body.Close() // it was read to its end
		response.Body = head
	default:
		response.Stream = &joinedBody{Reader: io.MultiReader(bytes.NewReader(head), received.Body), closer: received.Body}
	}
	return &Exchange{Response: response, tracker: tracker}, nil
}

// joinedBody returns the bytes that were read ahead and then the rest of the body.
type joinedBody struct {
	io.Reader
	closer io.Closer
}

func (j *joinedBody) Close() error { return j.closer.Close() }

// refusalOf returns the refusal for a request whose round trip failed with err.
func refusalOf(ctx context.Context, tracker *dialer.Tracker, err error) error {
	if !tracker.Unsent() {
		return incompleteResponse(ctx, err)
	}
	refusal := &catkinrun.Refusal{
		Status: http.StatusServiceUnavailable, Reason: catkinrun.ReasonUnreachable, Outcome: catkinrun.OutcomeNotRun,
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

// incompleteResponse returns the refusal for a request that may have been received. Its
// reason is the deadline if ctx has ended, and otherwise a broken response.
func incompleteResponse(ctx context.Context, err error) error {
	refusal := &catkinrun.Refusal{
		Status: http.StatusBadGateway, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.OutcomeUnknown, Reached: true,
		Detail: "no complete response was received: " + strconv.Quote(err.Error()),
	}
	if ctx.Err() != nil {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Reason = catkinrun.ReasonDeadline
		refusal.Detail = "the deadline passed before the response was complete"
	}
	return refusal
}
