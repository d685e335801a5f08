package filterer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// bufferLimit is the size up to which a request's body is read before it is sent
	// on; larger ones are streamed and never sent twice.
	bufferLimit = 64 << 10
	// maxBody bounds a request's body where the configuration does not, in bytes.
	maxBody = 64 << 20
	// maxTimeLeft bounds the wait that a caller may state.
	maxTimeLeft = 10 * time.Minute
)

// Gateway turns HTTP requests into calls and answers back into HTTP.
type Gateway struct {
	parts        *Parts
	caller, peer catkinrun.Handler
	jitter       func() float64
	count        func(stage Stage, outcome string, took time.Duration)
}

// NewGateway builds the chains. jitter spreads Retry-After, 0 to 1; count takes
// the end of each request.
func NewGateway(parts *Parts, jitter func() float64, count func(Stage, string, time.Duration)) *Gateway {
	peer := Chain(Peer, parts, nil)
	return &Gateway{parts: parts, caller: Chain(Caller, parts, peer), peer: peer, jitter: jitter, count: count}
}

// Caller handles the requests of callers on this host. Whatever they say in the
// system's headers is dropped.
func (g *Gateway) Caller() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(r)
		dropOwnHeaders(c.Header)
		facts := g.parts.Dialect.TakeRequest(c.Header)
		c.Envelope.Request, c.Secret, c.TimeLeft = facts.ID, facts.Secret, min(facts.TimeLeft, maxTimeLeft)
		err := g.readBody(w, r, c)
		if facts.ID == "" {
			err = refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the request has no id")
		}
		if err == nil {
			err = g.stopping()
		}
		if err == nil {
			err = g.caller(r.Context(), c)
		}
		if err != nil {
			g.refuseCaller(w, c, asRefusal(err))
			return
		}
		g.relay(w, Caller, c)
	})
}

// Peer handles the calls that other daemons send.
func (g *Gateway) Peer() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(r)
		err := open(c.Header.Get(EnvelopeHeader), &c.Envelope)
		dropOwnHeaders(c.Header)
		w.Header().Set(versionHeader, strconv.FormatUint(uint64(g.parts.Configurer.Snapshot().Version()), 10))
		if err != nil {
			err = refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the envelope cannot be read: "+err.Error())
		} else {
			err = g.readBody(w, r, c)
		}
		if err == nil {
			err = g.stopping()
		}
		if err == nil {
			err = g.peer(r.Context(), c)
		}
		if err != nil {
			refusal := asRefusal(err)
			g.count(Peer, string(refusal.Reason), g.since(c))
			writeRefusalReport(w.Header(), refusal, c.Envelope.Request)
			writeRefusal(w, refusal, c.Envelope.Request)
			return
		}
		writeReport(w.Header(), c.Answer, c.Envelope.Request)
		g.relay(w, Peer, c)
	})
}

// stopping refuses what comes on open connections when the process is about to end, so
// that nothing that runs is cut.
func (g *Gateway) stopping() error {
	if !g.parts.Stopping() {
		return nil
	}
	return refuseLater(catkinrun.ReasonLeaving, "this daemon is about to stop")
}

func (g *Gateway) newCall(r *http.Request) *catkinrun.Call {
	c := &catkinrun.Call{
		Method: r.Method, Domain: r.Host, URL: r.URL, Target: r.RequestURI, Header: r.Header,
		Length: r.ContentLength, StartedAt: g.parts.Clock.Now(),
	}
	DropHopHeaders(c.Header)
	return c
}

// readBody reads a body whole if it is short.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *catkinrun.Call) error {
	if r.ContentLength == 0 {
		return nil
	}
	limit := g.parts.Configurer.Snapshot().Limits().BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if r.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, catkinrun.ReasonBadRequest, "the body is too large")
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(body, bufferLimit+1))
	if err != nil {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the body broke off or is too large")
	}
	if len(head) <= bufferLimit {
		c.Body = head
		return nil
	}
	c.Stream = io.MultiReader(bytes.NewReader(head), body)
	return nil
}

func (g *Gateway) since(c *catkinrun.Call) time.Duration { return g.parts.Clock.Now().Sub(c.StartedAt) }

// refuseCaller ends a caller's request with a refusal and says why in the log.
func (g *Gateway) refuseCaller(w http.ResponseWriter, c *catkinrun.Call, r *catkinrun.Refusal) {
	g.count(Caller, string(r.Reason), g.since(c))
	final := *r
	if final.RetryAfter > 0 {
		final.RetryAfter = time.Duration(float64(final.RetryAfter) * (0.75 + g.jitter()/2))
	}
	g.parts.Journal.Failed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "team": c.Envelope.Team,
		"status": final.Status, "reason": final.Reason, "outcome": final.Outcome, "detail": final.Detail,
		"version": c.Envelope.Version, "tried": len(c.Tried), "took-ms": g.since(c).Milliseconds(),
		"retry-after-ms": final.RetryAfter.Milliseconds(),
	}, "gateway: request refused")
	g.parts.Dialect.Refuse(w.Header(), c.Envelope.Request, &final)
	writeRefusal(w, &final, c.Envelope.Request)
}

// relay passes an answer on. One that breaks off ends the connection, so that its
// reader never takes a part for the whole.
func (g *Gateway) relay(w http.ResponseWriter, stage Stage, c *catkinrun.Call) {
	answer := c.Answer
	h := w.Header()
	DropHopHeaders(answer.Header)
	for name, values := range answer.Header {
		h[name] = values
	}
	if answer.Header.Get("Date") == "" {
		h["Date"] = nil // the server's answer has none
	}
	if answer.Stream == nil {
		g.count(stage, "answered", g.since(c))
		if c.Method != http.MethodHead {
			h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		}
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body) // the caller may be gone
		return
	}
	w.WriteHeader(answer.Status)
	_, err := io.Copy(w, answer.Stream)
	_ = answer.Stream.Close() // an unread rest is not wanted
	if err != nil {
		g.count(stage, "cut", g.since(c))
		panic(http.ErrAbortHandler)
	}
	g.count(stage, "answered", g.since(c))
}
