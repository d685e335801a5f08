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

// Headers of the system. All with headerPrefix are removed from callers' requests and
// from backend servers' responses.
const (
	headerPrefix   = "Catkinrun-"
	EnvelopeHeader = "Catkinrun-Envelope" // daemon to daemon
	RequestHeader  = "Catkinrun-Request"  // daemon to daemon
	OutcomeHeader  = "Catkinrun-Outcome"  // on refusals
	ReasonHeader   = "Catkinrun-Reason"   // on refusals
	loadHeader     = "Catkinrun-Load"     // daemon to daemon, in thousandths
	pressureHeader = "Catkinrun-Pressure" // daemon to daemon, CBOR in base64; missing for none
	versionHeader  = "Catkinrun-Version"  // daemon to daemon
	reachedHeader  = "Catkinrun-Reached"  // daemon to daemon, on refusals
	failedHeader   = "Catkinrun-Failed"   // daemon to daemon
	serverHeader   = "Catkinrun-Server"   // daemon to daemon, start of a backend server that states something about itself
	loadScale      = 1000
)

// defaultRetryAfter is the Retry-After of a refusal for a temporary cause.
const defaultRetryAfter = 500 * time.Millisecond

// hopByHopHeaders apply to one connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the hop-by-hop headers, including those that Connection lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

func removeSystemHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// encodeHeader returns a value encoded for a header between daemons.
func encodeHeader(value any) (string, error) {
	raw, err := messenger.Encode(value)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// decodeHeader decodes and validates a value that encodeHeader has encoded.
func decodeHeader(text string, value any) error {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	return messenger.Decode(raw, value)
}

// problem is the body of a refusal as defined by RFC 9457.
type problem struct {
	Type    string            `json:"type"`
	Title   string            `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail"`
	Reason  catkinrun.Reason  `json:"reason"`
	Outcome catkinrun.Outcome `json:"outcome"`
	Request string            `json:"request"`
}

// writeRefusal writes a refusal as the response to a request.
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
		body = nil // the status and the headers still describe the refusal
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}

// setRefusalHeaders sets the headers that describe a refusal to the entry daemon.
func setRefusalHeaders(h http.Header, r *catkinrun.Refusal, request string) {
	setStateHeaders(h, request, r.Load, r.Pressure)
	if r.Reached {
		h.Set(reachedHeader, "1")
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// readRefusal returns the refusal in another daemon's response, if there is one. Only
// daemons send the outcome header, since it is removed from backend servers' responses.
func readRefusal(response *catkinrun.Response) (*catkinrun.Refusal, bool) {
	outcome := catkinrun.Outcome(response.Header.Get(OutcomeHeader))
	if outcome == "" {
		return nil, false
	}
	if outcome != catkinrun.OutcomeNotRun {
		outcome = catkinrun.OutcomeUnknown
	}
	var p problem
	_ = json.Unmarshal(response.Body, &p) // the detail is informational only
	refusal := &catkinrun.Refusal{
		Status: response.Status, Reason: catkinrun.Reason(response.Header.Get(ReasonHeader)), Outcome: outcome, Detail: p.Detail,
		Load: float64(headerInt(response.Header, loadHeader)) / loadScale, Reached: response.Header.Get(reachedHeader) != "",
	}
	if pressure, ok := readPressure(response.Header); ok {
		refusal.Pressure = &pressure
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return refusal, true
}

// setStateHeaders sets the headers for the request ID, the load and the pressure.
func setStateHeaders(h http.Header, request string, load float64, pressure *catkinrun.Pressure) {
	h.Set(RequestHeader, request)
	h.Set(loadHeader, strconv.Itoa(int(load*loadScale)))
	if pressure == nil {
		return
	}
	if steps := pressure.Steps(); len(steps) > 0 {
		if text, err := encodeHeader(steps); err == nil { // a list of numbers can always be encoded
			h.Set(pressureHeader, text)
		}
	}
}

// readPressure returns the pressure that another daemon reports; ok is false if there is
// none. A value that cannot be decoded was written by a daemon of another version and
// counts as none: the entry daemon then sends requests that the serving daemon has to shed.
func readPressure(h http.Header) (p catkinrun.Pressure, ok bool) {
	text := h.Get(pressureHeader)
	if text == "" {
		return p, false
	}
	var steps []catkinrun.PressureStep
	if err := decodeHeader(text, &steps); err != nil {
		return p, false
	}
	p, err := catkinrun.NewPressure(steps)
	return p, err == nil
}

// setResponseHeaders sets the headers that describe a response to the entry daemon.
func setResponseHeaders(h http.Header, response *catkinrun.Response, request string) {
	setStateHeaders(h, request, response.Load, &response.Pressure)
	if response.Failed {
		h.Set(failedHeader, "1")
	}
	if response.Server != "" {
		h.Set(serverHeader, response.Server)
	}
}

// takeResponseHeaders copies the serving daemon's headers to the fields of the response and
// removes them.
func takeResponseHeaders(response *catkinrun.Response) {
	response.Load = float64(headerInt(response.Header, loadHeader)) / loadScale
	response.Pressure, _ = readPressure(response.Header) // a missing header means no pressure
	response.Version = catkinrun.Version(headerInt(response.Header, versionHeader))
	response.Failed = response.Header.Get(failedHeader) != ""
	response.Server = response.Header.Get(serverHeader)
	removeSystemHeaders(response.Header)
}

// headerInt returns a header's value as an integer, or 0 if it is malformed or negative.
func headerInt(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return 0
	}
	return max(0, n)
}

// objectiveOf returns the latency objective of a route, or its timeout if none is declared.
func objectiveOf(r *catkinrun.Route) time.Duration {
	if r.Objective > 0 {
		return time.Duration(r.Objective)
	}
	return time.Duration(r.Timeout)
}
