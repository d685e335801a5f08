package filterer

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/journaler"
)

// newRetryStep returns the retry step and a call with an idempotent request.
func newRetryStep() (*retry, *catkinrun.Call) {
	system := clock.System{}
	step := newRetry(&Dependencies{Clock: system, Journal: journaler.New(system, io.Discard, logrus.InfoLevel)})
	return step.(*retry), &catkinrun.Call{
		Route:    &catkinrun.Route{Attempts: 2, Idempotent: true, Timeout: catkinrun.Duration(time.Second)},
		Deadline: system.Now().Add(time.Second), StartedAt: system.Now(),
		Envelope: catkinrun.Envelope{Request: "r", Route: "read", Service: "s", Idempotent: true},
	}
}

// TestServerFailureIsReturnedIfRetryBudgetIsExhausted guards against hiding a server's 500
// response behind the refusal of the retry that followed it.
func TestServerFailureIsReturnedIfRetryBudgetIsExhausted(t *testing.T) {
	is := is.New(t)
	step, c := newRetryStep()
	failure := &catkinrun.Response{Status: http.StatusInternalServerError, Failed: true, Header: http.Header{"X-Response-Signature": {"s"}}}
	err := step.Process(context.Background(), c, func(_ context.Context, c *catkinrun.Call) error {
		if c.Envelope.Attempt == 0 {
			is.True(!c.Envelope.Retry)
			c.Response = failure
			return nil
		}
		is.True(c.Envelope.Retry)
		return refuseTemporarily(catkinrun.ReasonBudget, "the retry budget of the server is exhausted")
	})
	is.NoErr(err)
	is.Equal(c.Response, failure)
}
