package filterer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/retrier"
)

type retry struct {
	budget *retrier.Budget
	clock  catkinrun.Clock
	log    logrus.FieldLogger
}

func newRetry(p *Parts) catkinrun.Filter {
	return &retry{budget: p.Budget, clock: p.Clock, log: p.Log}
}

const (
	// retryWait is the wait before an attempt is repeated.
	retryWait = 5 * time.Millisecond
	// ownerWait is the wait before a request looks for its idempotency key's owner
	// again, while ownership moves.
	ownerWait = 50 * time.Millisecond
	// ownerTries bounds these looks.
	ownerTries = 60
)

// Process repeats an attempt as long as that can run nothing twice, and within the
// allowance of the call tree and the budget of the service. Looking for an owner
// reaches no server, so it costs neither.
func (f *retry) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	f.budget.Deposit(c.Service)
	looks := 0
	for {
		err := next(ctx, c)
		var refusal *catkinrun.Refusal
		if err == nil || !errors.As(err, &refusal) {
			return err
		}
		wait := retryWait
		if moving(c, refusal) && looks < ownerTries {
			looks++
			wait = ownerWait
		} else if !f.again(c, refusal) {
			return err
		}
		f.log.WithFields(logrus.Fields{
			"request": c.Envelope.Request, "host": c.Target, "reason": refusal.Reason, "allowance": c.Envelope.Allowance,
		}).Debug("retry: attempt repeated")
		if f.clock.Wait(ctx, wait) != nil {
			return err
		}
	}
}

// moving reports whether the key's owner is about to change or was not reached at all.
func moving(c *catkinrun.Call, r *catkinrun.Refusal) bool {
	if !deduplicated(c.Envelope) || r.Outcome != catkinrun.NotRun || c.Stream != nil {
		return false
	}
	switch r.Reason {
	case catkinrun.ReasonNotOwner, catkinrun.ReasonUnreachable, catkinrun.ReasonLeaving, catkinrun.ReasonNoServer:
		return true
	}
	return false
}

// again spends what a repeated attempt costs, or reports false.
func (f *retry) again(c *catkinrun.Call, r *catkinrun.Refusal) bool {
	if !retrier.Allowed(c, r) || !f.budget.Spend(c.Service) {
		return false
	}
	c.Envelope.Allowance--
	c.Tried = append(c.Tried, c.Target)
	return true
}
