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
	s := &storeClient{}
	command := &cobra.Command{
		Use:     "get [KIND [NAME]]",
		Short:   "Print declared resources as YAML, without keys",
		Example: "  catkinrun get team\n  catkinrun get route pay",
		Args:    func(c *cobra.Command, args []string) error { return usageError(cobra.MaximumNArgs(2)(c, args)) },
		RunE: func(c *cobra.Command, args []string) error {
			current, err := s.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			shown := slices.DeleteFunc(slices.Clone(current.data.Resources), func(r catkinrun.Resource) bool {
				return len(args) > 0 && string(r.Kind) != args[0] || len(args) > 1 && r.Name != args[1]
			})
			if len(shown) == 0 && len(args) > 1 {
				return &catkinrun.NotFoundError{Kind: args[0], Name: args[1]}
			}
			return printYAML(c.OutOrStdout(), shown)
		},
	}
	s.addFlag(command)
	return command
}

// printYAML prints resources, without keys, as YAML documents that apply accepts.
func printYAML(out io.Writer, list []catkinrun.Resource) error {
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

// listMembers reads the members table.
func (s *storeClient) listMembers(ctx context.Context) ([]catkinrun.Member, error) {
	store, err := s.store()
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
	s := &storeClient{}
	command := &cobra.Command{
		Use:     "status",
		Short:   "Print the status of each daemon",
		Example: "  catkinrun status",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			members, err := s.listMembers(c.Context())
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			writeRow(w, "HOST", "ZONE", "SERVICE", "SERVER", "READY", "VERSION", "RUNNING", "LOAD")
			for _, m := range members {
				writeRow(w, statusCells(c.Context(), m)...)
			}
			return w.Flush()
		},
	}
	s.addFlag(command)
	return command
}

func statusCells(ctx context.Context, m catkinrun.Member) []string {
	service, server := "-", "-"
	if m.Server != nil {
		service, server = m.Server.Service, m.Server.ID
	}
	cells := []string{m.Host, m.Zone, service, server}
	status, err := fetchStatus(ctx, m)
	if err != nil {
		return append(cells, "no answer", "-", "-", "-")
	}
	return append(cells, fmt.Sprint(status.Ready), fmt.Sprint(status.Version), fmt.Sprint(status.Running), fmt.Sprintf("%.2f", status.Load))
}

func writeRow(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) // standard output may be closed
}

// waitInForce waits until the version is in force at every daemon, and prints each
// daemon as the version comes into force there.
func (s *storeClient) waitInForce(c *cobra.Command, version catkinrun.Version, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.Context(), timeout)
	defer cancel()
	startedAt := clock.System{}.Now()
	inForce := make(map[string]bool)
	for {
		members, err := s.listMembers(ctx)
		if err != nil {
			return err
		}
		missing := 0
		for _, m := range members {
			status, err := fetchStatus(ctx, m)
			if err != nil || status.Version < version {
				missing++
				continue
			}
			if !inForce[m.Host] {
				inForce[m.Host] = true
				printLine(c, fmt.Sprintf("in force at %s after %s", m.Host, clock.System{}.Now().Sub(startedAt).Round(time.Millisecond)))
			}
		}
		if missing == 0 {
			printLine(c, fmt.Sprintf("version %d is in force at %d daemons", version, len(inForce)))
			return nil
		}
		if err := (clock.System{}).Wait(ctx, pollInterval); err != nil {
			return &NotInForceError{Version: version, Missing: missing}
		}
	}
}

// NotInForceError reports a configuration that did not come into force at every daemon
// before the timeout.
type NotInForceError struct {
	Version catkinrun.Version
	Missing int
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at %d daemons", e.Version, e.Missing)
}

func newWatch() *cobra.Command {
	s := &storeClient{}
	command := &cobra.Command{
		Use:     "watch",
		Short:   "Print each configuration version and the daemons where it is in force",
		Example: "  catkinrun watch",
		Args:    noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			store, err := s.store()
			if err != nil {
				return err
			}
			page, err := store.List(c.Context(), platform.ConfigurationTable)
			for err == nil {
				err = s.reportVersions(c, page)
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
	s.addFlag(command)
	return command
}

// reportVersions prints the configuration versions in a page and waits until each is in
// force.
func (s *storeClient) reportVersions(c *cobra.Command, page catkinrun.Page) error {
	for _, changed := range page.Rows {
		if changed.Key != platform.ConfigurationKey || changed.Deleted {
			continue
		}
		data, err := platform.DecodeConfiguration(changed.Value)
		if err != nil {
			return err
		}
		printLine(c, fmt.Sprintf("version %d, %d resources", data.Version, len(data.Resources)))
		if err := s.waitInForce(c, data.Version, defaultWaitTimeout); err != nil {
			printLine(c, err.Error())
		}
	}
	return nil
}

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain REQUEST FILE...",
		Short:   "Print the lines about a request in daemons' logs, ordered by time",
		Example: "  catkinrun explain 9c41d07be2a35f68 /var/log/catkinrun/*.log",
		Args:    func(c *cobra.Command, args []string) error { return usageError(cobra.MinimumNArgs(2)(c, args)) },
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

// logLine is one log line about a request.
type logLine struct{ file, time, text string }

// search returns the lines of a log file about a request. It skips lines that are not
// JSON.
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
