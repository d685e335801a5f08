package registrar

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/locator"
)

// Restore records the server that an earlier incarnation of this daemon published. The row may be older than
// what that incarnation acknowledged last, so that the server gets requests once it has confirmed its state,
// or has announced itself. This is safe even if the server has been replaced meanwhile,
// since each request carries the ID of the server that may run it, and the server checks it.
//
// The row's report of crashes stays in the row, unless this incarnation has made one already.
func (r *Registrar) Restore(row catkinrun.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, err := locator.DecodeMember(row)
	if row.Revision == 0 || err != nil || previous.Host != r.host {
		return // the next write replaces it
	}
	if len(r.self.Crashes) == 0 && len(r.self.Refused) == 0 {
		r.self = r.self.WithCrashReport(previous.CrashReport)
	}
	if previous.Incarnation == r.self.Incarnation {
		return
	}
	r.restarted = true
	r.restoreServerLocked(previous.Server)
	r.requestCheckLocked()
}

// restoreServerLocked records the server of the row, or that the announced one was leaving according to it.
func (r *Registrar) restoreServerLocked(previous *catkinrun.Server) {
	current := r.self.Server
	switch {
	case previous == nil:
	case current != nil && current.Start() == previous.Start():
		if previous.Draining {
			r.markLeftLocked(previous.Start())
		}
	case current == nil && !r.announced:
		if err := r.checkLocked(*previous); err != nil {
			r.reportRefusalLocked(previous.ID, err)
			return
		}
		r.self = r.self.WithServer(previous)
		r.unconfirmed = true
		if r.endedLocked(*previous) || r.endedUnknownLocked(previous.ID) {
			r.markLeftLocked(previous.Start()) // the row is older than the deregistration
		}
		r.log.WithFields(logrus.Fields{"server": previous.ID, "service": previous.Service, "draining": previous.Draining}).
			Info("registrar: server restored from the store")
	}
}

// requestCheckLocked requests once that the recorded server is asked whether it is leaving.
func (r *Registrar) requestCheckLocked() {
	current := r.self.Server
	if current == nil || current.Draining || r.checkedAs == current.Start() {
		return
	}
	r.checkedAs = current.Start()
	select {
	case <-r.unchecked: // another start, which is no longer recorded
	default:
	}
	r.unchecked <- *current
}

// Unchecked implements prober.Registrar.
func (r *Registrar) Unchecked() <-chan catkinrun.Server { return r.unchecked }

// Confirm implements prober.Registrar.
func (r *Registrar) Confirm(start string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.self.Server; current != nil && current.Start() == start {
		r.unconfirmed = false
	}
}

// MarkLeft implements prober.Registrar.
func (r *Registrar) MarkLeft(start string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markLeftLocked(start)
}

// markLeftLocked records that the server was leaving before this daemon started. There is no grace period.
func (r *Registrar) markLeftLocked(start string) {
	if r.markLeavingLocked(start, "registrar: server was leaving before this daemon started") {
		r.acceptUntil = time.Time{}
	}
}

// ReportCrashes publishes what this daemon has seen of the ends of its server.
func (r *Registrar) ReportCrashes(report catkinrun.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = r.self.WithCrashReport(report)
	r.publishLocked()
}
