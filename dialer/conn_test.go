package dialer_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/dialer"
)

// connect returns the two ends of a TCP connection, the first of them as a *dialer.Conn.
func connect(t *testing.T) (*dialer.Conn, *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	near, err := net.Dial("tcp", socket.Addr().String())
	is.NoErr(err)
	far, err := socket.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return &dialer.Conn{Conn: near}, far.(*net.TCPConn)
}

// TestResetThatAWriteHasReportedIsNoOrderlyEnd has a write report the reset first. The operating system reports it
// only once, and lets reads that come later see an orderly end.
func TestResetThatAWriteHasReportedIsNoOrderlyEnd(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	_, err := io.WriteString(far, "part")
	is.NoErr(err)
	is.NoErr(far.SetLinger(0)) // makes Close reset the connection
	is.NoErr(far.Close())
	for err == nil {
		_, err = near.Write(make([]byte, 1<<10))
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = io.ReadAll(near)
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestOrderlyEndBeforeAResetStaysOrderly has the other end end its stream and then reset the connection, as the
// system does for data that arrives after a close. All bytes have arrived by then.
func TestOrderlyEndBeforeAResetStaysOrderly(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	_, err := io.WriteString(far, "whole")
	is.NoErr(err)
	is.NoErr(far.Close())
	for err == nil {
		_, err = near.Write(make([]byte, 1<<10))
	}
	got, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(got), "whole")
}

// TestOrderlyEndIsReadWhileAWriteWaits has the other end end its stream without reading what is written to it.
func TestOrderlyEndIsReadWhileAWriteWaits(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	go func() {
		_, _ = near.Write(make([]byte, 64<<20)) // more than the system buffers
	}()
	_, err := io.WriteString(far, "whole")
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	got, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(got), "whole")
}

// orderedConn plays one order of events: a write has taken the reset from the operating system but not yet
// returned when a read sees the end.
type orderedConn struct {
	net.Conn
	taken    chan struct{} // closed once a write has taken the reset
	released chan struct{} // closed when that write may return
}

func (c *orderedConn) Write([]byte) (int, error) {
	close(c.taken)
	<-c.released
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *orderedConn) Read([]byte) (int, error) { return 0, io.EOF }

// SetWriteDeadline is called for a write that has not returned.
func (c *orderedConn) SetWriteDeadline(time.Time) error {
	close(c.released)
	return nil
}

// TestEndWaitsForAWriteThatMayHaveTakenAReset has a read see the end while a write is about to report a reset.
func TestEndWaitsForAWriteThatMayHaveTakenAReset(t *testing.T) {
	is := is.New(t)
	ordered := &orderedConn{taken: make(chan struct{}), released: make(chan struct{})}
	conn := &dialer.Conn{Conn: ordered}
	written := make(chan error)
	go func() {
		_, err := conn.Write([]byte("body"))
		written <- err
	}()
	<-ordered.taken
	_, err := conn.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(errors.Is(<-written, syscall.ECONNRESET))
}
