package catkinrun

import (
	"context"
	"time"
)

// Clock provides monotonic time and waits. Daemons compare only durations between
// two readings of one clock; wall-clock times are never compared across hosts.
type Clock interface {
	// Now returns the current reading.
	Now() time.Time
	// Wait blocks for d. If ctx ends earlier, it returns the context's error.
	Wait(ctx context.Context, d time.Duration) error
}
