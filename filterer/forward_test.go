package filterer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/correlator"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/retrier"
	"github.com/catkinrun/catkinrun/screener"
)

// TestQueuedRequestIsNotSentToDrainedServer guards against sending a request to a server
// that started draining while the request waited for a slot, if the wait ended after the
// grace period.
func TestQueuedRequestIsNotSentToDrainedServer(t *testing.T) {
	is := is.New(t)
	system := clock.System{}
	journal := journaler.New(system, io.Discard, logrus.InfoLevel)
	self := catkinrun.Member{Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "n"}
	reg := registrar.New(nil, locator.New(journal.Logger()), system, journal.Logger(), self, "s", 0)
	_, err := reg.RecordAnnouncement(catkinrun.Server{ID: "i", Service: "s", Slots: 1, StartUnixMilli: 1, Sequence: 1})
	is.NoErr(err)
	step := newForward(&Dependencies{
		Clock: system, Journal: journal, Registrar: reg, Correlator: correlator.New(), HeaderCodec: platform.HeaderCodec{}, Server: "127.0.0.1:1",
		Budget: retrier.New(0, func() int { return 1 }), Backend: exchanger.New(time.Second, time.Second, 1),
		Screener: screener.New(system, journal.Logger(), "h", reg.ReportCrashes),
	})
	_, err = reg.RecordAnnouncement(catkinrun.Server{ID: "i", Service: "s", Slots: 1, StartUnixMilli: 1, Sequence: 2, Draining: true})
	is.NoErr(err)
	c := &catkinrun.Call{Envelope: catkinrun.Envelope{Request: "r", Route: "read", Service: "s", TimeLeft: time.Second}}
	err = step.Process(context.Background(), c, nil)
	var refusal *catkinrun.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, catkinrun.ReasonLeaving)
	is.Equal(refusal.Outcome, catkinrun.OutcomeNotRun)
	is.True(!refusal.Reached)
}
