package retrier_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/retrier"
)

// TestRetryable lists which refusals allow another attempt, and which attempts count as
// retries.
func TestRetryable(t *testing.T) {
	notRun, unknown := catkinrun.OutcomeNotRun, catkinrun.OutcomeUnknown
	cases := []struct {
		name             string
		idempotent       bool
		refusal          catkinrun.Refusal
		reached          int
		allowed, counted bool
	}{
		{"host unreachable", false, catkinrun.Refusal{Reason: catkinrun.ReasonUnreachable, Outcome: notRun}, 0, true, false},
		{"server leaving", false, catkinrun.Refusal{Reason: catkinrun.ReasonLeaving, Outcome: notRun}, 0, true, false},
		{"key withdrawn", false, catkinrun.Refusal{Reason: catkinrun.ReasonKey, Outcome: notRun}, 0, false, false},
		{"lost response, not idempotent", false, catkinrun.Refusal{Reason: catkinrun.ReasonBroken, Outcome: unknown, Reached: true}, 1, false, true},
		{"lost response, idempotent", true, catkinrun.Refusal{Reason: catkinrun.ReasonBroken, Outcome: unknown, Reached: true}, 1, true, true},
		{"lost responses, attempts used up", true, catkinrun.Refusal{Reason: catkinrun.ReasonBroken, Outcome: unknown, Reached: true}, 2, false, true},
		{"server rejects, not idempotent", false, catkinrun.Refusal{Reason: catkinrun.ReasonRejected, Outcome: notRun, Reached: true}, 1, true, true},
		{"no time left", true, catkinrun.Refusal{Reason: catkinrun.ReasonDeadline, Outcome: unknown, Reached: true}, 1, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := &catkinrun.Call{Route: &catkinrun.Route{Attempts: 2}, Envelope: catkinrun.Envelope{Idempotent: c.idempotent}}
			allowed, counted := retrier.Retryable(call, &c.refusal, c.reached)
			is.Equal(allowed, c.allowed)
			if allowed {
				is.Equal(counted, c.counted)
			}
		})
	}
}

// TestRetriesStayWithinTheBound fails every request of three servers for a window. No
// request makes downstream calls.
func TestRetriesStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	const servers, requests, extra, ratio = 3, 500, 48, 0.2
	retries := 0
	for range servers {
		b := retrier.New(extra, func() int { return servers })
		for range requests {
			is.True(b.Admit(catkinrun.Envelope{}, false))
			if b.Admit(catkinrun.Envelope{Retry: true}, false) {
				retries++
			}
		}
	}
	is.True(retries > ratio/2*servers*requests)
	is.True(float64(retries) <= ratio*servers*requests+extra)
}

// TestRetriesAlongTheCallGraphStayWithinTheBound fails every request of four services, each
// of which calls the next once per run. The calls of retried requests count as retries at
// the next service.
func TestRetriesAlongTheCallGraphStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	const requests, extra, ratio, depth = 3000, 48, 0.2, 4
	var budgets [depth]*retrier.Budget
	for i := range budgets {
		budgets[i] = retrier.New(extra, func() int { return 1 })
	}
	var firstAttempts, retries [depth]int
	var run func(level int, e catkinrun.Envelope)
	run = func(level int, e catkinrun.Envelope) {
		if level == depth || !budgets[level].Admit(e, level < depth-1) {
			return
		}
		if e.Retry || e.FromRetry {
			retries[level]++
		} else {
			firstAttempts[level]++
		}
		run(level+1, catkinrun.Envelope{FromRetry: e.Retry || e.FromRetry})
		if !e.Retry {
			run(level, catkinrun.Envelope{Retry: true, FromRetry: e.FromRetry})
		}
	}
	for range requests {
		run(0, catkinrun.Envelope{})
	}
	for level := range depth {
		is.True(retries[level] > 0)
		is.True(float64(retries[level]) <= ratio*float64(firstAttempts[level])+extra)
	}
}
