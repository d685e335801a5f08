// Package commander is the catkinrun command line.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/declarer"
	"github.com/catkinrun/catkinrun/loader"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2 // invalid command line, settings or declarations
	exitConflict = 3 // another operator changed the configuration first
	exitUnknown  = 4 // the change may or may not have been written
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
	var conflict *catkinrun.ConflictError
	var unknown *UnknownResultError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &settings), errors.As(err, &declaration), errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

// UsageError reports an invalid command line.
type UsageError struct {
	Cause error
}

func (e *UsageError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Cause }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "catkinrun",
		Short: "Overload control for service call graphs",
		Long: `Catkinrun runs one daemon beside each backend server. Operators declare teams,
services and routes, which are kept in the store, and follow where each change is in
force.

Exit status: 0 success, 1 failure, 2 invalid command line, settings or declarations,
3 conflict with another operator's change, 4 unknown result.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Cause: err} })
	for _, add := range commands {
		root.AddCommand(add())
	}
	return root
}

// commands lists the constructors of all subcommands; a new subcommand is added only here.
var commands = []func() *cobra.Command{
	newDaemon, newApply, newValidate, newGet, newWatch, newKey, newStatus, newExplain,
}

func noArgs(c *cobra.Command, args []string) error { return usageError(cobra.NoArgs(c, args)) }

// exactArgs checks the number of arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error { return usageError(cobra.ExactArgs(n)(c, args)) }
}

func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &UsageError{Cause: err}
}

func printLine(c *cobra.Command, line string) {
	_, _ = io.WriteString(c.OutOrStdout(), line+"\n") // standard output may be closed
}

func newValidate() *cobra.Command {
	return &cobra.Command{
		Use:     "validate DIR",
		Short:   "Check declarations without a store or a daemon",
		Example: "  catkinrun validate declarations",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			declared, err := declarer.Read(args[0])
			if err != nil {
				return err
			}
			printLine(c, fmt.Sprintf("%d resources are valid", len(declared)))
			return nil
		},
	}
}
