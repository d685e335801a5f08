package main

import (
	"sync"
	"time"
)

const (
	// downTime is how long a server that has crashed is away.
	downTime = 2 * time.Second
	// deadlyInterval is the time between two requests that crash the servers that run them.
	deadlyInterval = 4 * time.Second
	// contact is the bound of the site.
	contact = 3 * time.Second
)

// crashes counts the ends of servers that run a deadly request.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	return len(c.at)
}

// third returns when the third server crashed, the zero time before that.
func (c *crashes) third() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 3 {
		return time.Time{}
	}
	return c.at[2]
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}
