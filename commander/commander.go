// Package commander is the catkinrun command line.
package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/daemon"
	"github.com/catkinrun/catkinrun/declarer"
	"github.com/catkinrun/catkinrun/loader"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2 // bad flags, settings or declarations
	exitConflict = 3 // another operator changed the resource first
	exitUnknown  = 4 // whether the change was made is not known
)

// Run executes the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = io.WriteString(stderr, "catkinrun: "+err.Error()+"\n")
	}
	return exitStatus(err)
}

func exitStatus(err error) int {
	var settings *loader.FileError
	var declaration *declarer.FileError
	var usage *UsageError
	var call *CallError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &settings), errors.As(err, &declaration), errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &call):
		return call.exitStatus()
	}
	return exitFailed
}

// UsageError reports a command line that cannot be understood.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

func newRoot() *cobra.Command {
	target := &target{}
	root := &cobra.Command{
		Use:   "catkinrun",
		Short: "Overload control for service call graphs",
		Long: `Catkinrun runs one daemon beside each backend server. Operators declare teams,
keys and routes through any daemon's operator listener and watch changes come into force.

Exit status: 0 done, 1 failed, 2 bad command line, settings or declarations,
3 conflict with another operator's change, 4 result unknown.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Cause: err} })
	root.PersistentFlags().StringVar(&target.url, "operator", os.Getenv("CATKINRUN_OPERATOR"),
		"URL of a daemon's operator listener (default $CATKINRUN_OPERATOR)")
	root.PersistentFlags().DurationVar(&target.patience, "timeout", defaultPatience, "longest wait for a change to come into force")
	root.PersistentFlags().StringVar(&target.token, "token", "", "operator's token (default $CATKINRUN_TOKEN)")
	for _, add := range commands {
		root.AddCommand(add(target))
	}
	return root
}

// commands lists the subcommands; a new one is added here only.
var commands = []func(*target) *cobra.Command{
	newDaemon, newApply, newValidate, newGet, newDelete, newWatch, newHistory, newKey, newStatus, newExplain,
}

func newDaemon(*target) *cobra.Command {
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
			log := newLog(settings.Log, c.ErrOrStderr())
			d, err := daemon.New(settings, clock.System{}, log)
			if err != nil {
				return err
			}
			return d.Serve(c.Context())
		},
	}
	command.Flags().StringVar(&file, "settings", "", "YAML file with this host's settings")
	return command
}

func newLog(s loader.Log, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	return log
}

func noArgs(c *cobra.Command, args []string) error { return usage(cobra.NoArgs(c, args)) }

// exactArgs checks the number of arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error { return usage(cobra.ExactArgs(n)(c, args)) }
}

func usage(err error) error {
	if err == nil {
		return nil
	}
	return &UsageError{Cause: err}
}
