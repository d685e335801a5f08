package daemon

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun/loader"
)

// reloadable are the settings that take effect while the process runs.
var reloadable = []string{"service", "log.level"}

// Reload applies checked settings while the daemon runs. The service of the host and the log level take effect; the other
// settings are those of the start, and the log names the ones that differ.
func (d *Daemon) Reload(settings loader.Settings) {
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		d.log.WithError(err).Error("daemon: cannot reload settings; the previous settings stay in effect")
		return
	}
	d.log.SetLevel(level)
	d.registrar.SetService(settings.Service)
	fixed := slices.DeleteFunc(loader.Difference(d.settings, settings), func(name string) bool { return slices.Contains(reloadable, name) })
	if len(fixed) > 0 {
		d.log.WithField("settings", fixed).Warn("daemon: settings take effect at the next start")
	}
}

// SettingsDoubted receives a value once an announcement suggests that the settings have changed.
func (d *Daemon) SettingsDoubted() <-chan struct{} { return d.registrar.Doubted() }
