package admitter

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

// waiter is a queued request. Its channel gets nil when it may run, or a refusal.
type waiter struct {
	envelope catkinrun.Envelope
	decided  chan error
	service  time.Duration // that it will need, as far as known
	finish   float64       // virtual finish time in its team's share
	queued   bool
}

// queue orders waiting requests: by class, in each the calls of running requests first,
// then by the teams' virtual times, so that within a class each team gets an even part of
// the slots.
type queue struct {
	lanes [2 * catkinrun.ClassCount]lane
	work  [catkinrun.ClassCount]float64 // seconds of service that wait, by class
	size  int
}

// lane holds the waiters of one class, calls or others.
type lane struct {
	waiters []*waiter
	virtual float64            // finish time of the last waiter that ran
	last    map[string]float64 // finish time of each team's last waiter
}

// lane returns the lane of a request.
func (q *queue) lane(e catkinrun.Envelope) *lane {
	at := 2 * e.Class()
	if !e.Call {
		at++
	}
	return &q.lanes[at]
}

// push adds a waiter behind its team's others.
func (q *queue) push(w *waiter) {
	l := q.lane(w.envelope)
	if l.last == nil {
		l.last = make(map[string]float64)
	}
	w.finish = max(l.virtual, l.last[w.envelope.Team]) + 1
	l.last[w.envelope.Team] = w.finish
	w.queued = true
	l.waiters = append(l.waiters, w)
	q.size++
	q.work[w.envelope.Class()] += w.service.Seconds()
}

// pop removes the next waiter, nil if there is none.
func (q *queue) pop() *waiter {
	for i := range q.lanes {
		l := &q.lanes[i]
		if len(l.waiters) == 0 {
			continue
		}
		first := l.first()
		l.virtual = max(l.virtual, first.finish)
		q.remove(first)
		return first
	}
	return nil
}

func (l *lane) first() *waiter {
	first := l.waiters[0]
	for _, w := range l.waiters[1:] {
		if w.finish < first.finish {
			first = w
		}
	}
	return first
}

// remove takes a waiter out; one that is not queued is left alone.
func (q *queue) remove(w *waiter) {
	if !w.queued {
		return
	}
	l := q.lane(w.envelope)
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			break
		}
	}
	w.queued = false
	q.size--
	class := w.envelope.Class()
	q.work[class] = max(0, q.work[class]-w.service.Seconds())
	if len(l.waiters) == 0 {
		l.last = nil // the next busy period starts even
		l.virtual = 0
	}
}

// last returns the waiter to drop when the queue is full: of the least urgent class
// the team that waits with most, and of its waiters the last.
func (q *queue) last() *waiter {
	for i := len(q.lanes) - 1; i >= 0; i-- {
		waiters := q.lanes[i].waiters
		if len(waiters) == 0 {
			continue
		}
		last := waiters[0]
		for _, w := range waiters[1:] {
			if w.finish >= last.finish {
				last = w
			}
		}
		return last
	}
	return nil
}
