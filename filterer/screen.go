package filterer

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

type screen struct {
	deps *Dependencies
}

func newScreen(deps *Dependencies) catkinrun.Filter { return &screen{deps: deps} }

// Process refuses a request that has crashed the servers that ran it, without a Retry-After, since another
// attempt would be refused too.
func (f *screen) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	fingerprint := c.Envelope.Fingerprint
	if crashes, refused := f.deps.Screener.Refuses(fingerprint); refused {
		f.deps.Journal.LogFailed(logrus.Fields{
			"request": c.Envelope.Request, "route": c.Envelope.Route, "team": c.Envelope.Team, "fingerprint": fingerprint.String(), "crashes": crashes,
		}, "screen: request refused, servers have ended while they ran it")
		return refuse(http.StatusServiceUnavailable, catkinrun.ReasonCrash, "servers have ended while they ran requests like this one")
	}
	err := next(ctx, c)
	if err == nil {
		f.deps.Screener.Clear(fingerprint)
	}
	return err
}
