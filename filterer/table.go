// Package filterer holds the steps of a request's way through a daemon.
package filterer

import (
	"context"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/configurer"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/learner"
	"github.com/catkinrun/catkinrun/leveler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/syncer"
)

// Stage is the listener whose chain a step belongs to.
type Stage string

// The stages.
const (
	Caller Stage = "caller" // callers on this host, the server beside the daemon among them
	Peer   Stage = "peer"   // other daemons
)

// Parts are what the steps are built from.
type Parts struct {
	Self       catkinrun.Member
	Service    string // of this host, until its server has announced itself
	Server     string // address of the server beside this daemon, IP and port
	Dialect    catkinrun.Dialect
	Configurer *configurer.Configurer
	Learner    *learner.Learner
	Leveler    *leveler.Leveler
	Limiter    *limiter.Limiter
	Router     *router.Router
	Budget     *retrier.Budget // of the server beside this daemon
	Registrar  *registrar.Registrar
	Admitter   *admitter.Admitter
	Syncer     *syncer.Syncer
	Peers      *exchanger.Exchanger // to other daemons
	Backend    *exchanger.Exchanger // to the backend server beside this daemon
	Stopping   func() bool          // no new request could end before the process does
	Clock      catkinrun.Clock
	Journal    *journaler.Journal
}

// takes returns the server beside this daemon, and whether it takes new work of the call's
// service.
func (p *Parts) takes(c *catkinrun.Call) (server catkinrun.Server, ok bool) {
	server, open := p.Registrar.Server()
	return server, open && server.Service == c.Envelope.Service
}

// Step is one line of the table.
type Step struct {
	Name  string
	Usage string
	Stage Stage
	New   func(p *Parts) catkinrun.Filter
}

// Steps lists all steps in the order in which a request passes them.
var Steps = []Step{
	{"classify", "find the route, its service, its priority and its time limit", Caller, newClassify},
	{"authenticate", "check the key and drop it", Caller, newAuthenticate},
	{"shed", "refuse what servers further down have no room for", Caller, newShed},
	{"limit", "hold the team to its rate", Caller, newLimit},
	{"retry", "send again what cannot run twice", Caller, newRetry},
	{"route", "choose the host", Caller, newRoute},
	{"send", "hand the call to the host's daemon", Caller, newSend},
	{"verify", "check the envelope, and the request once more by a newer configuration", Peer, newVerify},
	{"admit", "wait for a slot, or shed", Peer, newAdmit},
	{"forward", "run the request on the backend server, a repeat within the budget", Peer, newForward},
}

// Chain builds the chain of a stage. Its last step calls last, if given.
func Chain(stage Stage, parts *Parts, last catkinrun.Handler) catkinrun.Handler {
	handler := last
	for i := len(Steps) - 1; i >= 0; i-- {
		if Steps[i].Stage == stage {
			handler = link(Steps[i].New(parts), handler)
		}
	}
	return handler
}

func link(f catkinrun.Filter, next catkinrun.Handler) catkinrun.Handler {
	return func(ctx context.Context, c *catkinrun.Call) error { return f.Process(ctx, c, next) }
}

// refuse makes a refusal that is proven not to have run.
func refuse(status int, reason catkinrun.Reason, detail string) *catkinrun.Refusal {
	return &catkinrun.Refusal{Status: status, Reason: reason, Outcome: catkinrun.NotRun, Detail: detail}
}

// refuseLater makes such a refusal for a cause that passes.
func refuseLater(reason catkinrun.Reason, detail string) *catkinrun.Refusal {
	r := refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = retryAfter
	return r
}

// until passes the call on and cancels its context once the answer has arrived.
func until(ctx context.Context, cancel context.CancelFunc, c *catkinrun.Call, next catkinrun.Handler) error {
	err := next(ctx, c)
	if err != nil || c.Answer == nil {
		cancel()
		return err
	}
	c.Answer.OnEnd(func(bool) { cancel() })
	return nil
}
