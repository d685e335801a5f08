package dialer_test

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/standin/responder"
)

// TestInvalidResponsesFail has a server send responses that net/http accepts and HTTP does not allow. Nothing that
// follows one on its connection may be read.
func TestInvalidResponsesFail(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":          "HTTP/1.1 000 OK\r\n",
		"status 099":          "HTTP/1.1 099 OK\r\n",
		"status 101":          "HTTP/1.1 101 Switching Protocols\r\n",
		"change of protocol":  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: none\r\n",
		"status 600":          "HTTP/1.1 600 OK\r\n",
		"status with a sign":  "HTTP/1.1 +20 OK\r\n",
		"status with a minus": "HTTP/1.1 -00 OK\r\n",
		"later version":       "HTTP/2.0 200 OK\r\n",
		"earlier version":     "HTTP/0.9 200 OK\r\n",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX-Bad Name: x\r\n",
		"blank at the end":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	} {
		for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\ndone"} {
			t.Run(name+strings.ReplaceAll(framing, "\r\n", " "), func(t *testing.T) {
				is := is.New(t)
				server, err := responder.New(responder.Fixed(head+framing), responder.KeepOpen, clock.System{})
				is.NoErr(err)
				defer func() { _ = server.Close() }()
				client := &http.Client{Transport: dialer.Transport(time.Second, time.Minute, 1)}
				for sent := range 3 {
					_, err := client.Get("http://" + server.Address())
					var invalid *dialer.InvalidResponseError
					is.True(errors.As(err, &invalid))
					is.Equal(server.Conns(), int64(sent+1))
				}
			})
		}
	}
}

// TestLastConnectionOfARequestIsClosed has a request use a second connection, as net/http does by itself if the first one
// was closed before anything was written to it. The response arrives on the second.
func TestLastConnectionOfARequestIsClosed(t *testing.T) {
	is := is.New(t)
	first, _ := connect(t)
	second, far := connect(t)
	var tracker dialer.Tracker
	trace := httptrace.ContextClientTrace(tracker.Trace(t.Context()))
	trace.GotConn(httptrace.GotConnInfo{Conn: first})
	trace.GotConn(httptrace.GotConnInfo{Conn: second, Reused: true})
	is.True(!tracker.Unsent()) // which of the two was written to is unknown
	tracker.Close()
	is.NoErr(far.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err := far.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestUnusualResponsesAreResponses has a server send responses that HTTP allows.
func TestUnusualResponsesAreResponses(t *testing.T) {
	for name, response := range map[string]string{
		"lowest final status":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"status without a name": "HTTP/1.1 299 \r\nContent-Length: 0\r\n\r\n",
		"highest status":        "HTTP/1.1 599 x\r\nContent-Length: 0\r\n\r\n",
		"interim response":      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.2":              "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"unusual names":         "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: x\r\nContent-Length: 0\r\n\r\n",
		"no value":              "HTTP/1.1 200 OK\r\nX-Empty:\r\nContent-Length: 0\r\n\r\n",
		"value of other bytes":  "HTTP/1.1 200 OK\r\nX-Name: a\tb \xe9\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := responder.New(responder.Fixed(response), responder.KeepOpen, clock.System{})
			is.NoErr(err)
			defer func() { _ = server.Close() }()
			client := &http.Client{Transport: dialer.Transport(time.Second, time.Minute, 1)}
			for range 3 {
				response, err := client.Get("http://" + server.Address())
				is.NoErr(err)
				_ = response.Body.Close()
			}
		})
	}
}
