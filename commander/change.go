package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/declarer"
	"github.com/catkinrun/catkinrun/operator"
)

func newApply(t *target) *cobra.Command {
	var path string
	var dryRun, prune, wait bool
	command := &cobra.Command{
		Use:   "apply -f DIR",
		Short: "Bring declared teams, keys and routes into force",
		Long: `Reads the YAML files in DIR, shows the difference, and commits it as one change.
If another operator changes one of the resources meanwhile, nothing is written.`,
		Example: "  catkinrun apply -f declarations --dry-run\n  catkinrun apply -f declarations --wait",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			declared, err := declarer.Read(path)
			if err != nil {
				return err
			}
			var current []catkinrun.Resource
			if err := t.get(c.Context(), "/v1/resources", &current); err != nil {
				return err
			}
			mutations := declarer.Plan(declared, current, prune)
			for _, m := range mutations {
				printLine(c, declarer.Describe(m, current))
			}
			if len(mutations) == 0 {
				printLine(c, "nothing to change")
				return nil
			}
			return commit(c, t, mutations, dryRun, wait)
		},
	}
	command.Flags().StringVarP(&path, "file", "f", "", "directory or file with declarations")
	command.Flags().BoolVar(&dryRun, "dry-run", false, "check and show the change without making it")
	command.Flags().BoolVar(&prune, "prune", false, "delete teams and routes that are not declared")
	command.Flags().BoolVar(&wait, "wait", false, "follow the change until it is in force everywhere")
	return command
}

// commit sends mutations as one change.
func commit(c *cobra.Command, t *target, mutations []catkinrun.Mutation, dryRun, wait bool) error {
	request := operator.ChangeRequest{ID: operator.NewChangeID(), Mutations: mutations}
	path := "/v1/changes"
	if dryRun {
		path += "?dry-run=true"
	}
	var committed catkinrun.Change
	if err := t.post(c.Context(), path, request, &committed); err != nil {
		return errors.Wrapf(err, "change %s", request.ID)
	}
	if dryRun {
		printLine(c, "dry run: the change is good; nothing was written")
		return nil
	}
	printLine(c, fmt.Sprintf("committed as version %d", committed.Version))
	if !wait {
		return nil
	}
	return follow(c, t, committed.Version)
}

func newValidate(*target) *cobra.Command {
	return &cobra.Command{
		Use:     "validate DIR",
		Short:   "Check declarations without a daemon",
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

func newDelete(t *target) *cobra.Command {
	return &cobra.Command{
		Use:     "delete KIND NAME",
		Short:   "Delete a resource",
		Example: "  catkinrun delete route old-stock",
		Args:    exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			current, err := lookUp(c.Context(), t, args[0], args[1])
			if err != nil {
				return err
			}
			return commit(c, t, []catkinrun.Mutation{{Replace: current.Version, Delete: true, Resource: current}}, false, false)
		},
	}
}

func lookUp(ctx context.Context, t *target, kind, name string) (catkinrun.Resource, error) {
	query := url.Values{"kind": {kind}, "name": {name}}
	var list []catkinrun.Resource
	if err := t.get(ctx, "/v1/resources?"+query.Encode(), &list); err != nil {
		return catkinrun.Resource{}, err
	}
	return list[0], nil
}

func newKey(t *target) *cobra.Command {
	command := &cobra.Command{Use: "key", Short: "Issue and withdraw callers' keys"}
	command.AddCommand(newKeyIssue(t), newKeyWithdraw(t))
	return command
}

func newKeyIssue(t *target) *cobra.Command {
	var team string
	command := &cobra.Command{
		Use:     "issue NAME --team TEAM",
		Short:   "Issue a key; its secret is shown once and kept nowhere",
		Example: "  catkinrun key issue luna-phone --team panaderia-luna",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var answer operator.KeyAnswer
			request := operator.KeyRequest{Name: args[0], Team: team}
			if err := t.post(c.Context(), "/v1/keys", request, &answer); err != nil {
				return err
			}
			printLine(c, answer.Secret)
			return nil
		},
	}
	command.Flags().StringVar(&team, "team", "", "team that the key belongs to")
	return command
}

func newKeyWithdraw(t *target) *cobra.Command {
	var wait bool
	command := &cobra.Command{
		Use:     "withdraw NAME",
		Short:   "Withdraw a key; it stops working within seconds everywhere",
		Example: "  catkinrun key withdraw luna-phone --wait",
		Args:    exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			current, err := lookUp(c.Context(), t, string(catkinrun.KindKey), args[0])
			if err != nil {
				return err
			}
			key := *current.Key
			key.Withdrawn = true
			withdrawn := catkinrun.Resource{Kind: catkinrun.KindKey, Name: args[0], Key: &key}
			return commit(c, t, []catkinrun.Mutation{{Replace: current.Version, Resource: withdrawn}}, false, wait)
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "follow the change until it is in force everywhere")
	return command
}

func newWatch(t *target) *cobra.Command {
	return &cobra.Command{
		Use:     "watch [VERSION]",
		Short:   "Follow a change until it is in force everywhere",
		Example: "  catkinrun watch 42",
		Args:    func(c *cobra.Command, args []string) error { return usage(cobra.MaximumNArgs(1)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			version := uint64(0)
			if len(args) == 1 {
				parsed, err := strconv.ParseUint(args[0], 10, 64)
				if err != nil {
					return &UsageError{Cause: err}
				}
				version = parsed
			}
			return follow(c, t, catkinrun.Version(version))
		},
	}
}

// follow prints the stages of a change.
func follow(c *cobra.Command, t *target, v catkinrun.Version) error {
	ctx, cancel := context.WithTimeout(c.Context(), t.patience)
	defer cancel()
	reply, err := t.open(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?version=%d", v), nil)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Close() }()
	decoder := json.NewDecoder(reply)
	for {
		var p operator.Progress
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return &CallError{Detail: "the watch broke off: " + err.Error()}
		}
		printLine(c, describeProgress(p))
	}
}

func describeProgress(p operator.Progress) string {
	line := fmt.Sprintf("version %d %s", p.Version, p.Stage)
	if len(p.Lagging) > 0 {
		line += "; lagging: " + strings.Join(p.Lagging, " ")
	}
	if len(p.Silent) > 0 {
		line += "; silent: " + strings.Join(p.Silent, " ")
	}
	return line
}

func printLine(c *cobra.Command, line string) { _, _ = fmt.Fprintln(c.OutOrStdout(), line) }
