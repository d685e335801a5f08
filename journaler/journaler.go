// Package journaler writes the daemon's structured log without blocking the goroutines
// that log. Lines pass through a bounded buffer; lines that do not fit are dropped and
// counted. The rate of lines about requests is limited; failures have a separate, higher
// limit than successes, so that successes are dropped first.
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
	// maxBufferedLines bounds the lines that wait to be written.
	maxBufferedLines = 4096
	// maxServedPerSecond limits the lines about served requests to a sample.
	maxServedPerSecond = 20
	// maxFailedPerSecond limits the lines about refusals, failures and further attempts.
	// At about 400 bytes per line it amounts to 80 KB per second.
	maxFailedPerSecond = 200
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// Journal is the daemon's log.
type Journal struct {
	clock   catkinrun.Clock
	out     io.Writer
	log     *logrus.Logger
	lines   chan []byte
	dropped atomic.Uint64

	// Only Serve uses these.
	reported   uint64 // dropped lines reported so far
	reportedAt time.Time

	mu     sync.Mutex
	served tokenBucket
	failed tokenBucket
}

// tokenBucket limits the rate of lines; each line takes one token.
type tokenBucket struct {
	tokens   float64
	filledAt time.Time
}

func (b *tokenBucket) take(now time.Time, perSecond float64) bool {
	b.tokens = min(b.tokens+perSecond*now.Sub(b.filledAt).Seconds(), perSecond)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// New returns a journal that writes JSON lines to out.
func New(clock catkinrun.Clock, out io.Writer, level logrus.Level) *Journal {
	j := &Journal{clock: clock, out: out, lines: make(chan []byte, maxBufferedLines)}
	j.log = logrus.New()
	j.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	j.log.SetLevel(level)
	j.log.SetOutput(j)
	return j
}

// Logger returns the logger for lines that are not rate-limited.
func (j *Journal) Logger() *logrus.Logger { return j.log }

// Write implements io.Writer. It never blocks; it drops and counts a line that does not
// fit into the buffer.
func (j *Journal) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case j.lines <- copied:
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// LibraryWriter returns a writer for the log output of libraries, one line per write.
func (j *Journal) LibraryWriter() io.Writer { return libraryWriter{j} }

type libraryWriter struct{ journal *Journal }

// Write implements io.Writer.
func (l libraryWriter) Write(line []byte) (int, error) {
	l.journal.LogFailed(logrus.Fields{"text": strings.TrimSpace(string(line))}, "journaler: message from a library")
	return len(line), nil
}

// LogServed logs a line about a request that was served, if the rate limit allows it.
func (j *Journal) LogServed(fields logrus.Fields, message string) {
	if j.allow(&j.served, maxServedPerSecond) {
		j.log.WithFields(fields).Info(message)
	}
}

// LogFailed logs a line about a request that was refused, has failed or is attempted
// again, if the rate limit allows it.
func (j *Journal) LogFailed(fields logrus.Fields, message string) {
	if j.allow(&j.failed, maxFailedPerSecond) {
		j.log.WithFields(fields).Warn(message)
	}
}

func (j *Journal) allow(b *tokenBucket, perSecond float64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b.take(j.clock.Now(), perSecond) {
		return true
	}
	j.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that were not written.
func (j *Journal) Dropped() uint64 { return j.dropped.Load() }

// Serve writes the buffered lines until ctx ends, and then those that remain. It
// implements suture.Service.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		select {
		case line := <-j.lines:
			j.writeOut(line)
			j.reportDropped()
		case <-ctx.Done():
			j.Flush()
			return ctx.Err()
		}
	}
}

// reportDropped logs how many lines were dropped since its last report.
func (j *Journal) reportDropped() {
	now, dropped := j.clock.Now(), j.dropped.Load()
	if dropped == j.reported || now.Sub(j.reportedAt) < dropReportInterval {
		return
	}
	j.log.WithField("lines", dropped-j.reported).Info("journaler: log lines dropped")
	j.reported, j.reportedAt = dropped, now
}

// Flush writes the buffered lines.
func (j *Journal) Flush() {
	for {
		select {
		case line := <-j.lines:
			j.writeOut(line)
		default:
			return
		}
	}
}

func (j *Journal) writeOut(line []byte) {
	if _, err := j.out.Write(line); err != nil {
		j.dropped.Add(1) // a failed write cannot be logged
	}
}
