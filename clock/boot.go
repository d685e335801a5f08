package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the host's clock since it was booted. Unlike System it counts the time for which
// the host was suspended, so that a lease does not outlive a suspension. A reading costs a
// system call.
type Boot struct{}

// Now returns the time since boot as a time after the Unix epoch; only differences between two
// readings have a meaning.
func (Boot) Now() time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(err) // Linux has had this clock since version 2.6.39
	}
	return time.Unix(reading.Unix())
}

// Wait blocks for d or until ctx ends. Time for which the host is suspended does not count.
func (Boot) Wait(ctx context.Context, d time.Duration) error { return System{}.Wait(ctx, d) }
