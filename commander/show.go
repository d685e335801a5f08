package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
)

func newGet() *cobra.Command {
	t := &target{}
	command := &cobra.Command{
		Use:     "get [KIND [NAME]]",
		Short:   "Show declared resources as YAML, without keys",
		Example: "  catkinrun get team\n  catkinrun get route pay",
		Args:    func(c *cobra.Command, args []string) error { return usage(cobra.MaximumNArgs(2)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			current, err := t.read(c.Context())
			if err != nil {
				return err
			}
			shown := slices.DeleteFunc(slices.Clone(current.data.Resources), func(r catkinrun.Resource) bool {
				return len(args) > 0 && string(r.Kind) != args[0] || len(args) > 1 && r.Name != args[1]
			})
			if len(shown) == 0 && len(args) > 1 {
				return &catkinrun.NotFoundError{Kind: args[0], Name: args[1]}
			}
			return showYAML(c.OutOrStdout(), shown)
		},
	}
	t.flag(command)
	return command
}

// showYAML prints resources as documents that apply reads.
func showYAML(out io.Writer, list []catkinrun.Resource) error {
	encoder := yaml.NewEncoder(out)
	for _, r := range list {
		if r.Team != nil {
			team := *r.Team
			team.Keys = nil
			r.Team = &team
		}
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
	return encoder.Close()
}

// members reads the members' table.
func (t *target) members(ctx context.Context) ([]catkinrun.Member, error) {
	store, err := t.store()
	if err != nil {
		return nil, err
	}
	page, err := store.List(ctx, locator.Table)
	if err != nil {
		return nil, err
	}
	l := locator.New(logrus.StandardLogger())
	l.Apply(page, true)
	return l.Members(), nil
}

func newStatus() *cobra.Command {
	t := &target{}
	command := &cobra.Command{
		Use:     "status",
		Short:   "Show what each daemon believes",
		Example: "  catkinrun status",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			members, err := t.members(c.Context())
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			row(w, "HOST", "ZONE", "SERVICE", "SERVER", "READY", "VERSION", "RUNNING", "LOAD")
			for _, m := range members {
				row(w, statusRow(c.Context(), m)...)
			}
			return w.Flush()
		},
	}
	t.flag(command)
	return command
}

func statusRow(ctx context.Context, m catkinrun.Member) []string {
	service, server := "-", "-"
	if m.Server != nil {
		service, server = m.Server.Service, m.Server.ID
	}
	cells := []string{m.Host, m.Zone, service, server}
	status, err := ask(ctx, m)
	if err != nil {
		return append(cells, "no answer", "-", "-", "-")
	}
	return append(cells, fmt.Sprint(status.Ready), fmt.Sprint(status.Version), fmt.Sprint(status.Running), fmt.Sprintf("%.2f", status.Load))
}

func row(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) // standard output may be closed
}

// follow waits until every daemon has a version in force, and says which have.
func (t *target) follow(c *cobra.Command, version catkinrun.Version, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(c.Context(), patience)
	defer cancel()
	startedAt := clock.System{}.Now()
	done := make(map[string]bool)
	for {
		members, err := t.members(ctx)
		if err != nil {
			return err
		}
		missing := 0
		for _, m := range members {
			status, err := ask(ctx, m)
			if err != nil || status.Version < version {
				missing++
				continue
			}
			if !done[m.Host] {
				done[m.Host] = true
				printLine(c, fmt.Sprintf("in force at %s after %s", m.Host, clock.System{}.Now().Sub(startedAt).Round(time.Millisecond)))
			}
		}
		if missing == 0 {
			printLine(c, fmt.Sprintf("version %d is in force at %d daemons", version, len(done)))
			return nil
		}
		if err := (clock.System{}).Wait(ctx, lookEvery); err != nil {
			return &NotInForceError{Version: version, Missing: missing}
		}
	}
}

// NotInForceError reports daemons that do not have a configuration in force in time.
type NotInForceError struct {
	Version catkinrun.Version
	Missing int
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at %d daemons", e.Version, e.Missing)
}

func newWatch() *cobra.Command {
	t := &target{}
	command := &cobra.Command{
		Use:     "watch",
		Short:   "Follow the configuration: a line for each version, and where it is in force",
		Example: "  catkinrun watch",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := t.store()
			if err != nil {
				return err
			}
			page, err := store.List(c.Context(), platform.ConfigurationTable)
			for err == nil {
				err = t.tell(c, page)
				if err == nil {
					page, err = store.Watch(c.Context(), platform.ConfigurationTable, page.Revision, time.Minute)
				}
			}
			if c.Context().Err() != nil {
				return nil
			}
			return err
		},
	}
	t.flag(command)
	return command
}

// tell prints the versions in a page and waits until each is in force.
func (t *target) tell(c *cobra.Command, page catkinrun.Page) error {
	for _, changed := range page.Rows {
		if changed.Key != platform.ConfigurationKey || changed.Deleted {
			continue
		}
		data, err := platform.DecodeConfiguration(changed.Value)
		if err != nil {
			return err
		}
		printLine(c, fmt.Sprintf("version %d, %d resources", data.Version, len(data.Resources)))
		if err := t.follow(c, data.Version, defaultPatience); err != nil {
			printLine(c, err.Error())
		}
	}
	return nil
}

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain REQUEST FILE...",
		Short:   "Show what daemons' logs say of a request, in order of time",
		Example: "  catkinrun explain 9c41d07be2a35f68 /var/log/catkinrun/*.log",
		Args:    func(c *cobra.Command, args []string) error { return usage(cobra.MinimumNArgs(2)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			var found []logLine
			for _, file := range args[1:] {
				lines, err := search(file, args[0])
				if err != nil {
					return err
				}
				found = append(found, lines...)
			}
			if len(found) == 0 {
				return &catkinrun.NotFoundError{Kind: "request", Name: args[0]}
			}
			slices.SortStableFunc(found, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
			for _, line := range found {
				printLine(c, line.file+" "+line.text)
			}
			return nil
		},
	}
}

// logLine is one line about a request.
type logLine struct{ file, time, text string }

// search returns a log's lines about a request. Lines that are not JSON are skipped.
func search(file, request string) ([]logLine, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	var found []logLine
	scanner := bufio.NewScanner(opened)
	for scanner.Scan() {
		var line struct {
			Time    string `json:"time"`
			Request string `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Request == request {
			found = append(found, logLine{file: file, time: line.Time, text: scanner.Text()})
		}
	}
	return found, scanner.Err()
}
