package exchanger_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/standin/responder"
)

// resets is the number of requests to a server that resets its connections. The system reports a reset to the writer
// of the request or to the reader of the response, whichever asks first.
const resets = 200

// endless is the length of an endlessBody.
const endless = -1

// endlessBody is a body of which the caller sends more for as long as the request lasts.
type endlessBody struct{ ctx context.Context }

func (b endlessBody) Read(p []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return len(p), nil
}

const closeDelimitedHead = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\n"

// readWhole sends a request and reports whether its response was read to an end that looks complete.
func readWhole(t *testing.T, x *exchanger.Exchanger, address, method string, length int) (body string, whole bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c := call(method, "/a", make([]byte, max(0, length)))
	if length == endless {
		c.Stream, c.Length = endlessBody{ctx}, -1
	}
	exchange, err := x.Do(exchanger.NewRequest(ctx, c, address))
	if err != nil {
		return "", false
	}
	if exchange.Response.Stream == nil {
		return string(exchange.Response.Body), true
	}
	read, err := io.ReadAll(exchange.Response.Stream)
	exchange.Discard()
	return string(read), err == nil
}

// TestResetUnderAnUploadEndsNoResponse has a server reset the connection after a part of a response without a length,
// while the request is still being written, or once it is through.
func TestResetUnderAnUploadEndsNoResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		part     string
		method   string
		length   int // of the request's body
		readBody bool
	}{
		{"nothing of the body", "", http.MethodPost, endless, false},
		{"a buffered part", "part", http.MethodPost, endless, false},
		{"a streamed part", strings.Repeat("part", 1<<16), http.MethodPost, endless, false},
		{"after an upload that is not read", "part", http.MethodPost, 1 << 15, false},
		{"after an upload", "part", http.MethodPost, 1 << 15, true},
		{"after a request without a body", "part", http.MethodGet, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, err := responder.New(func(r *http.Request) string {
				if c.readBody {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				return closeDelimitedHead + c.part
			}, responder.Reset, clock.System{})
			is.New(t).NoErr(err)
			defer func() { _ = server.Close() }()
			x := exchanger.New(time.Second, time.Second, 1)
			complete := 0
			for range resets {
				if _, whole := readWhole(t, x, server.Address(), c.method, c.length); whole {
					complete++
				}
			}
			if complete > 0 || server.Responses() != resets {
				t.Errorf("%d of %d responses that were reset look complete, %d requests were reset", complete, resets, server.Responses())
			}
		})
	}
}

// TestOrderlyEndUnderAnUploadIsComplete has a server end a response without a length in an orderly way, while the
// request is still being written. Such a response is whole.
func TestOrderlyEndUnderAnUploadIsComplete(t *testing.T) {
	for _, body := range []string{"", "whole", strings.Repeat("whole", 1<<16)} {
		is := is.New(t)
		server, err := responder.New(responder.Fixed(closeDelimitedHead+body), responder.EndStream, clock.System{})
		is.NoErr(err)
		x := exchanger.New(time.Second, time.Second, 1)
		for range 20 {
			got, whole := readWhole(t, x, server.Address(), http.MethodPost, endless)
			is.True(whole)
			is.Equal(got, body)
		}
		is.NoErr(server.Close())
	}
}
