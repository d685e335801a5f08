package admitter

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

// waiter is a queued request. Its result channel receives nil when the request may run, or
// a refusal.
type waiter struct {
	envelope      catkinrun.Envelope
	result        chan error
	serviceTime   time.Duration // expected, 0 if unknown
	virtualFinish float64       // virtual finish time, by which the subqueue is ordered
	queued        bool
}

// queue orders waiting requests: by class, within a class the downstream calls first, then
// by the teams' virtual times, so that within a class each team gets an equal share of the
// slots.
type queue struct {
	subqueues [2 * catkinrun.ClassCount]subqueue
	backlog   [catkinrun.ClassCount]float64 // service time of the waiters in seconds, by class
	size      int
}

// subqueue holds the waiters of one class, either downstream calls or other requests.
type subqueue struct {
	waiters     []*waiter
	virtualTime float64            // virtual finish time of the last waiter that ran
	lastFinish  map[string]float64 // virtual finish time of each team's last waiter
}

// subqueueOf returns the subqueue of a request.
func (q *queue) subqueueOf(e catkinrun.Envelope) *subqueue {
	index := 2 * e.Class()
	if !e.Downstream {
		index++
	}
	return &q.subqueues[index]
}

// push adds a waiter behind the other waiters of its team.
func (q *queue) push(w *waiter) {
	s := q.subqueueOf(w.envelope)
	if s.lastFinish == nil {
		s.lastFinish = make(map[string]float64)
	}
	w.virtualFinish = max(s.virtualTime, s.lastFinish[w.envelope.Team]) + 1
	s.lastFinish[w.envelope.Team] = w.virtualFinish
	w.queued = true
	s.waiters = append(s.waiters, w)
	q.size++
	q.backlog[w.envelope.Class()] += w.serviceTime.Seconds()
}

// pop removes and returns the next waiter, or nil if there is none.
func (q *queue) pop() *waiter {
	for i := range q.subqueues {
		s := &q.subqueues[i]
		if len(s.waiters) == 0 {
			continue
		}
		first := s.first()
		s.virtualTime = max(s.virtualTime, first.virtualFinish)
		q.remove(first)
		return first
	}
	return nil
}

func (s *subqueue) first() *waiter {
	first := s.waiters[0]
	for _, w := range s.waiters[1:] {
		if w.virtualFinish < first.virtualFinish {
			first = w
		}
	}
	return first
}

// remove takes a waiter out of the queue. It does nothing if the waiter is not queued.
func (q *queue) remove(w *waiter) {
	if !w.queued {
		return
	}
	s := q.subqueueOf(w.envelope)
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			break
		}
	}
	w.queued = false
	q.size--
	class := w.envelope.Class()
	q.backlog[class] = max(0, q.backlog[class]-w.serviceTime.Seconds())
	if len(s.waiters) == 0 {
		s.lastFinish = nil // all teams start the next busy period equal
		s.virtualTime = 0
	}
}

// dropCandidate returns the waiter to drop when the queue is full: in the least urgent
// subqueue, the one with the last virtual finish time. That is usually the last waiter of
// the team with the most waiters.
func (q *queue) dropCandidate() *waiter {
	for i := len(q.subqueues) - 1; i >= 0; i-- {
		waiters := q.subqueues[i].waiters
		if len(waiters) == 0 {
			continue
		}
		last := waiters[0]
		for _, w := range waiters[1:] {
			if w.virtualFinish >= last.virtualFinish {
				last = w
			}
		}
		return last
	}
	return nil
}
