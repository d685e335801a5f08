package filterer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/retrier"
)

// attempt is one of two attempts that run at once, on a copy of the call.
type attempt struct {
	call   catkinrun.Call
	cancel context.CancelFunc
	done   chan error

	mu        sync.Mutex
	host      string // chosen, empty before
	finished  bool
	abandoned bool
}

// begin starts an attempt on a copy of the call.
func begin(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{call: *c, cancel: cancel, done: make(chan error, 1)}
	a.call.Tried = slices.Clone(c.Tried)
	a.call.Chosen = a.choose
	go a.run(ctx, next)
	return a
}

func (a *attempt) choose(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.host = host
}

func (a *attempt) chosen() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.host
}

func (a *attempt) run(ctx context.Context, next catkinrun.Handler) {
	err := next(ctx, &a.call)
	a.mu.Lock()
	a.finished = true
	abandoned := a.abandoned
	a.mu.Unlock()
	if abandoned {
		a.discard()
	}
	a.done <- err
}

// abandon ends an attempt whose answer is not needed.
func (a *attempt) abandon() {
	a.cancel()
	a.mu.Lock()
	a.abandoned = true
	finished := a.finished
	a.mu.Unlock()
	if finished {
		a.discard()
	}
}

func (a *attempt) discard() {
	if a.call.Answer != nil && a.call.Answer.Stream != nil {
		_ = a.call.Answer.Stream.Close() // nobody reads it
	}
}

// adopt makes the attempt's end the call's.
func (a *attempt) adopt(c *catkinrun.Call, err error) error {
	*c = a.call
	c.Chosen = nil
	if err != nil || c.Answer == nil {
		a.cancel()
		return err
	}
	cancel := a.cancel
	c.Answer.OnEnd(func(bool) { cancel() })
	return nil
}

// good reports whether an attempt ended with an answer that nobody could better.
func (a *attempt) good(err error) bool {
	return err == nil && a.call.Answer != nil && !a.call.Answer.Failed
}

// hedger makes a second attempt beside one whose answer is unusually late, since it may
// never come: a lost answer shows no other sign. The first answer counts.
type hedger struct {
	parts    *Parts
	patience *retrier.Patience
}

// offer makes one attempt, and beside it a second one if the request may run twice.
// reached is the number of servers reached before; second tells whether a second attempt
// may have reached one now.
func (h *hedger) offer(ctx context.Context, c *catkinrun.Call, reached int, next catkinrun.Handler) (second bool, err error) {
	startedAt := h.parts.Clock.Now()
	limit, known := h.patience.Limit(c.Envelope.Route, objectiveOf(c.Route))
	if !known || !h.allowed(c, reached) || !startedAt.Add(limit).Before(c.Deadline) {
		err = next(ctx, c)
		h.note(c, startedAt, err)
		return false, err
	}
	first := begin(ctx, c, next)
	waiting, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case err = <-first.done:
	case <-waiting.Done():
		if host := first.chosen(); ctx.Err() == nil && host != "" {
			return h.both(ctx, c, first, h.second(ctx, c, host, limit, next))
		}
		err = <-first.done
	}
	err = first.adopt(c, err)
	h.note(c, startedAt, err)
	return false, err
}

// allowed reports whether the call may have two attempts at once.
func (h *hedger) allowed(c *catkinrun.Call, reached int) bool {
	return c.Envelope.Idempotent && c.Stream == nil && reached+1 < c.Route.Attempts &&
		h.parts.Router.Count(c.Envelope.Service) > len(c.Tried)+1
}

// second starts the attempt beside the one at host.
func (h *hedger) second(ctx context.Context, c *catkinrun.Call, host string, limit time.Duration, next catkinrun.Handler) *attempt {
	h.parts.Journal.Failed(logrus.Fields{
		"request": c.Envelope.Request, "route": c.Envelope.Route, "service": c.Envelope.Service, "host": host, "waited-ms": limit.Milliseconds(),
	}, "hedge: answer is unusually late, request goes to another host too")
	other := *c
	other.Tried = append(slices.Clone(c.Tried), host)
	other.Envelope.Attempt++
	other.Envelope.Repeat = true
	return begin(ctx, &other, next)
}

// both waits for the better of two attempts.
func (h *hedger) both(ctx context.Context, c *catkinrun.Call, first, other *attempt) (second bool, err error) {
	startedAt := h.parts.Clock.Now()
	var firstErr, otherErr error
	select {
	case firstErr = <-first.done:
		if first.good(firstErr) {
			other.abandon()
			return true, first.adopt(c, firstErr)
		}
		otherErr = <-other.done
	case otherErr = <-other.done:
		if other.good(otherErr) {
			first.abandon()
			err = other.adopt(c, otherErr)
			h.note(c, startedAt, err)
			return true, err
		}
		firstErr = <-first.done
	}
	if other.good(otherErr) && !first.good(firstErr) {
		first.abandon()
		return true, other.adopt(c, otherErr)
	}
	other.abandon()
	refusal := refusalOf(otherErr)
	return refusal == nil || refusal.Reached, first.adopt(c, firstErr)
}

// note learns from an answer how long one takes.
func (h *hedger) note(c *catkinrun.Call, startedAt time.Time, err error) {
	if err == nil && c.Answer != nil && !c.Answer.Failed {
		h.patience.Took(c.Envelope.Route, h.parts.Clock.Now().Sub(startedAt))
	}
}
