package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/replicator"
)

type classify struct {
	replica *replicator.Replica
}

func newClassify(p *Parts) catkinrun.Filter { return &classify{replica: p.Replica} }

// Process finds the route. A request that a caller makes gets the route's priority
// and time limit; one that a backend server makes keeps its parent's priority, and
// its time is the shorter of both.
func (f *classify) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	snapshot := f.replica.Snapshot()
	route, ok := snapshot.Match(c.Method, c.URL.Path)
	if !ok {
		return refuse(http.StatusNotFound, catkinrun.ReasonRoute, "no route for "+c.Method+" "+c.URL.Path)
	}
	c.Service = route.Route.Service
	c.Open = route.Route.Open
	c.Envelope.Route = route.Name
	c.Envelope.Version = snapshot.Version()
	c.Envelope.Idempotent = route.Route.Idempotent
	if c.Envelope.Hops == 0 {
		c.Envelope.Priority = route.Route.Priority
	}
	if c.Envelope.Team == "" && !c.Open && c.Handle == "" && c.Secret == "" {
		return refuse(http.StatusUnauthorized, catkinrun.ReasonKey, "the route needs a key")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Route.Timeout))
	return until(ctx, cancel, c, next)
}
