package filterer

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/authenticator"
	"github.com/catkinrun/catkinrun/messenger"
)

const (
	// bufferLimit is the size up to which a request's body is read before it is sent
	// on; larger ones are streamed and never sent twice.
	bufferLimit = 1 << 20
	// MaxBody bounds a request's body, in bytes.
	MaxBody = 64 << 20
	// maxDedupeKey bounds an Idempotency-Key, in bytes.
	maxDedupeKey = 128
	// requestIDBytes makes request ids unique.
	requestIDBytes = 16
)

// Gateway turns HTTP requests into calls and answers back into HTTP.
type Gateway struct {
	caller, local, peer catkinrun.Handler
	fleetKey            string
	jitter              func() float64
	count               func(stage Stage, outcome string)
}

// NewGateway builds the chains. jitter spreads Retry-After, 0 to 1; count takes
// the end of each request.
func NewGateway(parts *Parts, jitter func() float64, count func(Stage, string)) *Gateway {
	peer := Chain(Peer, parts, nil)
	return &Gateway{
		caller:   Chain(Caller, parts, peer),
		local:    Chain(Local, parts, peer),
		peer:     peer,
		fleetKey: parts.FleetKey,
		jitter:   jitter,
		count:    count,
	}
}

// Caller handles requests from outside. Whatever they say in the system's headers
// is dropped.
func (g *Gateway) Caller() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := newCall(w, r)
		if err == nil {
			dropOwnHeaders(c.Header)
			c.Secret = authenticator.TakeSecret(c.Header)
			err = startEnvelope(c)
		}
		g.run(w, r, Caller, g.caller, c, err)
	})
}

// Local handles the calls that the backend server beside this daemon makes.
func (g *Gateway) Local() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := newCall(w, r)
		if err == nil {
			c.Handle = c.Header.Get(HandleHeader)
			dropOwnHeaders(c.Header)
			_ = authenticator.TakeSecret(c.Header)
			err = startEnvelope(c)
		}
		g.run(w, r, Local, g.local, c, err)
	})
}

// Peer handles the calls that other daemons send.
func (g *Gateway) Peer() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := newCall(w, r)
		if err == nil {
			c.URL.Path = strings.TrimPrefix(c.URL.Path, CallPath)
			err = openSealed(c)
		}
		g.run(w, r, Peer, g.peer, c, err)
	})
}

// Guard lets only requests pass that bear the fleet key.
func (g *Gateway) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get(messenger.FleetKeyHeader)
		if subtle.ConstantTimeCompare([]byte(key), []byte(g.fleetKey)) != 1 {
			writeRefusal(w, refuse(http.StatusForbidden, catkinrun.ReasonPeer, "the fleet key is missing or wrong"), "", g.jitter)
			return
		}
		r.Header.Del(messenger.FleetKeyHeader)
		next.ServeHTTP(w, r)
	})
}

func newCall(w http.ResponseWriter, r *http.Request) (*catkinrun.Call, error) {
	c := &catkinrun.Call{Method: r.Method, URL: r.URL, Header: r.Header, Length: r.ContentLength}
	c.Envelope.Request = newRequestID()
	DropHopHeaders(c.Header)
	body := http.MaxBytesReader(w, r.Body, MaxBody)
	head, err := io.ReadAll(io.LimitReader(body, bufferLimit+1))
	if err != nil {
		return c, refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the body broke off or is too large")
	}
	if len(head) <= bufferLimit {
		c.Body = head
		return c, nil
	}
	c.Stream = io.MultiReader(bytes.NewReader(head), body)
	return c, nil
}

func newRequestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// startEnvelope begins a call tree. The idempotency key is bound to the team later.
func startEnvelope(c *catkinrun.Call) error {
	c.Envelope.Allowance = catkinrun.MaxAllowance
	key := c.Header.Get("Idempotency-Key")
	if len(key) > maxDedupeKey {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "Idempotency-Key is longer than "+strconv.Itoa(maxDedupeKey))
	}
	c.Envelope.DedupeKey = key
	return nil
}

func openSealed(c *catkinrun.Call) error {
	envelope, err := openEnvelope(c.Header.Get(EnvelopeHeader))
	if err != nil {
		return refuse(http.StatusBadRequest, catkinrun.ReasonBadRequest, "the envelope cannot be read")
	}
	dropOwnHeaders(c.Header)
	c.Envelope = envelope
	return nil
}

func (g *Gateway) run(w http.ResponseWriter, r *http.Request, stage Stage, chain catkinrun.Handler, c *catkinrun.Call, err error) {
	if err == nil {
		err = chain(r.Context(), c)
	}
	if err != nil {
		refusal := asRefusal(err)
		g.count(stage, string(refusal.Reason))
		if stage != Peer {
			refusal = refusal.WithLevel(0) // for daemons only
		}
		writeRefusal(w, refusal, c.Envelope.Request, g.jitter)
		return
	}
	g.count(stage, "answered")
	g.relay(r.Context(), w, stage, c)
}

// asRefusal finds the refusal in an error. An error of another type leaves open
// whether the request ran.
func asRefusal(err error) *catkinrun.Refusal {
	var refusal *catkinrun.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &catkinrun.Refusal{
		Status: http.StatusInternalServerError, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown, Detail: "internal error",
	}
}

// relay passes an answer on. One that breaks off ends the connection, so that its
// reader never takes a part for the whole.
func (g *Gateway) relay(_ context.Context, w http.ResponseWriter, stage Stage, c *catkinrun.Call) {
	answer := c.Answer
	h := w.Header()
	DropHopHeaders(answer.Header)
	for name, values := range answer.Header {
		h[name] = values
	}
	h.Set(RequestHeader, c.Envelope.Request)
	if stage == Peer {
		writeReport(h, answer)
	}
	if answer.Stream == nil {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
		return
	}
	w.WriteHeader(answer.Status)
	_, err := io.Copy(w, answer.Stream)
	_ = answer.Stream.Close()
	if err != nil {
		g.count(stage, "cut")
		panic(http.ErrAbortHandler)
	}
}
