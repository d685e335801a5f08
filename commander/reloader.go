package commander

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/loader"
)

// reloader reloads the settings on SIGHUP.
type reloader struct {
	file    string
	apply   func(loader.Settings)
	signals <-chan os.Signal
	clock   catkinrun.Clock
	log     *logrus.Logger

	inEffect []byte // content of the file whose settings are in effect
}

// newReloader returns a reloader of a file that passes new settings to apply. Settings with the content inEffect are in
// effect already.
func newReloader(file string, inEffect []byte, apply func(loader.Settings), signals <-chan os.Signal, clock catkinrun.Clock, log *logrus.Logger) *reloader {
	return &reloader{file: file, apply: apply, signals: signals, clock: clock, log: log, inEffect: inEffect}
}

// run follows the file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-r.signals:
			r.reload()
		case <-ctx.Done():
			return
		}
	}
}

func (r *reloader) reload() {
	raw, err := loader.Read(r.file)
	var settings loader.Settings
	if err == nil {
		settings, err = loader.Parse(r.file, raw)
	}
	if err != nil {
		r.log.WithError(err).Error("daemon: cannot reload settings; the previous settings stay in effect")
		return
	}
	r.apply(settings)
	r.inEffect = raw
	r.log.WithField("level", r.log.GetLevel().String()).Info("daemon: settings reloaded")
}
