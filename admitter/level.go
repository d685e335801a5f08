package admitter

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

const (
	// levelWindow is the time over which arrivals are counted for one level.
	levelWindow = 100 * time.Millisecond
	// delayTarget is the least wait of a window above which its queue is a standing
	// one, and not the end of a burst.
	delayTarget = 5 * time.Millisecond
	// cutRatio is the part of the admitted load that an overloaded window cuts.
	cutRatio = 0.1
	// regainSteps is the number of buckets by which a window without overload lowers
	// the level.
	regainSteps = 2
	// rankBucket is the number of ranks that are counted together.
	rankBucket  = 10
	bucketCount = catkinrun.MaxRank / rankBucket
	// bucketsPerPriority and bucketsPerExcess are the sizes of the rank's classes.
	bucketsPerPriority = bucketCount / catkinrun.PriorityCount
	bucketsPerExcess   = bucketsPerPriority / 10
)

// level turns queueing into the rank below which requests are refused. It counts
// arrivals by rank, so that one step cuts a known part of the load, whatever the
// mix of priorities.
type level struct {
	startedAt time.Time
	arrivals  [bucketCount]int // by rank, in this window
	leastWait time.Duration
	started   int
	standing  bool // the window before had a standing queue
	shed      int  // refused for a full queue or a wait that ran out
	bucket    int  // buckets below this one are refused
}

func (l *level) rank() int { return l.bucket * rankBucket }

// arrive counts a request, refused or not.
func (l *level) arrive(rank int) { l.arrivals[rank/rankBucket]++ }

// ran counts a request that got a slot after a wait.
func (l *level) ran(wait time.Duration) {
	if l.started == 0 || wait < l.leastWait {
		l.leastWait = wait
	}
	l.started++
}

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
	standing := l.started > 0 && l.leastWait > delayTarget
	if l.shed > 0 || (standing && l.standing) {
		l.cut()
	} else {
		l.regain()
	}
	*l = level{startedAt: now, bucket: l.bucket, standing: standing}
	for range min(windows-1, bucketCount) {
		l.regain()
	}
}

// cut raises the level until a part of the arrivals above it falls below.
func (l *level) cut() {
	goal := max(1, int(cutRatio*float64(l.above())))
	for cut := 0; cut < goal && l.bucket < bucketCount-1; l.bucket++ {
		cut += l.arrivals[l.bucket]
	}
}

// regain lowers the level by a few buckets. It passes at once over the ranks that
// only teams above their fair share have, if no request has them.
func (l *level) regain() {
	for range regainSteps {
		l.bucket = max(0, l.bucket-1)
	}
	for l.bucket > 0 && l.unused(l.bucket-1) {
		l.bucket--
	}
}

// unused reports whether the bucket belongs to an excess class without arrivals.
func (l *level) unused(bucket int) bool {
	fair := bucket%bucketsPerPriority >= bucketsPerPriority-bucketsPerExcess
	return !fair && l.arrivals[bucket] == 0
}

func (l *level) above() int {
	sum := 0
	for _, n := range l.arrivals[l.bucket:] {
		sum += n
	}
	return sum
}
