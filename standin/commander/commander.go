// Package commander is the command line of the stand-ins.
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/thejerf/suture/v4"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/standin/backend"
	"github.com/catkinrun/catkinrun/standin/caller"
	"github.com/catkinrun/catkinrun/standin/platform"
)

const (
	dialTimeout  = 2 * time.Second
	maxIdleConns = 1000
	idleTimeout  = 30 * time.Second
	// crashStatus is the exit status of a server that a request has crashed.
	crashStatus = 70
)

// Run executes the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use: "catkinrun-standin", Short: "Stand-ins for the platform, backend servers and callers",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newPlatform(), newBackend(), newCaller(), newReport())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, "catkinrun-standin:", err)
		return 1
	}
	return 0
}

func client() *http.Client {
	return &http.Client{Transport: dialer.Transport(dialTimeout, idleTimeout, maxIdleConns)}
}

// serveHTTP serves until ctx ends, and then starts a graceful shutdown, for which it does
// not wait.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.WithoutCancel(ctx)) })
	defer stop()
	if err := server.Serve(socket); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func newPlatform() *cobra.Command {
	var address string
	limits := platform.Limits{}
	command := &cobra.Command{
		Use: "platform", Short: "Run an in-memory stand-in for the platform's store",
		RunE: func(c *cobra.Command, _ []string) error {
			return serveHTTP(c.Context(), address, platform.New(clock.System{}, limits).Handler())
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:7100", "IP:port")
	command.Flags().IntVar(&limits.Reads, "reads", 2000, "reads per second")
	command.Flags().IntVar(&limits.Writes, "writes", 300, "writes per second")
	return command
}

func newBackend() *cobra.Command {
	settings := backend.Settings{DownstreamCalls: make(map[string]string)}
	command := &cobra.Command{
		Use: "server", Short: "Run a stand-in for a backend server",
		RunE: func(c *cobra.Command, _ []string) error {
			settings.Crash = func() { os.Exit(crashStatus) }
			b := backend.New(settings, clock.System{}, client())
			supervisor := suture.NewSimple("server")
			supervisor.Add(b)
			supervisor.ServeBackground(c.Context())
			return serveHTTP(c.Context(), settings.Address, b.Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.Zone, "zone", "", "availability zone of the host")
	flags.StringVar(&settings.Service, "service", "", "name of the service")
	flags.StringVar(&settings.Address, "listen", "", "IP:port")
	flags.StringVar(&settings.ID, "id", "", "instance name, unique to each start of the server")
	flags.StringVar(&settings.Daemon, "daemon", "", "URL of the caller listener of the daemon beside it")
	flags.StringVar(&settings.Control, "control", "", "URL of the announcement listener of the daemon beside it")
	flags.StringVar(&settings.Domain, "domain", "", "Host header of downstream calls")
	flags.IntVar(&settings.Slots, "slots", 50, "requests that the server runs at once")
	flags.StringVar(&settings.DeadlyPath, "deadly-path", "", "path prefix of requests that end the process, which is then to be started again under another ID")
	flags.DurationVar(&settings.ServiceTime, "work", 20*time.Millisecond, "service time")
	flags.DurationVar(&settings.ColdStart, "cold", 0, "time after the start in which the service time is five times as long")
	flags.StringToStringVar(&settings.DownstreamCalls, "call", nil, `downstream call for a path prefix, like /orders="GET /stock"`)
	return command
}

func newCaller() *cobra.Command {
	var settings caller.Settings
	var urls string
	command := &cobra.Command{
		Use: "load", Short: "Send requests at a fixed rate, as callers do",
		RunE: func(c *cobra.Command, _ []string) error {
			settings.URLs = strings.Split(urls, ",")
			result := caller.New(settings, clock.System{}, client()).Run(c.Context())
			printResult(c.OutOrStdout(), result)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.Name, "name", "load", "prefix of the names of the requests")
	flags.StringVar(&urls, "urls", "", "URLs of caller listeners, separated by commas")
	flags.StringVar(&settings.Method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&settings.Domain, "domain", "", "Host header")
	flags.StringVar(&settings.Path, "path", "/", "path")
	flags.StringVar(&settings.Key, "key", "", "caller's key")
	flags.StringVar(&settings.Body, "body", "", "body")
	flags.Float64Var(&settings.Rate, "rate", 10, "requests per second")
	flags.DurationVar(&settings.Duration, "duration", time.Second, "time to send requests for")
	flags.IntVar(&settings.MaxRetries, "retries", 0, "further attempts of a failed request")
	flags.DurationVar(&settings.Timeout, "patience", 5*time.Second, "longest wait for the response to one attempt")
	return command
}

func printResult(w io.Writer, r caller.Result) {
	_, _ = fmt.Fprintf(w, "sent %d answered %d lost %d p50-ms %.2f p99-ms %.2f refused %v\n",
		r.Sent, r.Answered, r.Lost,
		float64(r.Latency.ValueAtQuantile(50))/1000, float64(r.Latency.ValueAtQuantile(99))/1000, r.Failed)
}

func newReport() *cobra.Command {
	var url string
	command := &cobra.Command{
		Use: "report", Short: "Print the report of a server",
		RunE: func(c *cobra.Command, _ []string) error {
			response, err := client().Get(url + "/report")
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			var r backend.Report
			if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "finished %d cancelled %d keys-seen %d child-fails %d busiest %d\n",
				r.Finished, r.Cancelled, r.KeysSeen, r.DownstreamFailures, r.MaxRunning)
			return err
		},
	}
	command.Flags().StringVar(&url, "server", "", "URL of the server")
	return command
}
