package dialer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/dialer"
)

func get(transport http.RoundTripper, address string) (*dialer.Tracker, error) {
	var tracker dialer.Tracker
	request, _ := http.NewRequest(http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader("body")))
	_, err := transport.RoundTrip(request.WithContext(tracker.Trace(context.Background())))
	return &tracker, err
}

func TestRequestOnRefusedConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	is.NoErr(socket.Close())
	tracker, err := get(dialer.Transport(time.Second, time.Second, 1), address)
	is.True(err != nil)
	is.True(tracker.Unsent())
}

func TestRequestThatServerHasReadIsNotUnsent(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	go readAndClose(socket)
	tracker, err := get(dialer.Transport(time.Second, time.Second, 1), socket.Addr().String())
	is.True(err != nil)
	is.True(!tracker.Unsent()) // some of its bytes were sent
}

func readAndClose(socket net.Listener) {
	conn, err := socket.Accept()
	if err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}
