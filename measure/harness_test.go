//go:build measure

// Package measure runs real daemons on loopback and prints the figures that the
// project is judged by. The platform, the backend servers and the callers are
// stand-ins inside the test's own process.
package measure

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/operator"
	"github.com/catkinrun/catkinrun/standin/backend"
	"github.com/catkinrun/catkinrun/standin/caller"
	"github.com/catkinrun/catkinrun/standin/platform"
)

const token = "measure"

var (
	figuresMu sync.Mutex
	short     []string
	total     int
)

// figure prints one line and notes whether it falls short of its target.
func figure(name string, value float64, unit, bound string, good bool) {
	figuresMu.Lock()
	defer figuresMu.Unlock()
	total++
	fmt.Printf("figure %s %.3f %s target %s\n", name, value, unit, bound)
	if !good {
		short = append(short, name)
	}
}

func atMost(name string, value float64, unit string, bound float64) {
	figure(name, value, unit, fmt.Sprintf("<=%g", bound), value <= bound)
}

func atLeast(name string, value float64, unit string, bound float64) {
	figure(name, value, unit, fmt.Sprintf(">=%g", bound), value >= bound)
}

// note prints a figure without a target.
func note(name string, value float64, unit string) { figure(name, value, unit, "none", true) }

func TestMain(m *testing.M) {
	status := m.Run()
	fmt.Printf("figures %d, short of their target %d: %s\n", total, len(short), strings.Join(short, " "))
	os.Exit(status)
}

// host is one daemon's process and the server beside it.
type host struct {
	name, ip, zone string
	server         *backend.Backend
	command        *exec.Cmd
	log            *os.File
}

func (h *host) callerURL() string { return "http://" + h.ip + ":7001" }

// cluster is a set of hosts and the platform.
type cluster struct {
	t        *testing.T
	dir      string
	net      int // second byte of the hosts' addresses
	platform *platform.Platform
	store    string
	hosts    []*host
	client   *http.Client
	stop     context.CancelFunc
	ctx      context.Context
}

var nextNet = 10

func newCluster(t *testing.T) *cluster {
	nextNet++
	c := &cluster{t: t, dir: t.TempDir(), net: nextNet}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.platform = platform.New(clock.System{}, platform.Limits{Reads: 2000, Writes: 300})
	c.client = &http.Client{Transport: dialer.Transport(time.Second, 0, 2000)}
	c.store = c.serve(fmt.Sprintf("127.%d.0.1:7100", c.net), c.platform.Handler())
	t.Cleanup(c.close)
	return c
}

// serve runs a stand-in until the cluster closes.
func (c *cluster) serve(address string, handler http.Handler) string {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	go server.Serve(socket) //nolint:errcheck // ends with the cluster
	return "http://" + address
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		c.kill(h)
	}
	c.stop()
}

