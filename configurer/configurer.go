// Package configurer holds the configuration in force at this daemon. Its version never
// decreases.
package configurer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// Configurer holds one snapshot. It is safe for concurrent use.
type Configurer struct {
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	current atomic.Pointer[catkinrun.Snapshot]

	mu        sync.Mutex
	appliedAt time.Time
}

// New returns a configurer without a configuration.
func New(clock catkinrun.Clock, log logrus.FieldLogger) *Configurer {
	c := &Configurer{clock: clock, log: log}
	c.current.Store(catkinrun.EmptySnapshot())
	return c
}

// Snapshot returns the configuration in force; its version is 0 if there is none yet.
func (c *Configurer) Snapshot() *catkinrun.Snapshot { return c.current.Load() }

// Apply brings a configuration into force if it is newer than the one in force. It reports
// whether it did so, and fails with *catkinrun.InvalidError.
func (c *Configurer) Apply(data catkinrun.SnapshotData, source string) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.current.Load().Version()
	if data.Version <= previous {
		return false, nil
	}
	next, err := catkinrun.NewSnapshot(data)
	if err != nil {
		return false, err
	}
	c.current.Store(next)
	c.appliedAt = c.clock.Now()
	c.log.WithFields(logrus.Fields{
		"version": data.Version, "before": previous, "source": source, "resources": len(data.Resources),
	}).Info("configurer: configuration in force")
	return true, nil
}

// Age returns the time since the configuration came into force.
func (c *Configurer) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.appliedAt)
}
