// Package clock provides the system clock and a fake clock for tests. Components take a
// catkinrun.Clock.
package clock

import (
	"context"
	"sync"
	"time"
)

// System is the host's monotonic clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Wait blocks for d or until ctx ends.
func (System) Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Fake is a clock that advances only through Advance and Wait.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock at a fixed time.
func NewFake() *Fake {
	return &Fake{now: time.Unix(1_000_000, 0)}
}

// Now returns the current time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance advances the clock by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// Wait advances the clock by d and returns immediately.
func (f *Fake) Wait(ctx context.Context, d time.Duration) error {
	f.Advance(d)
	return ctx.Err()
}
