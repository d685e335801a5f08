package retrier_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/retrier"
)

// TestRepeatable lists what may be offered once more, and what that costs.
func TestRepeatable(t *testing.T) {
	notRun, unknown := catkinrun.NotRun, catkinrun.Unknown
	cases := []struct {
		name             string
		idempotent       bool
		refusal          catkinrun.Refusal
		reached          int
		allowed, counted bool
	}{
		{"host away", false, catkinrun.Refusal{Reason: catkinrun.ReasonUnreachable, Outcome: notRun}, 0, true, false},
		{"server leaves", false, catkinrun.Refusal{Reason: catkinrun.ReasonLeaving, Outcome: notRun}, 0, true, false},
		{"key withdrawn", false, catkinrun.Refusal{Reason: catkinrun.ReasonKey, Outcome: notRun}, 0, false, false},
		{"lost answer, not idempotent", false, catkinrun.Refusal{Reason: catkinrun.ReasonBroken, Outcome: unknown, Reached: true}, 1, false, true},
		{"lost answer, idempotent", true, catkinrun.Refusal{Reason: catkinrun.ReasonBroken, Outcome: unknown, Reached: true}, 1, true, true},
		{"lost answers, attempts used up", true, catkinrun.Refusal{Reason: catkinrun.ReasonBroken, Outcome: unknown, Reached: true}, 2, false, true},
		{"server sheds, not idempotent", false, catkinrun.Refusal{Reason: catkinrun.ReasonRejected, Outcome: notRun, Reached: true}, 1, true, true},
		{"no time left", true, catkinrun.Refusal{Reason: catkinrun.ReasonDeadline, Outcome: unknown, Reached: true}, 1, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			call := &catkinrun.Call{Route: &catkinrun.Route{Attempts: 2}, Envelope: catkinrun.Envelope{Idempotent: c.idempotent}}
			allowed, counted := retrier.Repeatable(call, &c.refusal, c.reached)
			is.Equal(allowed, c.allowed)
			if allowed {
				is.Equal(counted, c.counted)
			}
		})
	}
}

// TestRepeatsStayInsideTheBound fails every request of 12 hosts for a window.
func TestRepeatsStayInsideTheBound(t *testing.T) {
	is := is.New(t)
	const hosts, requests, extra, ratio = 12, 500, 48, 0.2
	repeats := 0
	for range hosts {
		b := retrier.New(extra, func() int { return hosts })
		for range requests {
			b.Deposit("service")
			if b.Spend("service") {
				repeats++
			}
		}
	}
	is.True(repeats > 0)
	is.True(float64(repeats) <= ratio*hosts*requests+extra)
}
