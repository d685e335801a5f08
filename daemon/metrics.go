package daemon

import (
	"fmt"
	"time"

	"github.com/catkinrun/catkinrun/filterer"
	"github.com/catkinrun/catkinrun/follower"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
)

// recordRequest records the outcome and the duration of a request that has ended at a
// listener.
func (d *Daemon) recordRequest(listener filterer.Listener, outcome string, duration time.Duration) {
	labels := fmt.Sprintf(`{listener=%q,outcome=%q}`, listener, outcome)
	d.metrics.GetOrCreateCounter("catkinrun_requests_total" + labels).Inc()
	d.metrics.GetOrCreateHistogram("catkinrun_request_seconds" + labels).Update(duration.Seconds())
}

func (d *Daemon) registerMetrics() {
	gauges := map[string]func() float64{
		"catkinrun_config_version":          func() float64 { return float64(d.configurer.Snapshot().Version()) },
		"catkinrun_config_age_seconds":      func() float64 { return d.configurer.Age().Seconds() },
		"catkinrun_members":                 func() float64 { return float64(d.locator.Count()) },
		"catkinrun_admission_load":          func() float64 { return d.admitter.Load() },
		"catkinrun_requests_running":        func() float64 { return float64(d.running.Load()) },
		"catkinrun_admission_admitted":      func() float64 { return float64(d.admitter.Counts().Admitted) },
		"catkinrun_admission_queued":        func() float64 { return float64(d.admitter.Counts().Queued) },
		"catkinrun_log_lines_dropped":       func() float64 { return float64(d.journal.Dropped()) },
		"catkinrun_server_limit_per_second": func() float64 { return d.observer.Limits()[d.settings.Host] },
		"catkinrun_servers_limited":         func() float64 { return float64(len(d.observer.Limits())) },
		"catkinrun_requests_screened":       func() float64 { refused, _ := d.screener.Counts(); return float64(refused) },
		"catkinrun_server_ends":             func() float64 { _, ends := d.screener.Counts(); return float64(ends) },
		"catkinrun_store_era":               func() float64 { return float64(d.store.Era()) },
		"catkinrun_rates_generation":        func() float64 { return float64(d.broker.Status().Generation) },
		"catkinrun_rates_shards_ready":      func() float64 { return float64(d.broker.Status().Ready) },
		"catkinrun_rates_votes":             func() float64 { return float64(d.broker.Status().Votes) },
		"catkinrun_rates_voters":            func() float64 { return float64(d.broker.Status().Voters) },
		"catkinrun_rates_may_vote":          func() float64 { return asFloat(d.broker.Status().MayVote) },
		"catkinrun_rates_owners_failed":     func() float64 { return float64(d.broker.Status().OwnersFailed) },
	}
	for table, f := range map[string]*follower.Follower{"configuration": d.configuration, "members": d.members} {
		gauges[fmt.Sprintf(`catkinrun_store_age_seconds{table=%q}`, table)] = func() float64 { return f.Age().Seconds() }
	}
	for label, table := range map[string]string{"configuration": platform.ConfigurationTable, "members": locator.Table} {
		gauges[fmt.Sprintf(`catkinrun_rows_age_seconds{table=%q}`, label)] = func() float64 { return d.relayer.Age(table).Seconds() }
	}
	for name, value := range gauges {
		d.metrics.NewGauge(name, value)
	}
}

// asFloat returns 1 for true.
func asFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
