package commander

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/authenticator"
	"github.com/catkinrun/catkinrun/declarer"
)

func newApply() *cobra.Command {
	s := &storeClient{}
	var path string
	var dryRun, prune, wait bool
	timeout := defaultWaitTimeout
	command := &cobra.Command{
		Use:   "apply -f DIR",
		Short: "Apply declared teams, services, routes and limits",
		Long: `Reads the YAML files in DIR, prints the differences from the current configuration,
and writes the result as one new version. Issued keys are kept. If another operator
changes the configuration in the meantime, nothing is written.`,
		Example: "  catkinrun apply -f declarations --dry-run\n  catkinrun apply -f declarations --wait",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			declared, err := declarer.Read(path)
			if err != nil {
				return err
			}
			current, err := s.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			resources, changes := declarer.Plan(declared, current.data.Resources, prune)
			for _, change := range changes {
				printLine(c, change.String())
			}
			if len(changes) == 0 {
				printLine(c, "nothing to change")
				return nil
			}
			if dryRun {
				printLine(c, "dry run: nothing was written")
				return nil
			}
			return commit(c, s, current, resources, wait, timeout)
		},
	}
	s.addFlag(command)
	command.Flags().StringVarP(&path, "file", "f", "", "directory or file of declarations")
	command.Flags().BoolVar(&dryRun, "dry-run", false, "print the changes without writing them")
	command.Flags().BoolVar(&prune, "prune", false, "delete resources that are not declared")
	addWaitFlags(command, &wait, &timeout)
	return command
}

func addWaitFlags(c *cobra.Command, wait *bool, timeout *time.Duration) {
	c.Flags().BoolVar(wait, "wait", false, "wait until the change is in force at every daemon")
	c.Flags().DurationVar(timeout, "timeout", defaultWaitTimeout, "maximum time to wait")
}

// commit writes a configuration and, with wait, waits until it is in force.
func commit(c *cobra.Command, s *storeClient, current configuration, resources []catkinrun.Resource, wait bool, timeout time.Duration) error {
	version, err := s.writeConfiguration(c.Context(), current, resources)
	if err != nil {
		return err
	}
	printLine(c, fmt.Sprintf("written as version %d", version))
	if !wait {
		return nil
	}
	return s.waitInForce(c, version, timeout)
}

func newKey() *cobra.Command {
	command := &cobra.Command{Use: "key", Short: "Issue and withdraw teams' keys"}
	command.AddCommand(newKeyIssue(), newKeyWithdraw())
	return command
}

func newKeyIssue() *cobra.Command {
	s := &storeClient{}
	command := &cobra.Command{
		Use:     "issue TEAM",
		Short:   "Issue a new key for a team and print it",
		Example: "  catkinrun key issue panaderia-luna",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key := authenticator.NewKey()
			err := s.changeKeys(c, args[0], false, 0, func(keys []string) ([]string, error) { return append(keys, key), nil })
			if err != nil {
				return err
			}
			printLine(c, key)
			return nil
		},
	}
	s.addFlag(command)
	return command
}

func newKeyWithdraw() *cobra.Command {
	s := &storeClient{}
	var wait bool
	timeout := defaultWaitTimeout
	command := &cobra.Command{
		Use:     "withdraw TEAM KEY",
		Short:   "Withdraw a key, given in full or by an unambiguous prefix",
		Example: "  catkinrun key withdraw panaderia-luna ck_4f1c --wait",
		Args:    exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return s.changeKeys(c, args[0], wait, timeout, func(keys []string) ([]string, error) {
				return removeKey(keys, args[1])
			})
		},
	}
	s.addFlag(command)
	addWaitFlags(command, &wait, &timeout)
	return command
}

// removeKey removes the only key with the prefix. It fails if no key or several keys
// have the prefix.
func removeKey(keys []string, prefix string) ([]string, error) {
	remaining := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return strings.HasPrefix(key, prefix) })
	switch len(keys) - len(remaining) {
	case 1:
		return remaining, nil
	case 0:
		return nil, &catkinrun.NotFoundError{Kind: "key", Name: prefix}
	}
	return nil, &UsageError{Cause: &catkinrun.InvalidError{Where: "argument", Field: "KEY", Reason: "several keys have this prefix"}}
}

// changeKeys replaces the keys of a team with the result of change.
func (s *storeClient) changeKeys(c *cobra.Command, name string, wait bool, timeout time.Duration, change func([]string) ([]string, error)) error {
	current, err := s.readConfiguration(c.Context())
	if err != nil {
		return err
	}
	resources := slices.Clone(current.data.Resources)
	i := slices.IndexFunc(resources, func(r catkinrun.Resource) bool { return r.Kind == catkinrun.KindTeam && r.Name == name })
	if i < 0 {
		return &catkinrun.NotFoundError{Kind: "team", Name: name}
	}
	team := *resources[i].Team
	if team.Keys, err = change(slices.Clone(team.Keys)); err != nil {
		return err
	}
	resources[i].Team = &team
	return commit(c, s, current, resources, wait, timeout)
}
