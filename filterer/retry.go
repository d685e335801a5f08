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

func newRetry(deps *Dependencies) catkinrun.Filter {
	return &retry{journal: deps.Journal, clock: deps.Clock}
}

// Process sends the request to another host after a refusal or failure that allows it.
func (f *retry) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	reached := 0
	var unknown, previous *catkinrun.Refusal // from an attempt that may have run, and from the previous host
	var failed *catkinrun.Response           // the last response with a server failure
	for {
		err := next(ctx, c)
		refusal := refusalOf(err)
		if refusal == nil {
			if !f.retryFailure(ctx, c, reached+1) {
				return err
			}
			reached++
			failed, c.Response = c.Response, nil
			continue
		}
		if refusal.Reached {
			reached++
		}
		if refusal.Outcome != catkinrun.OutcomeNotRun {
			unknown = refusal
		}
		if f.prepareAttempt(ctx, c, refusal, reached) {
			previous = refusal
			continue
		}
		switch {
		case failed != nil:
			c.Response = failed
			return nil
		case unknown != nil:
			return unknown // the request may have run, even if the last attempt did not
		case refusal.Reason == catkinrun.ReasonNoServer && previous != nil:
			return previous // no other host was left to try
		}
		return err
	}
}

// retryFailure prepares another attempt if the response is a failure of the server that
// allows one, and reports whether it did.
func (f *retry) retryFailure(ctx context.Context, c *catkinrun.Call, reached int) bool {
	if c.Response == nil || !c.Response.Failed || c.Response.Stream != nil {
		return false
	}
	return f.prepareAttempt(ctx, c, brokenResponse("the server failed"), reached)
}

// prepareAttempt reports whether one more attempt is allowed and prepares the call for it.
func (f *retry) prepareAttempt(ctx context.Context, c *catkinrun.Call, r *catkinrun.Refusal, reached int) bool {
	allowed, counted := retrier.Retryable(c, r, reached)
	if !allowed || ctx.Err() != nil || !c.Deadline.After(f.clock.Now()) {
		return false
	}
	f.journal.LogFailed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "host": c.Host,
		"reason": r.Reason, "outcome": r.Outcome, "detail": r.Detail, "reached": reached, "counted": counted,
	}, "retry: trying another host")
	c.Tried = append(c.Tried, c.Host)
	c.Envelope.Attempt++
	c.Envelope.Retry = reached > 0
	return true
}

// refusalOf returns the refusal in an error, nil if there is no error.
func refusalOf(err error) *catkinrun.Refusal {
	if err == nil {
		return nil
	}
	return asRefusal(err)
}

// asRefusal returns the refusal in an error. An error of another type becomes a refusal
// with an unknown outcome, since the request may have run.
func asRefusal(err error) *catkinrun.Refusal {
	var refusal *catkinrun.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &catkinrun.Refusal{
		Status: 500, Reason: catkinrun.ReasonBroken, Outcome: catkinrun.OutcomeUnknown, Reached: true, Detail: "internal error: " + err.Error(),
	}
}
