package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsTakenWhileLeavingCanEnd guards against a request that a leaving daemon accepted
// four and a half seconds after the stop signal, and cut off after four seconds of work
// (hornosol-gt-large scale-1, stop time 10 s). Only requests that were sent within three
// seconds of the signal may still be at work at the end.
func TestRequestsTakenWhileLeavingCanEnd(t *testing.T) {
	is := is.New(t)
	for _, stop := range []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		serve, end := stopTimes(stop)
		is.True(serve <= 3*time.Second)
		is.True(serve <= stop/2) // a short stop time leaves as much time for running requests
		is.True(end >= stop*5/6) // running requests are not interrupted before the last sixth
		is.True(end < stop)
	}
}
