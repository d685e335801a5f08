package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount find a connection that has gone silent
	// within three seconds, the time after which a daemon counts as in touch again.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is the longest time for which sent bytes may stay unacknowledged:
	// several retransmissions, and below the probes' three seconds.
	userTimeout = 2500 * time.Millisecond
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// limitSilence sets the user timeout of a socket before it is used.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Listen returns a listener whose connections are closed when their other end has
// gone silent.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitSilence, KeepAliveConfig: keepAlive()}
	return config.Listen(context.Background(), "tcp", address)
}
