package commander

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

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
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGHUP) // first, since SIGHUP ends a process that does not
			raw, err := loader.Read(file)
			if err != nil {
				return err
			}
			settings, err := loader.Parse(file, raw)
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
			d, err := daemon.New(c.Context(), settings, system, clock.Boot{}, journal)
			if err != nil {
				return err
			}
			running, stop := context.WithCancel(context.WithoutCancel(c.Context())) // a daemon that leaves follows its settings
			defer stop()
			go newReloader(file, raw, d.Reload, signals, d.SettingsDoubted(), system, journal.Logger()).run(running)
			return d.Serve(c.Context())
		},
	}
	command.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsEnvVar), "YAML file with this host's settings (default $"+platform.SettingsEnvVar+")")
	return command
}
