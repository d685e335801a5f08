// Package filterer implements the steps that process a request in a daemon.
package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/correlator"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/observer"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/screener"
	"github.com/catkinrun/catkinrun/shedder"
	"github.com/catkinrun/catkinrun/syncer"
)

// Listener names the listener whose chain a step belongs to.
type Listener string

// The listeners that have a chain.
const (
	CallerListener Listener = "caller" // requests from callers on this host, including the server beside the daemon
	PeerListener   Listener = "peer"   // requests from other daemons
)

// Step describes one step of a chain.
type Step struct {
	Name     string
	Summary  string
	Listener Listener
	New      func(deps *Dependencies) catkinrun.Filter
}

// Steps lists all steps in the order in which they process a request.
var Steps = []Step{
	{"classify", "match the route; set the service, the priority and the deadline", CallerListener, newClassify},
	{"authenticate", "check the key and remove it", CallerListener, newAuthenticate},
	{"screen", "refuse requests that crash the servers that run them", CallerListener, newScreen},
	{"shed", "refuse requests for which downstream servers lack spare capacity", CallerListener, newShed},
	{"limit", "limit the rate of the team", CallerListener, newLimit},
	{"retry", "try another host where this is safe", CallerListener, newRetry},
	{"route", "choose the host", CallerListener, newRoute},
	{"send", "send the request to the host's daemon", CallerListener, newSend},
	{"verify", "check the envelope; check the request against a newer configuration", PeerListener, newVerify},
	{"screen", "the same, by what this daemon knows", PeerListener, newScreen},
	{"admit", "wait for a slot and for the rate that the server takes, or shed", PeerListener, newAdmit},
	{"forward", "send the request to the backend server, a retry only within the budget", PeerListener, newForward},
}

// Chain builds the chain of a listener. last is the next handler of its last step; it may be
// nil if that step calls none.
func Chain(listener Listener, deps *Dependencies, last catkinrun.Handler) catkinrun.Handler {
	handler := last
	for i := len(Steps) - 1; i >= 0; i-- {
		if Steps[i].Listener == listener {
			handler = wrap(Steps[i].New(deps), handler)
		}
	}
	return handler
}

func wrap(f catkinrun.Filter, next catkinrun.Handler) catkinrun.Handler {
	return func(ctx context.Context, c *catkinrun.Call) error { return f.Process(ctx, c, next) }
}

// Dependencies holds the components and settings that the steps use.
type Dependencies struct {
	Self        catkinrun.Member
	Server      string // address of the server beside this daemon, IP and port
	HeaderCodec catkinrun.HeaderCodec
	Configurer  *configurer.Configurer
	Correlator  *correlator.Correlator
	Shedder     *shedder.Shedder
	Limiter     *limiter.Limiter
	Router      *router.Router
	Budget      *retrier.Budget // of the server beside this daemon
	Registrar   *registrar.Registrar
	Admitter    *admitter.Admitter
	Observer    *observer.Observer
	Screener    *screener.Screener
	Syncer      *syncer.Syncer
	Peers       *exchanger.Exchanger // to other daemons
	Backend     *exchanger.Exchanger // to the backend server beside this daemon
	Stopping    func() bool          // reports whether the end of the process might cut off a new request
	Clock       catkinrun.Clock
	Journal     *journaler.Journal
}

// serverFor returns the server beside this daemon, and whether it accepts new requests for
// the call's service.
func (d *Dependencies) serverFor(c *catkinrun.Call) (server catkinrun.Server, ok bool) {
	server, accepting := d.Registrar.Server()
	return server, accepting && server.Service == c.Envelope.Service
}

// applyRateLimit applies the limit that the server beside this daemon has named.
func (d *Dependencies) applyRateLimit(server catkinrun.Server) {
	perSecond, limited := d.Observer.Limit(d.Self.Host, server.Start())
	d.Admitter.SetRateLimit(limited, perSecond)
}

// refuse returns the refusal of a request that is proven not to have run.
func refuse(status int, reason catkinrun.Reason, detail string) *catkinrun.Refusal {
	return &catkinrun.Refusal{Status: status, Reason: reason, Outcome: catkinrun.OutcomeNotRun, Detail: detail}
}

// refuseTemporarily returns the refusal of a request that is proven not to have run, for a
// temporary cause and with a Retry-After.
func refuseTemporarily(reason catkinrun.Reason, detail string) *catkinrun.Refusal {
	r := refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = defaultRetryAfter
	return r
}

// cancelAfterResponse calls next and cancels its context once the response is complete or
// next has failed.
func cancelAfterResponse(ctx context.Context, cancel context.CancelFunc, c *catkinrun.Call, next catkinrun.Handler) error {
	err := next(ctx, c)
	if err != nil || c.Response == nil {
		cancel()
		return err
	}
	c.Response.OnEnd(func(bool) { cancel() })
	return nil
}
