package filterer

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/tracker"
)

type inherit struct {
	tracker *tracker.Tracker
}

func newInherit(p *Parts) catkinrun.Filter { return &inherit{tracker: p.Tracker} }

// Process gives a backend server's own call the envelope of the request that it
// works on. A call without a handle stays anonymous and reaches open routes only.
// Allowance is lent for the call, and what it brings back unspent is returned.
func (f *inherit) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if c.Handle == "" {
		c.Envelope.DedupeKey = ""
		return next(ctx, c)
	}
	parent, ok := f.tracker.Find(c.Handle)
	if !ok {
		return refuse(http.StatusForbidden, catkinrun.ReasonHandle, "the call handle belongs to no running request")
	}
	if parent.Envelope.Hops+1 >= catkinrun.MaxHops {
		return refuse(http.StatusLoopDetected, catkinrun.ReasonHops, "the call chain is too deep")
	}
	own := c.Envelope.DedupeKey
	c.Envelope = parent.Envelope.WithAllowance(parent.TakeAllowance())
	c.Envelope.DedupeKey = bindDedupeKey(parent.Envelope.Team, own)
	c.Envelope.Hops++
	ctx, cancel := mergeContexts(ctx, parent.Context)
	if err := until(ctx, cancel, c, next); err != nil {
		parent.RaiseLevel(levelOf(err))
		parent.ReturnAllowance(c.Envelope.Allowance)
		return err
	}
	parent.RaiseLevel(c.Answer.Level)
	parent.ReturnAllowance(min(c.Answer.Unspent, c.Envelope.Allowance))
	return nil
}

// mergeContexts returns a context that ends with either, at the earlier deadline.
func mergeContexts(ctx, parent context.Context) (context.Context, context.CancelFunc) {
	cancelDeadline := func() {}
	if deadline, ok := parent.Deadline(); ok {
		ctx, cancelDeadline = context.WithDeadline(ctx, deadline)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(parent, cancel)
	return ctx, func() {
		stop()
		cancel()
		cancelDeadline()
	}
}

// levelOf returns the admission level that a refusal carries.
func levelOf(err error) int {
	var refusal *catkinrun.Refusal
	if errors.As(err, &refusal) {
		return refusal.Level
	}
	return 0
}
