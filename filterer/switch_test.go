package filterer_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/standin/responder"
)

// settleTime is how long connections and goroutines may take to end after the last response.
const settleTime = 2 * time.Second

// settles reports whether a condition holds within settleTime.
func settles(holds func() bool) bool {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// TestChangeOfProtocolIsNoResponse has a server respond with 101 to requests that asked for no other protocol, more often
// than it has slots, and go on in different ways. net/http hands the connection over, so that the deadline did not
// end the reading: the caller got no response, and slot, goroutine and connections were kept for ever.
func TestChangeOfProtocolIsNoResponse(t *testing.T) {
	const requests = 3 * 8 // slots
	for name, connection := range map[string]string{"upgrade": "Connection: Upgrade\r\nUpgrade: none\r\n", "no upgrade": ""} {
		for ending, ends := range map[string]responder.Ending{"more bytes": responder.Trickle, "silence": responder.KeepOpen, "end of the stream": responder.EndStream, "reset": responder.Reset} {
			for _, twoHosts := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, two hosts %v", name, ending, twoHosts), func(t *testing.T) {
					is := is.New(t)
					var runs atomic.Int64
					server, err := responder.New(func(r *http.Request) string {
						runs.Add(1)
						_, _ = io.Copy(io.Discard, r.Body)
						return "HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n" + signatureHeader + connection + "\r\n"
					}, ends, clock.System{})
					is.NoErr(err)
					defer func() { _ = server.Close() }()
					caller := startPath(t, server.Address(), twoHosts)
					goroutines := 0
					for sent := range requests {
						method, path := http.MethodPost, orderPath
						if sent%2 == 1 {
							method, path = http.MethodGet, readPath
						}
						sentAt := time.Now()
						response, _ := answer(t, caller, method, path)
						is.Equal(response.StatusCode, http.StatusBadGateway)
						is.Equal(response.Header.Get("Upgrade"), "")
						is.True(time.Since(sentAt) < 600*time.Millisecond) // before the deadline of 700 ms
						is.Equal(runs.Load(), int64(sent+1))               // it was sent, and not sent again
						if sent == 0 {
							is.True(settles(func() bool { return server.Open() == 0 }))
							goroutines = runtime.NumGoroutine()
						}
					}
					is.True(settles(func() bool { return server.Open() == 0 }))
					is.True(settles(func() bool { return runtime.NumGoroutine() <= goroutines+requests/4 })) // none is left of each request
				})
			}
		}
	}
}
