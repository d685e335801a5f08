package registrar

import (
	"encoding/json"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// Restore uses the server that an earlier incarnation of this daemon published, until the
// server announces itself. This is safe even if the server has been replaced meanwhile,
// since each request carries the ID of the server that may run it, and the server checks it.
//
// The row's report of crashes stays in the row, unless this incarnation has made one already.
func (r *Registrar) Restore(row catkinrun.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var previous catkinrun.Member
	if row.Revision == 0 || json.Unmarshal(row.Value, &previous) != nil || previous.Validate() != nil {
		return // the next write replaces it
	}
	if len(r.self.Crashes) == 0 && len(r.self.Refused) == 0 {
		r.self = r.self.WithCrashReport(previous.CrashReport)
	}
	if r.announced || r.self.Server != nil || previous.Server == nil {
		return
	}
	if err := r.checkLocked(*previous.Server); err != nil {
		r.reportRefusalLocked(previous.Server.ID, err)
		return
	}
	r.self = r.self.WithServer(previous.Server)
	r.log.WithFields(logrus.Fields{"server": previous.Server.ID, "service": previous.Server.Service, "draining": previous.Server.Draining}).
		Info("registrar: server restored from the store")
}

// ReportCrashes publishes what this daemon has seen of the ends of its server.
func (r *Registrar) ReportCrashes(report catkinrun.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = r.self.WithCrashReport(report)
	r.publishLocked()
}