// add starts a host whose server has the settings' slots, work and calls.
func (c *cluster) add(zone string, s backend.Settings) *host {
	i := len(c.hosts)
	h := &host{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", c.net, 1+i/200, 1+i%200), zone: zone}
	c.hosts = append(c.hosts, h)
	c.start(h)
	if s.Service != "" {
		s.Address = h.ip + ":7005"
		s.Daemon = "http://" + h.ip + ":7002"
		s.Connections = 1000
		h.server = backend.New(s, clock.System{}, c.client)
		c.serve(s.Address, h.server.Handler())
		go h.server.Serve(c.ctx) //nolint:errcheck // ends with the cluster
	}
	return h
}

func (c *cluster) start(h *host) {
	sum := sha256.Sum256([]byte(token))
	settings := fmt.Sprintf(`host: %s
zone: %s
platform: %s
fleet-key: measure
listen: {caller: "%s:7001", local: "%s:7002", peer: "%s:7003", operator: "%s:7004"}
operators: [{name: measure, role: editor, token-sha256: %s}]
`, h.name, h.zone, c.store, h.ip, h.ip, h.ip, h.ip, hex.EncodeToString(sum[:]))
	file := filepath.Join(c.dir, h.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	h.log = log
	h.command = exec.Command("../bin/catkinrun", "daemon", "--settings", file)
	h.command.Stderr = log
	if err := h.command.Start(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) kill(h *host) {
	if h.command.ProcessState != nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGKILL)
	_ = h.command.Wait()
}

func (c *cluster) signal(h *host, s syscall.Signal) { _ = h.command.Process.Signal(s) }

// api calls a host's operator listener.
func (c *cluster) api(h *host, method, path string, body, answer any) error {
	raw, _ := json.Marshal(body)
	request, _ := http.NewRequest(method, "http://"+h.ip+":7004"+path, bytes.NewReader(raw))
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	reply, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, reply)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(reply, answer)
}

func (c *cluster) status(h *host) operator.Status {
	var s operator.Status
	_ = c.api(h, http.MethodGet, "/v1/status", nil, &s)
	return s
}

// waitReady waits until every host sees every other as ready.
func (c *cluster) waitReady() {
	c.waitFor("hosts ready", 40*time.Second, func() bool {
		for _, h := range c.hosts {
			ready := 0
			for _, other := range c.status(h).Hosts {
				if other.Seen && (other.Ready || other.Host.Service == "") {
					ready++
				}
			}
			if ready < len(c.hosts) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) waitFor(what string, patience time.Duration, done func() bool) time.Duration {
	begun := time.Now()
	for !done() {
		if time.Since(begun) > patience {
			c.t.Fatalf("%s: not after %s", what, patience)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// declare commits resources in one change.
func (c *cluster) declare(resources ...catkinrun.Resource) catkinrun.Version {
	var mutations []catkinrun.Mutation
	for _, r := range resources {
		mutations = append(mutations, catkinrun.Mutation{Resource: r})
	}
	var committed catkinrun.Change
	if err := c.api(c.hosts[0], http.MethodPost, "/v1/changes", operator.ChangeRequest{Mutations: mutations}, &committed); err != nil {
		c.t.Fatal(err)
	}
	return committed.Version
}

func team(name string, rate, burst float64) catkinrun.Resource {
	return catkinrun.Resource{Kind: catkinrun.KindTeam, Name: name, Team: &catkinrun.Team{Rate: rate, Burst: burst}}
}

func route(name, service, method, path string, p catkinrun.Priority, idempotent bool) catkinrun.Resource {
	return catkinrun.Resource{Kind: catkinrun.KindRoute, Name: name, Route: &catkinrun.Route{
		Service: service, Method: method, Path: path, Priority: p, Idempotent: idempotent, Timeout: catkinrun.Duration(2 * time.Second),
	}}
}

func (c *cluster) key(name, team string) string {
	var answer operator.KeyAnswer
	if err := c.api(c.hosts[0], http.MethodPost, "/v1/keys", operator.KeyRequest{Name: name, Team: team}, &answer); err != nil {
		c.t.Fatal(err)
	}
	return answer.Secret
}

func (c *cluster) urls(hosts ...*host) []string {
	if hosts == nil {
		hosts = c.hosts
	}
	var urls []string
	for _, h := range hosts {
		urls = append(urls, h.callerURL())
	}
	return urls
}

// load runs streams side by side and returns their results by name.
func (c *cluster) load(streams ...caller.Settings) map[string]caller.Result {
	results := make(map[string]caller.Result)
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, s := range streams {
		if s.Patience == 0 {
			s.Patience = 3 * time.Second
		}
		all.Add(1)
		go func() {
			defer all.Done()
			r := caller.New(s, clock.System{}, c.client).Run(c.ctx)
			mu.Lock()
			defer mu.Unlock()
			results[s.Name] = r
		}()
	}
	all.Wait()
	return results
}

// warm waits until a team's broker hands out shares at each of the hosts.
func (c *cluster) warm(key, method, path string, hosts ...*host) {
	c.waitFor("shares", 40*time.Second, func() bool {
		r := c.load(caller.Settings{Name: "warm", URLs: c.urls(hosts...), Method: method, Path: path, Key: key, Rate: 40, Duration: time.Second})["warm"]
		return r.Answered == r.Sent
	})
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * float64(part) / float64(whole)
}

// outcomes adds up how requests ended, by listener, over all hosts.
func (c *cluster) outcomes() map[string]int {
	sums := make(map[string]int)
	for _, h := range c.hosts {
		response, err := c.client.Get("http://" + h.ip + ":7004/metrics")
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for _, line := range strings.Split(string(raw), "\n") {
			rest, ok := strings.CutPrefix(line, "catkinrun_requests_total")
			labels, value, _ := strings.Cut(rest, " ")
			var n int
			if _, err := fmt.Sscan(value, &n); ok && err == nil {
				sums[strings.ReplaceAll(labels, "\"", "")] += n
			}
		}
	}
	return sums
}
