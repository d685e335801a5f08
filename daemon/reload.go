package daemon

import (
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun/loader"
)

// Reload applies checked settings while the daemon runs. Only a new log level takes effect.
func (d *Daemon) Reload(settings loader.Settings) {
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		d.log.WithError(err).Error("daemon: cannot reload settings; the previous settings stay in effect")
		return
	}
	d.log.SetLevel(level)
}
