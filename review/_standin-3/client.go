package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var requestCount atomic.Int64

// newRequestID returns an ID for one client attempt.
func newRequestID() string { return fmt.Sprintf("r%07d", requestCount.Add(1)) }

// connection is a client's connection to the daemon of its machine.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection; buffer is its receive buffer, 0 for the usual one.
func connect(address string, buffer int) (*connection, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if buffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
	}}
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, 4096)}, nil
}

// send writes a request.
func (c *connection) send(method, path, id string, deadline time.Duration, body string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, domain, id, deadline.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	} else if method == http.MethodPost {
		head += "Content-Length: 0\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err
}

// receive reads an answer. pause is called between reads of the body.
func (c *connection) receive(deadline time.Duration, method string, pause func()) (response *http.Response, body int, err error) {
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	request := &http.Request{Method: method}
	if response, err = http.ReadResponse(c.reader, request); err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 8192)
	for {
		n, err := response.Body.Read(buffer)
		body += n
		if err == io.EOF {
			return response, body, nil
		}
		if err != nil {
			return response, body, err
		}
		pause()
	}
}

// receiveText reads an answer with its body.
func (c *connection) receiveText(deadline time.Duration, method string) (response *http.Response, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	if response, err = http.ReadResponse(c.reader, &http.Request{Method: method}); err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response, string(raw), err
}

// answered describes an answer for the record.
func answered(response *http.Response, body int, err error) string {
	if response == nil {
		return fmt.Sprintf("no answer (%v)", err)
	}
	text := fmt.Sprintf("%d, %d bytes of body", response.StatusCode, body)
	if err != nil {
		text += fmt.Sprintf(", cut off (%v)", err)
	}
	return strings.TrimSpace(text)
}
