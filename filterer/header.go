package filterer

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/messenger"
)

// Headers of the system. Those with the prefix are dropped from what callers send
// and from what backend servers answer.
const (
	headerPrefix   = "Catkinrun-"
	EnvelopeHeader = "Catkinrun-Envelope" // daemon to daemon
	RequestHeader  = "Catkinrun-Request"  // daemon to daemon
	OutcomeHeader  = "Catkinrun-Outcome"  // on refusals
	ReasonHeader   = "Catkinrun-Reason"   // on refusals
	loadHeader     = "Catkinrun-Load"     // daemon to daemon, in thousandths of the slots
	pressureHeader = "Catkinrun-Pressure" // daemon to daemon, CBOR in base64; missing for none
	versionHeader  = "Catkinrun-Version"  // daemon to daemon
	reachedHeader  = "Catkinrun-Reached"  // daemon to daemon, on refusals
	failedHeader   = "Catkinrun-Failed"   // daemon to daemon
	loadScale      = 1000
)

// retryAfter is the wait told to a caller for a cause that passes soon.
const retryAfter = 500 * time.Millisecond

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopHeaders removes the headers that belong to one connection.
func DropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// dropOwnHeaders removes the system's headers.
func dropOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// seal returns a value in the form of a header between daemons.
func seal(value any) (string, error) {
	raw, err := messenger.Encode(value)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// open reads and checks a value that seal has written.
func open(text string, value any) error {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	return messenger.Decode(raw, value)
}

// problem is the body of a refusal, as RFC 9457 has it.
type problem struct {
	Type    string            `json:"type"`
	Title   string            `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail"`
	Reason  catkinrun.Reason  `json:"reason"`
	Outcome catkinrun.Outcome `json:"outcome"`
	Request string            `json:"request"`
}

// writeRefusal ends a request without an answer of a backend server.
func writeRefusal(w http.ResponseWriter, r *catkinrun.Refusal, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(OutcomeHeader, string(r.Outcome))
	h.Set(ReasonHeader, string(r.Reason))
	body, err := json.Marshal(problem{
		Type: "about:blank", Title: http.StatusText(r.Status), Status: r.Status,
		Detail: r.Detail, Reason: r.Reason, Outcome: r.Outcome, Request: request,
	})
	if err != nil {
		body = nil // the status and the headers say the same
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body) // the caller may be gone
}

// writeRefusalReport adds what the entry daemon shall know of a refusal.
func writeRefusalReport(h http.Header, r *catkinrun.Refusal, request string) {
	writeState(h, request, r.Load, r.Pressure)
	if r.Reached {
		h.Set(reachedHeader, "1")
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// readRefusal reads a refusal of another daemon. Only daemons send the outcome
// header, since it is dropped from what backend servers answer.
func readRefusal(a *catkinrun.Answer) (*catkinrun.Refusal, bool) {
	outcome := catkinrun.Outcome(a.Header.Get(OutcomeHeader))
	if outcome == "" {
		return nil, false
	}
	if outcome != catkinrun.NotRun {
		outcome = catkinrun.Unknown
	}
	var p problem
	_ = json.Unmarshal(a.Body, &p) // the detail is for people only
	refusal := &catkinrun.Refusal{
		Status: a.Status, Reason: catkinrun.Reason(a.Header.Get(ReasonHeader)), Outcome: outcome, Detail: p.Detail,
		Load: float64(number(a.Header, loadHeader)) / loadScale, Reached: a.Header.Get(reachedHeader) != "",
	}
	if pressure, ok := readPressure(a.Header); ok {
		refusal.Pressure = &pressure
	}
	if seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return refusal, true
}

// writeState says which request is meant and how its server is.
func writeState(h http.Header, request string, load float64, pressure *catkinrun.Pressure) {
	h.Set(RequestHeader, request)
	h.Set(loadHeader, strconv.Itoa(int(load*loadScale)))
	if pressure == nil {
		return
	}
	if steps := pressure.Steps(); len(steps) > 0 {
		if text, err := seal(steps); err == nil { // a list of numbers can always be encoded
			h.Set(pressureHeader, text)
		}
	}
}

// readPressure reads the pressure that another daemon says; ok is false if it says none.
// One that cannot be read was written by a daemon of another version and counts as none:
// the entry then sends what the server's own admission sheds.
func readPressure(h http.Header) (p catkinrun.Pressure, ok bool) {
	text := h.Get(pressureHeader)
	if text == "" {
		return p, false
	}
	var steps []catkinrun.Step
	if err := open(text, &steps); err != nil {
		return p, false
	}
	p, err := catkinrun.NewPressure(steps)
	return p, err == nil
}

// writeReport adds what the entry daemon shall know of the answer.
func writeReport(h http.Header, a *catkinrun.Answer, request string) {
	writeState(h, request, a.Load, &a.Pressure)
	if a.Failed {
		h.Set(failedHeader, "1")
	}
}

// readReport takes it out again.
func readReport(a *catkinrun.Answer) {
	a.Load = float64(number(a.Header, loadHeader)) / loadScale
	a.Pressure, _ = readPressure(a.Header) // none is said by leaving it out
	a.Version = catkinrun.Version(number(a.Header, versionHeader))
	a.Failed = a.Header.Get(failedHeader) != ""
	dropOwnHeaders(a.Header)
}

// number reads a header as a number of at least 0; anything else is 0.
func number(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return max(0, n)
}

// objectiveOf returns the latency wanted of a route, its timeout if none is declared.
func objectiveOf(r *catkinrun.Route) time.Duration {
	if r.Objective > 0 {
		return time.Duration(r.Objective)
	}
	return time.Duration(r.Timeout)
}
