package commander

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/operator"
)

func newGet(t *target) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:       "get [KIND [NAME]]",
		Short:     "Show declared resources",
		Example:   "  catkinrun get team\n  catkinrun get route pay -o yaml",
		ValidArgs: []string{"team", "key", "route", "host"},
		Args:      func(c *cobra.Command, args []string) error { return usage(cobra.MaximumNArgs(2)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			query := url.Values{}
			for i, name := range []string{"kind", "name"} {
				if len(args) > i {
					query.Set(name, args[i])
				}
			}
			var list []catkinrun.Resource
			if err := t.get(c.Context(), "/v1/resources?"+query.Encode(), &list); err != nil {
				return err
			}
			return show(c, format, list, func(w *tabwriter.Writer) { resourceTable(w, list) })
		},
	}
	formatFlag(command, &format)
	return command
}

func formatFlag(c *cobra.Command, format *string) {
	c.Flags().StringVarP(format, "output", "o", "table", "table, yaml or json")
}

// show prints a value in the chosen format.
func show(c *cobra.Command, format string, value any, table func(*tabwriter.Writer)) error {
	switch format {
	case "json":
		encoder := json.NewEncoder(c.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "yaml":
		return showYAML(c, value)
	case "table":
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	return &UsageError{Cause: &catkinrun.InvalidError{Where: "flag", Field: "output", Reason: "expected table, yaml or json"}}
}

// showYAML prints a list of resources as documents, as apply reads them.
func showYAML(c *cobra.Command, value any) error {
	encoder := yaml.NewEncoder(c.OutOrStdout())
	defer func() { _ = encoder.Close() }()
	list, ok := value.([]catkinrun.Resource)
	if !ok {
		return encoder.Encode(value)
	}
	for _, r := range list {
		r.Version = 0
		r.Actor = ""
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func resourceTable(w *tabwriter.Writer, list []catkinrun.Resource) {
	row(w, "KIND", "NAME", "VERSION", "BY", "WHAT")
	for _, r := range list {
		row(w, string(r.Kind), r.Name, fmt.Sprint(r.Version), r.Actor, describe(r))
	}
}

func row(w *tabwriter.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func describe(r catkinrun.Resource) string {
	switch {
	case r.Team != nil:
		return fmt.Sprintf("%g/s, burst %g", r.Team.Rate, r.Team.Burst)
	case r.Key != nil && r.Key.Withdrawn:
		return r.Key.Team + ", withdrawn"
	case r.Key != nil:
		return r.Key.Team
	case r.Route != nil:
		return fmt.Sprintf("%s %s -> %s, %s, %s", r.Route.Method, r.Route.Path, r.Route.Service, r.Route.Priority, time.Duration(r.Route.Timeout))
	case r.Host != nil:
		return fmt.Sprintf("%s, %s, %s, %d slots", r.Host.Zone, r.Host.Peer, r.Host.Service, r.Host.Slots)
	}
	return ""
}

func newHistory(t *target) *cobra.Command {
	var after uint64
	var format string
	command := &cobra.Command{
		Use:     "history",
		Short:   "Show who changed what and when",
		Example: "  catkinrun history --after 40",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var changes []catkinrun.Change
			if err := t.get(c.Context(), fmt.Sprintf("/v1/changes?after=%d", after), &changes); err != nil {
				return err
			}
			return show(c, format, changes, func(w *tabwriter.Writer) { historyTable(w, changes) })
		},
	}
	command.Flags().Uint64Var(&after, "after", 0, "show changes after this version")
	formatFlag(command, &format)
	return command
}

func historyTable(w *tabwriter.Writer, changes []catkinrun.Change) {
	row(w, "VERSION", "TIME", "BY", "WHAT")
	for _, c := range changes {
		for _, m := range c.Mutations {
			verb := "set"
			if m.Delete {
				verb = "delete"
			}
			what := fmt.Sprintf("%s %s %s %s", verb, m.Resource.Kind, m.Resource.Name, describe(m.Resource))
			row(w, fmt.Sprint(c.Version), c.Time.Format(time.RFC3339), c.Actor, what)
		}
	}
}

func newStatus(t *target) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show hosts, versions in force, shares and admission as one daemon sees them",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s operator.Status
			if err := t.get(c.Context(), "/v1/status", &s); err != nil {
				return err
			}
			return show(c, format, s, func(w *tabwriter.Writer) { statusTable(w, s) })
		},
	}
	formatFlag(command, &format)
	return command
}

func statusTable(w *tabwriter.Writer, s operator.Status) {
	row(w, "host", s.Host+" in "+s.Zone)
	row(w, "version", fmt.Sprintf("%d, accepted %d, current %t, proof %s old", s.Version, s.Accepted, s.Current, s.ProofAge))
	row(w, "admission", fmt.Sprintf("level %d, load %.2f, running %d", s.Level, s.Load, s.Running))
	for _, team := range slices.Sorted(maps.Keys(s.Shares)) {
		row(w, "share", fmt.Sprintf("%s %.1f/s", team, s.Shares[team].Rate))
	}
	row(w, "")
	row(w, "HOST", "ZONE", "SERVICE", "SLOTS", "READY", "HOLDS")
	for _, h := range s.Hosts {
		state := "silent"
		if h.Seen {
			state = fmt.Sprint(h.Ready)
		}
		row(w, h.Name, h.Host.Zone, h.Host.Service, fmt.Sprint(h.Host.Slots), state, fmt.Sprint(h.Held))
	}
}

func newExplain(t *target) *cobra.Command {
	var team, format string
	command := &cobra.Command{
		Use:     "explain METHOD PATH --team TEAM",
		Short:   "Say what would happen to a request now, and why",
		Example: "  catkinrun explain POST /pay --team panaderia-luna",
		Args:    exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			query := url.Values{"method": {args[0]}, "path": {args[1]}, "team": {team}}
			var e operator.Explanation
			if err := t.get(c.Context(), "/v1/explain?"+query.Encode(), &e); err != nil {
				return err
			}
			return show(c, format, e, func(w *tabwriter.Writer) { explainTable(w, e) })
		},
	}
	command.Flags().StringVar(&team, "team", "", "team whose request it is")
	formatFlag(command, &format)
	return command
}

func explainTable(w *tabwriter.Writer, e operator.Explanation) {
	row(w, "verdict", e.Verdict)
	row(w, "route", fmt.Sprintf("%s to %s, %s", e.Route, e.Service, e.Priority))
	row(w, "level", fmt.Sprint(e.Level))
	row(w, "ready", strings.Join(e.Ready, " "))
	for _, why := range e.Why {
		row(w, "why", why)
	}
}
