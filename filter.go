package catkinrun

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Call is the state of one request on its way through the chain of filters.
// Filters share data only through it.
type Call struct {
	Method    string
	Domain    string // the request's Host header
	URL       *url.URL
	Target    string // path and query as the caller sent them
	Header    http.Header
	Body      []byte    // whole body, if Stream is nil
	Head      []byte    // of the body: all of it, or what was read ahead of Stream
	Stream    io.Reader // body that is too large to be buffered and sent again
	Length    int64     // bytes of Stream, -1 if unknown
	Envelope  Envelope
	Route     *Route        // the matched route
	Deadline  time.Time     // when the response is due, by this daemon's clock
	TimeLeft  time.Duration // as stated by the caller, 0 if not stated
	CallerKey string        // caller's key, until it is checked
	ServiceAt time.Time     // since when the settings name the caller's service
	Host      string        // chosen host
	Peer      string        // address of the chosen host's daemon, IP and port
	Tried     []string      // hosts of earlier attempts
	StartedAt time.Time
	Response  *Response // set by the last filter
}

// Response is a backend server's response.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte        // whole body, if Stream is nil
	Stream   io.ReadCloser // body that is still arriving
	Load     float64       // running and queued requests per slot of the server's concurrency limit
	Pressure Pressure      // at the servers that the route's requests use
	Version  Version       // of the serving daemon's configuration
	Failed   bool          // the backend server's status is 5xx
	Server   string        // start of the backend server, if the response states something about it
}

// RequestMetadata holds what a caller states about its request in headers.
type RequestMetadata struct {
	ID        string
	TimeLeft  time.Duration // 0 if not stated
	CallerKey string        // empty for none
}

// ForwardMetadata holds what a backend server receives about a request in headers.
type ForwardMetadata struct {
	ID       string // of the request
	TimeLeft time.Duration
	Instance string // the only server that may run it
	Caller   string // service that sent it
	Team     string // empty for none
}

// ResponseMetadata holds what a backend server states about its response in headers.
type ResponseMetadata struct {
	ID          string        // of the request that the response is for
	NotRun      bool          // the server did not run the request
	Misdirected bool          // another server has the address now
	Instance    string        // ID of the server, in the response to a health check
	Signed      bool          // the response carries the server's signature, which marks it as the server's own
	IdleTimeout time.Duration // after which the server closes an unused connection, 0 if not stated
	Condition   Condition
}

// HeaderCodec reads and writes the headers that callers and backend servers use.
type HeaderCodec interface {
	// ExtractRequest reads a caller's headers and removes those that must not be passed on.
	ExtractRequest(h http.Header) RequestMetadata
	// SetForwardHeaders sets the headers of a request to a backend server.
	SetForwardHeaders(h http.Header, m ForwardMetadata)
	// ReadResponse reads the headers of a backend server's response.
	ReadResponse(status int, h http.Header) ResponseMetadata
	// SetRefusalHeaders sets the headers of a refusal.
	SetRefusalHeaders(h http.Header, request string, r *Refusal)
}

// OnEnd calls end once the response has arrived: immediately if the body is not a
// stream, else when the stream is closed. complete reports whether all of it was read.
func (r *Response) OnEnd(end func(complete bool)) {
	if r.Stream == nil {
		end(true)
		return
	}
	r.Stream = &endReader{ReadCloser: r.Stream, end: end}
}

// endReader calls end when the stream is first closed.
type endReader struct {
	io.ReadCloser
	end      func(complete bool)
	complete bool // the stream was read to its end
	closed   bool
}

func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

func (r *endReader) Close() error {
	err := r.ReadCloser.Close()
	if !r.closed {
		r.closed = true
		r.end(r.complete)
	}
	return err
}

// Handler processes a request. If its error is not a *Refusal and wraps none, the outcome of
// the request is unknown.
type Handler func(ctx context.Context, c *Call) error

// Filter is one step of a chain. It may refuse the request, change it, or pass it
// on to next any number of times.
type Filter interface {
	// Process handles the request; next is the rest of the chain.
	Process(ctx context.Context, c *Call, next Handler) error
}
