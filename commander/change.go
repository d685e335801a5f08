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
	t := &target{}
	var path string
	var dryRun, prune, wait bool
	patience := defaultPatience
	command := &cobra.Command{
		Use:   "apply -f DIR",
		Short: "Bring declared teams, services, routes and limits into force",
		Long: `Reads the YAML files in DIR, shows the difference, and writes it as one new
configuration. Keys that have been issued stay. If another operator changes the
configuration meanwhile, nothing is written.`,
		Example: "  catkinrun apply -f declarations --dry-run\n  catkinrun apply -f declarations --wait",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			declared, err := declarer.Read(path)
			if err != nil {
				return err
			}
			before, err := t.read(c.Context())
			if err != nil {
				return err
			}
			resources, changes := declarer.Plan(declared, before.data.Resources, prune)
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
			return commit(c, t, before, resources, wait, patience)
		},
	}
	t.flag(command)
	command.Flags().StringVarP(&path, "file", "f", "", "directory or file with declarations")
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show the change without making it")
	command.Flags().BoolVar(&prune, "prune", false, "delete what is not declared")
	waitFlags(command, &wait, &patience)
	return command
}

func waitFlags(c *cobra.Command, wait *bool, patience *time.Duration) {
	c.Flags().BoolVar(wait, "wait", false, "wait until the change is in force at every daemon")
	c.Flags().DurationVar(patience, "timeout", defaultPatience, "longest wait")
}

// commit writes a configuration and waits for it if asked to.
func commit(c *cobra.Command, t *target, before configuration, resources []catkinrun.Resource, wait bool, patience time.Duration) error {
	version, err := t.write(c.Context(), before, resources)
	if err != nil {
		return err
	}
	printLine(c, fmt.Sprintf("written as version %d", version))
	if !wait {
		return nil
	}
	return t.follow(c, version, patience)
}

func newKey() *cobra.Command {
	command := &cobra.Command{Use: "key", Short: "Issue and withdraw teams' keys"}
	command.AddCommand(newKeyIssue(), newKeyWithdraw())
	return command
}

func newKeyIssue() *cobra.Command {
	t := &target{}
	command := &cobra.Command{
		Use:     "issue TEAM",
		Short:   "Give a team a new key and print it",
		Example: "  catkinrun key issue panaderia-luna",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			secret := authenticator.Issue()
			err := t.changeKeys(c, args[0], false, 0, func(keys []string) ([]string, error) { return append(keys, secret), nil })
			if err != nil {
				return err
			}
			printLine(c, secret)
			return nil
		},
	}
	t.flag(command)
	return command
}

func newKeyWithdraw() *cobra.Command {
	t := &target{}
	var wait bool
	patience := defaultPatience
	command := &cobra.Command{
		Use:     "withdraw TEAM KEY",
		Short:   "Take a key away; its first characters suffice if they are its own",
		Example: "  catkinrun key withdraw panaderia-luna ck_4f1c --wait",
		Args:    exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return t.changeKeys(c, args[0], wait, patience, func(keys []string) ([]string, error) {
				return without(keys, args[1])
			})
		},
	}
	t.flag(command)
	waitFlags(command, &wait, &patience)
	return command
}

// without removes the one key that begins so.
func without(keys []string, prefix string) ([]string, error) {
	kept := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return strings.HasPrefix(key, prefix) })
	switch len(keys) - len(kept) {
	case 1:
		return kept, nil
	case 0:
		return nil, &catkinrun.NotFoundError{Kind: "key", Name: prefix}
	}
	return nil, &UsageError{Cause: &catkinrun.InvalidError{Where: "argument", Field: "KEY", Reason: "several keys begin so"}}
}

// changeKeys replaces the keys of a team.
func (t *target) changeKeys(c *cobra.Command, name string, wait bool, patience time.Duration, change func([]string) ([]string, error)) error {
	before, err := t.read(c.Context())
	if err != nil {
		return err
	}
	resources := slices.Clone(before.data.Resources)
	i := slices.IndexFunc(resources, func(r catkinrun.Resource) bool { return r.Kind == catkinrun.KindTeam && r.Name == name })
	if i < 0 {
		return &catkinrun.NotFoundError{Kind: "team", Name: name}
	}
	team := *resources[i].Team
	if team.Keys, err = change(slices.Clone(team.Keys)); err != nil {
		return err
	}
	resources[i].Team = &team
	return commit(c, t, before, resources, wait, patience)
}
