package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeInterval and probeCount make TCP keep-alive detect a dead connection
	// within three seconds. A daemon counts as in contact again that long after an
	// interruption.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is the longest time for which sent data may stay unacknowledged. It
	// allows several retransmissions and is below the three seconds of the probes.
	userTimeout = 2500 * time.Millisecond
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it is used.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Listen returns a TCP listener whose connections are closed when the other end stops
// responding.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
	return config.Listen(context.Background(), "tcp", address)
}
