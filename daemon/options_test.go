package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestNoResponseBesideTheHandler sends a request that net/http would answer with a success by itself, which callers would take
// for a server's.
func TestNoResponseBesideTheHandler(t *testing.T) {
	is := is.New(t)
	l := &listener{name: "caller"}
	server := l.newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }), connLimits{})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(socket) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", socket.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusNotFound)
	_ = response.Body.Close()
}
