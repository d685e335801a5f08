package exchanger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/exchanger"
)

func call(method, target string, body []byte) *catkinrun.Call {
	parsed, _ := url.ParseRequestURI(target)
	return &catkinrun.Call{Method: method, Domain: "shop.example", URL: parsed, Target: target, Header: http.Header{}, Body: body}
}

// TestRequestsArriveAsTheyWereSent sends targets and bodies that an HTTP client easily
// alters.
func TestRequestsArriveAsTheyWereSent(t *testing.T) {
	is := is.New(t)
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
	}))
	defer server.Close()
	x := exchanger.New(time.Second, time.Second, 1)
	for _, target := range []string{"/a/b?x=1&y=%2F", "/a%2Fb/../c", "//double/slash", "/a/?"} {
		for _, sent := range []string{"", "some body"} {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
				_, err := x.Do(exchanger.NewRequest(context.Background(), call(method, target, []byte(sent)), server.Listener.Addr().String()))
				is.NoErr(err)
				is.Equal(got.RequestURI, target)
				is.Equal(got.Host, "shop.example")
				is.Equal(string(body), sent)
				is.Equal(len(got.TransferEncoding), 0) // the body keeps its Content-Length
				is.Equal(got.Header.Get("User-Agent"), "")
			}
		}
	}
}

// TestNothingIsSentTwice aborts the response to a request on a reused connection, where
// net/http resends some requests by itself.
func TestNothingIsSentTwice(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	var abort atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		x := exchanger.New(time.Second, time.Second, 1)
		abort.Store(false)
		_, err := x.Do(exchanger.NewRequest(context.Background(), call(method, "/", nil), server.Listener.Addr().String()))
		is.NoErr(err)
		abort.Store(true)
		runs.Store(0)
		_, err = x.Do(exchanger.NewRequest(context.Background(), call(method, "/", nil), server.Listener.Addr().String()))
		var refusal *catkinrun.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Outcome, catkinrun.OutcomeUnknown)
		is.Equal(runs.Load(), int64(1))
	}
}

func TestRefusedConnectionHasReasonClosed(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	is.NoErr(socket.Close())
	_, err = exchanger.New(time.Second, time.Second, 1).Do(exchanger.NewRequest(context.Background(), call(http.MethodGet, "/", nil), address))
	var refusal *catkinrun.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, catkinrun.ReasonClosed)
	is.Equal(refusal.Outcome, catkinrun.OutcomeNotRun)
	is.True(!refusal.Reached)
}
