package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
)

// Status is a daemon's state and its view of the members, for the operators' read-only
// commands.
type Status struct {
	Host       string             `json:"host"`
	Version    catkinrun.Version  `json:"version"` // of the configuration in force
	AgeSeconds float64            `json:"age-seconds"`
	Ready      bool               `json:"ready"`
	Running    int64              `json:"running"`
	Load       float64            `json:"load"`   // of the server beside the daemon, per slot of its concurrency limit
	Owners     []broker.Owner     `json:"owners"` // of the teams' rates
	Members    []catkinrun.Member `json:"members"`
}

// operatorHandler serves metrics and status. It is read-only.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.WritePrometheus(w) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(d.status()); err != nil {
			d.log.WithError(err).Debug("daemon: status response could not be sent")
		}
	})
	return mux
}

func (d *Daemon) status() Status {
	assignment, _ := d.broker.Assignment()
	return Status{
		Host: d.settings.Host, Version: d.configurer.Snapshot().Version(), AgeSeconds: d.configurer.Age().Seconds(),
		Ready: d.ready(), Running: d.running.Load(), Load: d.admitter.Load(), Owners: assignment.Owners, Members: d.locator.Members(),
	}
}
