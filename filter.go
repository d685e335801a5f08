package catkinrun

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Call is the one record that passes through the chain of filters. Filters
// talk through it and never to each other.
type Call struct {
	Method    string
	Domain    string // the request's Host header
	URL       *url.URL
	Target    string // path and query as the caller wrote them
	Header    http.Header
	Body      []byte    // whole body, if Stream is nil
	Stream    io.Reader // body of a request too large to be sent again
	Length    int64     // bytes of Stream, -1 if unknown
	Envelope  Envelope
	Route     *Route        // the matched route
	Deadline  time.Time     // when the answer is due, by this daemon's clock
	TimeLeft  time.Duration // that the caller stated, 0 if it did not
	Secret    string        // caller's key, until it is checked
	Host      string        // name of the chosen host
	Peer      string        // its daemon's address, IP and port
	Tried     []string      // hosts that earlier attempts used
	StartedAt time.Time
	Answer    *Answer // set by the last step
}

// Answer is a backend server's answer on its way back.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte        // whole body, if Stream is nil
	Stream   io.ReadCloser // body that is still arriving
	Load     float64       // load of the server's admission, per slot
	Pressure Pressure      // at the servers on the route's way
	Version  Version       // configuration of the serving daemon
	Failed   bool          // the server says that it failed
}

// RequestFacts are what a caller says of its request in headers.
type RequestFacts struct {
	ID       string
	TimeLeft time.Duration // 0 if not stated
	Secret   string        // key, empty for none
}

// ServerFacts are what a backend server is told in headers.
type ServerFacts struct {
	ID       string // of the request
	TimeLeft time.Duration
	Instance string // the only server that may run it
	Caller   string // service that sent it
	Team     string // empty for none
}

// AnswerFacts are what a backend server says in headers.
type AnswerFacts struct {
	ID          string        // of the request that it answers
	NotRun      bool          // it did not run the request
	Misdirected bool          // another server has the address now
	Signed      bool          // the answer is the server's own work
	IdleTimeout time.Duration // after which it closes an unused connection, 0 if it does not say
}

// Dialect reads and writes the headers that callers and backend servers use.
type Dialect interface {
	// TakeRequest removes the headers that are for the system and returns what they say.
	TakeRequest(h http.Header) RequestFacts
	// TellServer sets the headers for a backend server.
	TellServer(h http.Header, f ServerFacts)
	// ReadAnswer returns what a server's answer says.
	ReadAnswer(status int, h http.Header) AnswerFacts
	// Refuse sets the headers of a refusal.
	Refuse(h http.Header, request string, r *Refusal)
}

// OnEnd calls end once the answer has arrived: at once if it is whole, else when
// the stream is closed. whole tells whether it arrived to its end.
func (a *Answer) OnEnd(end func(whole bool)) {
	if a.Stream == nil {
		end(true)
		return
	}
	a.Stream = &endReader{ReadCloser: a.Stream, end: end}
}

// endReader notes whether a stream was read to its end.
type endReader struct {
	io.ReadCloser
	end    func(whole bool)
	whole  bool
	closed bool
}

func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

func (r *endReader) Close() error {
	err := r.ReadCloser.Close()
	if !r.closed {
		r.closed = true
		r.end(r.whole)
	}
	return err
}

// Handler processes a call; its error is a *Refusal or wraps one.
type Handler func(ctx context.Context, c *Call) error

// Filter is one step of a chain. It may refuse the call, change it, or pass it
// on to next any number of times.
type Filter interface {
	// Process handles the call.
	Process(ctx context.Context, c *Call, next Handler) error
}
