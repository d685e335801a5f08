package commander

import (
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/daemon"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/platform"
)

func newDaemon() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "daemon --settings FILE",
		Short:   "Run the daemon of this host",
		Example: "  catkinrun daemon --settings /etc/catkinrun.yaml",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loader.Load(file)
			if err != nil {
				return err
			}
			level, err := logrus.ParseLevel(settings.Log.Level)
			if err != nil {
				return &UsageError{Cause: err}
			}
			system := clock.System{}
			journal := journaler.New(system, c.OutOrStdout(), level)
			log.SetFlags(0)
			log.SetOutput(journal.LibraryWriter())
			d, err := daemon.New(settings, system, clock.Boot{}, journal)
			if err != nil {
				return err
			}
			r := &reloader{file: file, journal: journal, signals: make(chan os.Signal, 1)}
			signal.Notify(r.signals, syscall.SIGHUP)
			go r.run()
			return d.Serve(c.Context())
		},
	}
	command.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsEnvVar), "YAML file with this host's settings (default $"+platform.SettingsEnvVar+")")
	return command
}

// reloader reloads the settings on SIGHUP. Only a new log level takes effect; addresses
// and all other settings are fixed while the process runs.
type reloader struct {
	file    string
	journal *journaler.Journal
	signals chan os.Signal
}

func (r *reloader) run() {
	for range r.signals {
		r.reload()
	}
}

func (r *reloader) reload() {
	settings, err := loader.Load(r.file)
	if err != nil {
		r.journal.Logger().WithError(err).Error("daemon: cannot reload settings; the previous settings stay in effect")
		return
	}
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		r.journal.Logger().WithError(&catkinrun.InvalidError{Where: r.file, Field: "log.level", Reason: err.Error()}).Error("daemon: cannot reload settings; the previous settings stay in effect")
		return
	}
	r.journal.Logger().SetLevel(level)
	r.journal.Logger().WithField("level", level.String()).Info("daemon: settings reloaded")
}
