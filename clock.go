package catkinrun

import (
	"context"
	"time"
)

// Clock tells monotonic time and waits. Durations between two readings of one
// clock are the only times that daemons compare; wall times never cross hosts.
type Clock interface {
	// Now returns the current reading.
	Now() time.Time
	// Wait blocks for d or until ctx ends, and then returns the context's error.
	Wait(ctx context.Context, d time.Duration) error
}
