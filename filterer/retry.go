package filterer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/retrier"
)

type retry struct {
	journal *journaler.Journal
	clock   catkinrun.Clock
}

func newRetry(p *Parts) catkinrun.Filter {
	return &retry{journal: p.Journal, clock: p.Clock}
}

// Process offers the request to another host after a refusal or a failure that allows it.
func (f *retry) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	reached := 0
	var unknown, last *catkinrun.Refusal // of an attempt that may have run, and of the last host
	var failed *catkinrun.Answer         // by which a server said that it failed
	for {
		err := next(ctx, c)
		refusal := refusalOf(err)
		if refusal == nil {
			if !f.repeatFailure(ctx, c, reached+1) {
				return err
			}
			reached++
			failed, c.Answer = c.Answer, nil
			continue
		}
		if refusal.Reached {
			reached++
		}
		if refusal.Outcome != catkinrun.NotRun {
			unknown = refusal
		}
		if f.again(ctx, c, refusal, reached) {
			last = refusal
			continue
		}
		switch {
		case failed != nil:
			c.Answer = failed
			return nil
		case unknown != nil:
			return unknown // a last attempt that did not run takes nothing back
		case refusal.Reason == catkinrun.ReasonNoServer && last != nil:
			return last // no other host was left to try
		}
		return err
	}
}

// repeatFailure reports whether an answer by which the server says that it failed is
// dropped for another attempt.
func (f *retry) repeatFailure(ctx context.Context, c *catkinrun.Call, reached int) bool {
	if c.Answer == nil || !c.Answer.Failed || c.Answer.Stream != nil {
		return false
	}
	return f.again(ctx, c, brokenAnswer("the server failed"), reached)
}

// again decides on one more attempt and spends what it costs.
func (f *retry) again(ctx context.Context, c *catkinrun.Call, r *catkinrun.Refusal, reached int) bool {
	allowed, counted := retrier.Repeatable(c, r, reached)
	if !allowed || ctx.Err() != nil || !c.Deadline.After(f.clock.Now()) {
		return false
	}
	f.journal.Failed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "host": c.Host,
		"reason": r.Reason, "outcome": r.Outcome, "detail": r.Detail, "reached": reached, "counted": counted,
	}, "retry: request goes to another host")
	c.Tried = append(c.Tried, c.Host)
	c.Envelope.Attempt++
	c.Envelope.Repeat = reached > 0
	return true
}

// refusalOf returns the refusal in an error, nil if there is no error.
func refusalOf(err error) *catkinrun.Refusal {
	if err == nil {
		return nil
	}
	return asRefusal(err)
}

// asRefusal finds the refusal in an error. An error of another type leaves open
// whether the request ran.
func asRefusal(err error) *catkinrun.Refusal {
	var refusal *catkinrun.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &catkinrun.Refusal{
		Status: 500, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.Unknown, Reached: true, Detail: "internal error: " + err.Error(),
	}
}
