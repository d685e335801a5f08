// Package journaler writes log lines without ever blocking their writer: through a
// bounded buffer that drops and counts what does not fit, and with a bound on the
// lines a second. Failures have their own, larger bound, so that they are kept before
// successes.
package journaler

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// bufferLines bounds the lines that wait to be written.
	bufferLines = 4096
	// servedPerSecond bounds the lines of requests that were served: a sample.
	servedPerSecond = 20
	// failedPerSecond bounds the lines of refusals, failures and retries; at about 400
	// bytes a line it is 80 KB a second.
	failedPerSecond = 200
	// reportEvery is the time between two reports of dropped lines.
	reportEvery = 5 * time.Second
)

// Journal is the daemon's log.
type Journal struct {
	clock   catkinrun.Clock
	out     io.Writer
	log     *logrus.Logger
	lines   chan []byte
	dropped atomic.Uint64

	reported   uint64 // of the dropped lines; only Serve uses it
	reportedAt time.Time

	mu     sync.Mutex
	served allowance
	failed allowance
}

// allowance is a bucket of lines.
type allowance struct {
	left     float64
	filledAt time.Time
}

func (a *allowance) take(now time.Time, perSecond float64) bool {
	a.left = min(a.left+perSecond*now.Sub(a.filledAt).Seconds(), perSecond)
	a.filledAt = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// New returns a journal that writes JSON lines to out.
func New(clock catkinrun.Clock, out io.Writer, level logrus.Level) *Journal {
	j := &Journal{clock: clock, out: out, lines: make(chan []byte, bufferLines)}
	j.log = logrus.New()
	j.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	j.log.SetLevel(level)
	j.log.SetOutput(j)
	return j
}

// Log returns the logger for what is always written.
func (j *Journal) Log() *logrus.Logger { return j.log }

// Write implements io.Writer. It never blocks.
func (j *Journal) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case j.lines <- kept:
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Library returns a writer for what libraries log by themselves, a line each.
func (j *Journal) Library() io.Writer { return library{j} }

type library struct{ journal *Journal }

// Write implements io.Writer.
func (l library) Write(line []byte) (int, error) {
	l.journal.Failed(logrus.Fields{"text": strings.TrimSpace(string(line))}, "journaler: a library reports")
	return len(line), nil
}

// Served writes a line of a request that was served, if there is room for it.
func (j *Journal) Served(fields logrus.Fields, message string) {
	if j.allow(&j.served, servedPerSecond) {
		j.log.WithFields(fields).Info(message)
	}
}

// Failed writes a line of a request that was refused, failed or is tried again.
func (j *Journal) Failed(fields logrus.Fields, message string) {
	if j.allow(&j.failed, failedPerSecond) {
		j.log.WithFields(fields).Warn(message)
	}
}

func (j *Journal) allow(a *allowance, perSecond float64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.take(j.clock.Now(), perSecond) {
		return true
	}
	j.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that were not written.
func (j *Journal) Dropped() uint64 { return j.dropped.Load() }

// Serve writes lines until ctx ends, and then those that are left. It implements
// suture.Service.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		select {
		case line := <-j.lines:
			j.put(line)
			j.report()
		case <-ctx.Done():
			j.Flush()
			return ctx.Err()
		}
	}
}

// report says now and then how many lines were left out.
func (j *Journal) report() {
	now, dropped := j.clock.Now(), j.dropped.Load()
	if dropped == j.reported || now.Sub(j.reportedAt) < reportEvery {
		return
	}
	j.log.WithField("lines", dropped-j.reported).Info("journaler: lines left out")
	j.reported, j.reportedAt = dropped, now
}

// Flush writes the lines that wait.
func (j *Journal) Flush() {
	for {
		select {
		case line := <-j.lines:
			j.put(line)
		default:
			return
		}
	}
}

func (j *Journal) put(line []byte) {
	if _, err := j.out.Write(line); err != nil {
		j.dropped.Add(1) // there is nowhere else to say so
	}
}
