package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// request is one client attempt.
type request struct {
	host     *host // whose clients send it
	method   string
	path     string
	key      string
	body     []byte
	deadline time.Duration
}

// answer is what a client has received.
type answer struct {
	id       string
	sentAt   time.Time
	at       time.Time
	status   int // 0 without an answer
	whole    bool
	err      error
	body     []byte
	timedOut bool // the client's deadline passed
}

// send sends a request on a new connection and waits for the answer until the client's deadline.
func (r request) send(rec *record) answer {
	a := answer{id: fmt.Sprintf("q%06d", requestCount.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, r.method, r.host.callerURL()+r.path, bytes.NewReader(r.body))
	check(err)
	hr.Host = domain
	hr.Header.Set("X-Request-Id", a.id)
	hr.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		hr.Header.Set("Authorization", "Bearer "+r.key)
	}
	rec.add("sent", fmt.Sprintf("%s %s %s to %s", a.id, r.method, r.path, r.host.name))
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(hr)
	if err == nil {
		a.status = response.StatusCode
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.at, a.err, a.whole = time.Now(), err, err == nil
	a.timedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	text := fmt.Sprintf("%s status %d whole %t after %d ms", a.id, a.status, a.whole, a.at.Sub(a.sentAt).Milliseconds())
	if err != nil {
		text += " error: " + err.Error()
	}
	rec.add("answered", text)
	return a
}
