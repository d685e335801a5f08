package admitter

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// levelWindow is the time over which arrivals are counted for one level.
	levelWindow = 100 * time.Millisecond
	// delayTarget is the least wait of a window above which its queue is a standing
	// one, and not the end of a burst; delayPart is the same in service times.
	delayTarget = 5 * time.Millisecond
	delayPart   = 0.5
	// cutRatio is the part of the admitted load that the first overloaded window cuts;
	// each further one in a row cuts twice as much, up to maxCutRatio.
	cutRatio    = 0.05
	maxCutRatio = 0.4
	// regainStep is the number of ranks by which the first window without overload
	// lowers the level; each further one in a row lowers it by twice as much.
	regainStep = 2
	maxRegain  = 64
	// memory is the part of a window's arrivals that counts in the next one too, so
	// that a server with few requests has enough of them to judge by.
	memory = 0.8
)

// window counts what happened to one priority's requests in a window.
type window struct {
	leastWait time.Duration
	started   int
	shed      int // refused for a full queue or a wait that ran out
}

// standing reports whether every request that started had waited longer than target.
func (w window) standing(target time.Duration) bool { return w.started > 0 && w.leastWait > target }

// level turns queueing into the rank below which requests are refused. It counts
// arrivals by rank, so that one step cuts a known part of the load, whatever the mix
// of priorities.
type level struct {
	startedAt time.Time
	arrivals  [catkinrun.MaxRank]float64 // by rank, in this window and, fading, before
	windows   [catkinrun.PriorityCount]window
	queued    [catkinrun.PriorityCount]bool // the window before had a standing queue
	service   time.Duration                 // mean service time
	rank      int
	cuts      int // overloaded windows in a row
	regains   int // windows without overload in a row
}

// arrive counts a request, refused or not.
func (l *level) arrive(rank int) { l.arrivals[rank]++ }

// ran counts a request that got a slot after a wait.
func (l *level) ran(p catkinrun.Priority, wait time.Duration) {
	w := &l.windows[p]
	if w.started == 0 || wait < w.leastWait {
		w.leastWait = wait
	}
	w.started++
}

// served takes a run's service time.
func (l *level) served(took time.Duration) {
	l.service = smooth(l.service, took)
}

// smooth moves a mean service time towards a new one.
func smooth(mean, took time.Duration) time.Duration {
	return mean + time.Duration(serviceSmoothing*float64(took-mean))
}

func (l *level) target() time.Duration {
	return max(delayTarget, time.Duration(delayPart*float64(l.service)))
}

// drop counts a request that found no slot in time.
func (l *level) drop(p catkinrun.Priority) { l.windows[p].shed++ }

// roll ends the window if its time is over, and moves the level. Windows without
// any request lower it too.
func (l *level) roll(now time.Time) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	windows := int(now.Sub(l.startedAt) / levelWindow)
	if windows == 0 {
		return
	}
	if ceiling := l.suffering(); ceiling > 0 {
		l.cut(ceiling)
	} else {
		l.regain()
	}
	for range min(windows-1, catkinrun.MaxRank) {
		l.regain()
	}
	l.reset(now)
}

func (l *level) reset(now time.Time) {
	l.startedAt = now
	for rank := range l.arrivals {
		l.arrivals[rank] *= memory
	}
	for p, w := range l.windows {
		l.queued[p] = w.standing(l.target())
	}
	l.windows = [catkinrun.PriorityCount]window{}
}

// suffering returns the end of the highest priority that queues or is shed, 0 if none
// is. The level never rises above it: a priority that is served well is not cut for
// the sake of lower ones.
func (l *level) suffering() int {
	for p := catkinrun.PriorityCount - 1; p >= 0; p-- {
		w := l.windows[p]
		if w.shed > 0 || (w.standing(l.target()) && l.queued[p]) {
			return (p + 1) * catkinrun.RanksPerPriority
		}
	}
	return 0
}

// cut raises the level until a part of the arrivals above it falls below.
func (l *level) cut(ceiling int) {
	ratio := min(cutRatio*float64(int(1)<<min(l.cuts, maxDoublings)), maxCutRatio)
	goal := ratio * l.above()
	for cut := 0.0; cut < goal && l.rank < ceiling; l.rank++ {
		cut += l.arrivals[l.rank]
	}
	l.cuts++
	l.regains = 0
}

// maxDoublings bounds the doublings of a step.
const maxDoublings = 10

// regain lowers the level. It passes at once over the ranks that only teams above
// their fair share have, if no request has them.
func (l *level) regain() {
	step := min(regainStep<<min(l.regains, maxDoublings), maxRegain)
	l.rank = max(0, l.rank-step)
	for l.rank > 0 && l.unused(l.rank-1) {
		l.rank--
	}
	l.regains++
	l.cuts = 0
}

// unused reports whether the rank belongs to an excess class without arrivals.
func (l *level) unused(rank int) bool {
	fair := rank%catkinrun.RanksPerPriority >= catkinrun.RanksPerPriority-catkinrun.RanksPerExcess
	return !fair && l.arrivals[rank] < forgotten
}

// forgotten is the number of arrivals below which a rank counts as unused.
const forgotten = 0.01

func (l *level) above() float64 {
	sum := 0.0
	for _, n := range l.arrivals[l.rank:] {
		sum += n
	}
	return sum
}
