package daemon

import (
	"fmt"

	"github.com/catkinrun/catkinrun/filterer"
)

// count adds one to the requests of a listener that ended so.
func (d *Daemon) count(stage filterer.Stage, outcome string) {
	d.metrics.GetOrCreateCounter(fmt.Sprintf(`catkinrun_requests_total{listener=%q,outcome=%q}`, stage, outcome)).Inc()
}

func (d *Daemon) registerMetrics(parts *filterer.Parts) {
	gauges := map[string]func() float64{
		"catkinrun_config_version":          func() float64 { return float64(d.replica.Snapshot().Version()) },
		"catkinrun_config_accepted":         func() float64 { return float64(d.replica.Accepted()) },
		"catkinrun_config_current":          d.currentGauge,
		"catkinrun_config_proof_seconds":    d.proofGauge,
		"catkinrun_admission_level":         func() float64 { return float64(parts.Admitter.State().Level) },
		"catkinrun_admission_load":          func() float64 { return parts.Admitter.State().Load },
		"catkinrun_requests_running":        func() float64 { return float64(parts.Tracker.Count()) },
		"catkinrun_idempotency_records":     func() float64 { return float64(d.deduplicator.Size()) },
		"catkinrun_admission_admitted":      func() float64 { return float64(parts.Admitter.Counts().Admitted) },
		"catkinrun_admission_queued":        func() float64 { return float64(parts.Admitter.Counts().Queued) },
		"catkinrun_roster_hosts":            func() float64 { return float64(len(d.replica.Snapshot().Roster())) },
		"catkinrun_limiter_teams_with_load": func() float64 { return float64(len(d.limiter.Shares())) },
	}
	for name, read := range gauges {
		d.metrics.NewGauge(name, read)
	}
}

func (d *Daemon) currentGauge() float64 {
	if _, current := d.replica.Current(); current {
		return 1
	}
	return 0
}

func (d *Daemon) proofGauge() float64 {
	age, ok := d.replica.ProofAge()
	if !ok {
		return -1
	}
	return age.Seconds()
}
