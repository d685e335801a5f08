// Package filterer holds the steps of a request's way through a daemon.
package filterer

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/leveler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/replicator"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/router"
	"github.com/catkinrun/catkinrun/tracker"
)

// Stage is the listener whose chain a step belongs to.
type Stage string

// The stages.
const (
	Caller Stage = "caller"
	Local  Stage = "local"
	Peer   Stage = "peer"
)

// Parts are what the steps are built from.
type Parts struct {
	Replica      *replicator.Replica
	Limiter      *limiter.Limiter
	Leveler      *leveler.Leveler
	Router       *router.Router
	Budget       *retrier.Budget
	Registrar    *registrar.Registrar
	Deduplicator *deduplicator.Deduplicator
	Admitter     *admitter.Admitter
	Tracker      *tracker.Tracker
	Peers        *exchanger.Exchanger // to other daemons
	Server       *exchanger.Exchanger // to the backend server beside this daemon
	Scheme       string               // of peer listeners
	FleetKey     string
	Clock        catkinrun.Clock
	Log          logrus.FieldLogger
}

// Step is one line of the table.
type Step struct {
	Name   string
	Usage  string
	Stages []Stage
	New    func(p *Parts) catkinrun.Filter
}

// Steps lists all steps in the order in which a request passes them.
var Steps = []Step{
	{"inherit", "take the envelope of the running request whose handle the call bears", []Stage{Local}, newInherit},
	{"classify", "find the route, its priority and its time limit", []Stage{Caller, Local}, newClassify},
	{"authenticate", "check the key and drop it", []Stage{Caller}, newAuthenticate},
	{"shed", "refuse what the servers further down would shed", []Stage{Caller, Local}, newShed},
	{"limit", "hold the team to its share of its rate", []Stage{Caller}, newLimit},
	{"retry", "send again what is proven not to have run", []Stage{Caller, Local}, newRetry},
	{"route", "choose the host", []Stage{Caller, Local}, newRoute},
	{"send", "hand the call to the host's daemon", []Stage{Caller, Local}, newSend},
	{"verify", "check the envelope and, once more, the key", []Stage{Peer}, newVerify},
	{"deduplicate", "run a request with an idempotency key at most once", []Stage{Peer}, newDeduplicate},
	{"admit", "wait for a slot, or shed", []Stage{Peer}, newAdmit},
	{"forward", "run the request on the backend server", []Stage{Peer}, newForward},
}

// Chain builds the chain of a stage. Its last step calls last, if given.
func Chain(stage Stage, parts *Parts, last catkinrun.Handler) catkinrun.Handler {
	handler := last
	for i := len(Steps) - 1; i >= 0; i-- {
		if Steps[i].belongs(stage) {
			handler = link(Steps[i].New(parts), handler)
		}
	}
	return handler
}

func link(f catkinrun.Filter, next catkinrun.Handler) catkinrun.Handler {
	return func(ctx context.Context, c *catkinrun.Call) error { return f.Process(ctx, c, next) }
}

func (s Step) belongs(stage Stage) bool {
	for _, own := range s.Stages {
		if own == stage {
			return true
		}
	}
	return false
}

// refuse makes a refusal that is proven not to have run.
func refuse(status int, reason catkinrun.Reason, detail string) *catkinrun.Refusal {
	return &catkinrun.Refusal{Status: status, Reason: reason, Outcome: catkinrun.NotRun, Detail: detail}
}

// refuseLater makes such a refusal for a cause that passes.
func refuseLater(reason catkinrun.Reason, detail string) *catkinrun.Refusal {
	r := refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = time.Second
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
