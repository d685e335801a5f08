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
	"github.com/catkinrun/catkinrun/router"
)

// twoHosts are two members that serve anything.
type twoHosts struct{}

func (twoHosts) Serving(string) []catkinrun.Member {
	server := &catkinrun.Server{ID: "i", Service: "s", Slots: 8}
	return []catkinrun.Member{{Host: "a", Peer: "a", Server: server}, {Host: "b", Peer: "b", Server: server}}
}

// newScripted returns the retry step and a request that may run twice.
func newScripted() (*retry, *catkinrun.Call) {
	system := clock.System{}
	journal := journaler.New(system, io.Discard, logrus.InfoLevel)
	step := newRetry(&Parts{Clock: system, Journal: journal, Router: router.New(twoHosts{}, system, journal.Log(), "z", func() float64 { return 0 })})
	return step.(*retry), &catkinrun.Call{
		Route:    &catkinrun.Route{Attempts: 2, Idempotent: true, Timeout: catkinrun.Duration(time.Second)},
		Deadline: system.Now().Add(time.Second), StartedAt: system.Now(),
		Envelope: catkinrun.Envelope{Request: "r", Route: "read", Service: "s", Idempotent: true},
	}
}

// TestServersOwnFailureIsPassedOnIfNoOtherServerMayBeReached answers 500, and then lacks
// the budget for another server.
func TestServersOwnFailureIsPassedOnIfNoOtherServerMayBeReached(t *testing.T) {
	is := is.New(t)
	step, c := newScripted()
	own := &catkinrun.Answer{Status: http.StatusInternalServerError, Failed: true, Header: http.Header{"X-Response-Signature": {"s"}}}
	err := step.Process(context.Background(), c, func(_ context.Context, c *catkinrun.Call) error {
		if c.Envelope.Attempt == 0 {
			is.True(!c.Envelope.Repeat)
			c.Answer = own
			return nil
		}
		is.True(c.Envelope.Repeat)
		return refuseLater(catkinrun.ReasonBudget, "no more repeats")
	})
	is.NoErr(err)
	is.Equal(c.Answer, own)
}

// lateOn returns a handler that answers at once, but on one host only when the attempt is
// given up, and tells so.
func lateOn(late string, refused bool, abandoned chan<- string) catkinrun.Handler {
	return func(ctx context.Context, c *catkinrun.Call) error {
		c.Host = "a"
		if len(c.Tried) > 0 {
			c.Host = "b"
		}
		if c.Chosen != nil {
			c.Chosen(c.Host)
		}
		if c.Host == "b" && refused {
			return refuseLater(catkinrun.ReasonBudget, "no more repeats")
		}
		if c.Host == late && c.Chosen != nil {
			<-ctx.Done()
			abandoned <- c.Host
			return brokenAnswer("given up")
		}
		c.Answer = &catkinrun.Answer{Status: http.StatusOK, Body: []byte(c.Host)}
		return nil
	}
}

// TestLateAnswerIsAskedForElsewhere loses the answer of one host without a sign.
func TestLateAnswerIsAskedForElsewhere(t *testing.T) {
	is := is.New(t)
	step, c := newScripted()
	abandoned := make(chan string, 1)
	next := lateOn("a", false, abandoned)
	step.hedger.patience.Took("read", time.Millisecond)
	is.NoErr(step.Process(context.Background(), c, next))
	is.Equal(string(c.Answer.Body), "b")
	is.Equal(<-abandoned, "a") // it is not waited for any longer
	is.True(c.Envelope.Repeat)
}

// TestFirstAttemptGoesOnIfNoOtherIsAllowed has no budget for a second one.
func TestFirstAttemptGoesOnIfNoOtherIsAllowed(t *testing.T) {
	is := is.New(t)
	step, c := newScripted()
	step.hedger.patience.Took("read", time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	abandoned := make(chan string, 1)
	err := step.Process(ctx, c, lateOn("a", true, abandoned))
	is.True(err != nil)
	is.Equal(<-abandoned, "a") // at the end of its own time
	is.True(ctx.Err() != nil)
}

// TestWhatMayNotRunTwiceIsNeverSentTwice has the same late answer.
func TestWhatMayNotRunTwiceIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	step, c := newScripted()
	c.Envelope.Idempotent = false
	step.hedger.patience.Took("read", time.Millisecond)
	runs := 0
	is.NoErr(step.Process(context.Background(), c, func(_ context.Context, c *catkinrun.Call) error {
		runs++
		time.Sleep(300 * time.Millisecond) // beyond the limit of a quarter of the objective
		c.Answer = &catkinrun.Answer{Status: http.StatusOK}
		return nil
	}))
	is.Equal(runs, 1)
}
