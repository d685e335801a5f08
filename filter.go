package catkinrun

import (
	"context"
	"io"
	"net/http"
	"net/url"
)

// Call is the one record that passes through the chain of filters. Filters
// talk through it and never to each other.
type Call struct {
	Method   string
	URL      *url.URL
	Header   http.Header
	Body     []byte    // whole body, if Stream is nil
	Stream   io.Reader // body of a request too large to be sent again
	Length   int64     // bytes of Stream, -1 if unknown
	Envelope Envelope
	Service  string   // service of the matched route
	Open     bool     // the matched route is open to all
	Secret   string   // caller's key, until it is checked
	Handle   string   // call handle of a request made by a backend server
	Target   string   // name of the chosen host
	Tried    []string // hosts that earlier attempts used
	Answer   *Answer  // set by the last step
}

// Answer is a backend server's answer on its way back.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte        // whole body, if Stream is nil
	Stream  io.ReadCloser // body that is still arriving
	Level   int           // admission level on the request's way
	Load    float64       // load of the server's admission, per slot
	Unspent int           // allowance that the call tree did not use
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
