package commander

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/loader"
)

// settingsInterval is the pause between two readings of the settings file. It is below the half second within which a
// change takes effect, by the time for a reading.
const settingsInterval = 400 * time.Millisecond

// CutShortError reports settings that are valid, but may lack the end of their last line.
type CutShortError struct {
	Line int // the last one
}

func (e *CutShortError) Error() string {
	return fmt.Sprintf("line %d: no line break, unlike in the settings in effect: the file may be cut short; if it is complete, send SIGHUP", e.Line)
}

// reloader applies the settings of a file that changes, with SIGHUP or without.
type reloader struct {
	file    string
	apply   func(loader.Settings)
	signals <-chan os.Signal
	doubted <-chan struct{} // the settings may have changed
	clock   catkinrun.Clock
	log     *logrus.Logger

	// Only run uses these.
	inEffect []byte // content of the file whose settings are in effect
	reported string // failure of the last reading, with the content that caused it; empty if it did not fail
}

// newReloader returns a reloader of a file that passes new settings to apply. Settings with the content inEffect are in
// effect already.
func newReloader(file string, inEffect []byte, apply func(loader.Settings), signals <-chan os.Signal, doubted <-chan struct{}, clock catkinrun.Clock, log *logrus.Logger) *reloader {
	return &reloader{file: file, apply: apply, signals: signals, doubted: doubted, clock: clock, log: log, inEffect: inEffect}
}

// run follows the file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	due := make(chan struct{})
	go r.loop(ctx, due)
	for {
		select {
		case <-r.signals:
			r.reload(true)
		case <-due:
			r.reload(false)
		case <-r.doubted:
			r.reload(false)
		case <-ctx.Done():
			return
		}
	}
}

// loop sends to due whenever the file is to be read again without a signal.
func (r *reloader) loop(ctx context.Context, due chan<- struct{}) {
	for r.clock.Wait(ctx, settingsInterval) == nil {
		select {
		case due <- struct{}{}:
		case <-ctx.Done():
		}
	}
}

// reload applies the settings in the file. Without a signal it does nothing if neither the content nor its failure is new.
func (r *reloader) reload(signal bool) {
	raw, err := loader.Read(r.file)
	if err == nil && !signal && r.reported == "" && bytes.Equal(raw, r.inEffect) {
		return
	}
	var settings loader.Settings
	if err == nil {
		settings, err = loader.Parse(r.file, raw)
	}
	if err == nil && !signal && !endsLine(raw) && endsLine(r.inEffect) {
		err = &loader.FileError{File: r.file, Cause: &CutShortError{Line: bytes.Count(raw, []byte("\n")) + 1}}
	}
	if err != nil {
		r.report(err, raw, signal)
		return
	}
	r.apply(settings)
	r.inEffect, r.reported = raw, ""
	r.log.WithFields(logrus.Fields{"level": r.log.GetLevel().String(), "service": settings.Service, "signal": signal}).Info("daemon: settings reloaded")
}

// report logs why the content of the file has no effect: an error once, and a warning for each further signal.
func (r *reloader) report(err error, raw []byte, signal bool) {
	level := logrus.ErrorLevel
	failure := err.Error() + "\n" + string(raw)
	if failure == r.reported {
		if !signal {
			return
		}
		level = logrus.WarnLevel
	}
	r.reported = failure
	r.log.WithError(err).WithField("signal", signal).Log(level, "daemon: cannot reload settings; the previous settings stay in effect")
}

// endsLine reports whether the last line of a file ends with a line break.
func endsLine(raw []byte) bool { return bytes.HasSuffix(raw, []byte("\n")) }
