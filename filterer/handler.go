package filterer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// maxBufferedBytes is the size up to which a request's body is read before it is
	// forwarded; larger bodies are streamed and never sent twice.
	maxBufferedBytes = 64 << 10
	// defaultMaxBodyBytes limits a request's body if the configuration does not.
	defaultMaxBodyBytes = 64 << 20
	// maxTimeLeft limits the time left that a caller may state.
	maxTimeLeft = 10 * time.Minute
)

// Gateway runs HTTP requests through the chains and writes the responses.
type Gateway struct {
	deps         *Dependencies
	caller, peer catkinrun.Handler
	jitter       func() float64
	count        func(listener Listener, outcome string, took time.Duration)
}

// NewGateway returns a gateway with its chains. jitter returns numbers from 0 to 1 that spread
// Retry-After; count is called at the end of each request.
func NewGateway(deps *Dependencies, jitter func() float64, count func(Listener, string, time.Duration)) *Gateway {
	peer := Chain(PeerListener, deps, nil)
	return &Gateway{deps: deps, caller: Chain(CallerListener, deps, peer), peer: peer, jitter: jitter, count: count}
}

// CallerHandler returns the handler for requests from callers on this host. It removes the
// system's headers from them.
func (g *Gateway) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		metadata := g.deps.HeaderCodec.ExtractRequest(r.Header) // first, since Connection may list any header
		c := g.newCall(r)
		removeSystemHeaders(c.Header)
		c.Envelope.Request, c.CallerKey, c.TimeLeft = metadata.ID, metadata.CallerKey, min(metadata.TimeLeft, maxTimeLeft)
		err := g.readBody(w, r, c)
		if metadata.ID == "" {
			err = refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the request has no ID")
		}
		if err == nil {
			err = g.checkStopping()
		}
		if err == nil {
			err = g.caller(r.Context(), c)
		}
		if err != nil {
			g.refuseCaller(w, c, asRefusal(err))
			return
		}
		g.relay(w, r, CallerListener, c)
	})
}

// PeerHandler returns the handler for requests from other daemons.
func (g *Gateway) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(r)
		err := decodeHeader(c.Header.Get(EnvelopeHeader), &c.Envelope)
		removeSystemHeaders(c.Header)
		w.Header().Set(versionHeader, strconv.FormatUint(uint64(g.deps.Configurer.Snapshot().Version()), 10))
		if err != nil {
			err = refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the envelope cannot be read: "+err.Error())
		} else {
			err = g.readBody(w, r, c)
		}
		if err == nil {
			err = g.checkStopping()
		}
		if err == nil {
			err = g.peer(r.Context(), c)
		}
		if err != nil {
			refusal := asRefusal(err)
			g.count(PeerListener, string(refusal.Reason), g.since(c))
			setRefusalHeaders(w.Header(), refusal, c.Envelope.Request)
			writeRefusal(w, refusal, c.Envelope.Request)
			return
		}
		setResponseHeaders(w.Header(), c.Response, c.Envelope.Request)
		g.relay(w, r, PeerListener, c)
	})
}

// checkStopping refuses requests that arrive on open connections when the process is about
// to exit, so that no running request is cut off.
func (g *Gateway) checkStopping() error {
	if !g.deps.Stopping() {
		return nil
	}
	return refuseTemporarily(catkinrun.ReasonLeaving, "the daemon is shutting down")
}

func (g *Gateway) newCall(r *http.Request) *catkinrun.Call {
	c := &catkinrun.Call{
		Method: r.Method, Domain: r.Host, URL: r.URL, Target: r.RequestURI, Header: r.Header,
		Length: r.ContentLength, StartedAt: g.deps.Clock.Now(),
	}
	RemoveHopByHopHeaders(c.Header)
	return c
}

// readBody buffers a short body and streams a long one.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *catkinrun.Call) error {
	if r.ContentLength == 0 {
		return nil
	}
	limit := g.deps.Configurer.Snapshot().Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, catkinrun.ReasonBadRequest, "the body is too large")
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the body is incomplete or too large")
	}
	c.Head = head
	if len(head) <= maxBufferedBytes {
		c.Body = head
		return nil
	}
	c.Stream = io.MultiReader(bytes.NewReader(head), body)
	return nil
}

func (g *Gateway) since(c *catkinrun.Call) time.Duration { return g.deps.Clock.Now().Sub(c.StartedAt) }

// refuseCaller responds to a caller with a refusal and logs it.
func (g *Gateway) refuseCaller(w http.ResponseWriter, c *catkinrun.Call, r *catkinrun.Refusal) {
	g.count(CallerListener, string(r.Reason), g.since(c))
	final := *r
	if final.RetryAfter > 0 {
		final.RetryAfter = time.Duration(float64(final.RetryAfter) * (0.75 + g.jitter()/2))
	}
	g.deps.Journal.LogFailed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "team": c.Envelope.Team,
		"status": final.Status, "reason": final.Reason, "outcome": final.Outcome, "detail": final.Detail,
		"version": c.Envelope.Version, "tried": len(c.Tried), "took-ms": g.since(c).Milliseconds(),
		"retry-after-ms": final.RetryAfter.Milliseconds(),
	}, "gateway: request refused")
	g.deps.HeaderCodec.SetRefusalHeaders(w.Header(), c.Envelope.Request, &final)
	writeRefusal(w, &final, c.Envelope.Request)
}

// relay writes the response to r. If the response breaks off, relay closes or resets the connection,
// so that the reader never takes a truncated response for a complete one.
func (g *Gateway) relay(w http.ResponseWriter, r *http.Request, listener Listener, c *catkinrun.Call) {
	response := c.Response
	h := w.Header()
	RemoveHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		h[name] = values
	}
	if response.Header.Get("Date") == "" {
		h["Date"] = nil // the server sent none, and net/http must not add one
	}
	if response.Stream == nil {
		g.count(listener, "answered", g.since(c))
		if c.Method != http.MethodHead {
			h.Set("Content-Length", strconv.Itoa(len(response.Body)))
		}
		w.WriteHeader(response.Status)
		_, _ = w.Write(response.Body) // the caller may have disconnected
		return
	}
	w.WriteHeader(response.Status)
	_, err := io.Copy(w, response.Stream)
	_ = response.Stream.Close() // the unread rest is discarded
	if err != nil {
		g.count(listener, "cut", g.since(c))
		if !r.ProtoAtLeast(1, 1) {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}
	g.count(listener, "answered", g.since(c))
}

// reset resets the connection of a response. HTTP/1.0 has no chunks: a response without a length ends with the
// connection, and is complete if that ends in an orderly way. Where the protocol shows the end otherwise, an orderly
// end is better, since a reset may destroy earlier responses that the reader has not read.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is of another kind, or closed already
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close reset the connection; fails only on a closed one
	}
	_ = conn.Close() // nothing more is sent
}
