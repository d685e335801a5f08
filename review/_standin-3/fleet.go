package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is the store and the daemons of a case.
type fleet struct {
	record *record
	folder string // temporary
	store  string // address

	mu        sync.Mutex
	processes []*exec.Cmd
	closers   []func()
}

// host is one machine: a daemon and the addresses around it.
type host struct {
	name, zone, ip, service                            string
	caller, peer, announce, ready, operator, appServer string
	process                                            *exec.Cmd
	logFile                                            string
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, folder: folder}, nil
}

// end ends all processes that the case has started, by their ids.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.closers {
		c()
	}
	for _, p := range f.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// The ports that are used, below those that systems give to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddress returns an address with a free port.
func freeAddress(ip string) string {
	for {
		address := fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
}

func (f *fleet) start(logFile string, environment []string, name string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	c := exec.Command(name, arguments...)
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), environment...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	_ = log.Close()
	f.mu.Lock()
	f.processes = append(f.processes, c)
	f.mu.Unlock()
	return c, nil
}

// startStore starts the project's stand-in for the store.
func (f *fleet) startStore() error {
	f.store = freeAddress("127.0.0.1")
	if _, err := f.start(filepath.Join(f.folder, "store.log"), nil, "target/review-3", platformCommand, f.store); err != nil {
		return err
	}
	return waitFor(5*time.Second, "the store", func() bool {
		response, err := http.Get("http://" + f.store + "/catkinrun/rows-get?table=op&part=")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// newHost lays out a machine; index makes its address.
func (f *fleet) newHost(index int, zone, service string) *host {
	ip := fmt.Sprintf("127.0.31.%d", index)
	return &host{
		name: fmt.Sprintf("host-%d", index), zone: zone, ip: ip, service: service,
		caller: freeAddress(ip), peer: freeAddress(ip), announce: freeAddress(ip), ready: freeAddress(ip), operator: freeAddress(ip), appServer: freeAddress(ip),
		logFile: filepath.Join(f.folder, fmt.Sprintf("host-%d.log", index)),
	}
}

// startDaemon starts the daemon of a host with the command of the deploy file. storeAddress may be that of a proxy.
func (f *fleet) startDaemon(h *host, storeAddress string) error {
	settings := fmt.Sprintf(`host: %q
zone: %q
service: %q
server: %q
store: %q
listen:
  caller: %q
  peer: %q
  announce: %q
  ready: %q
  operator: %q
times:
  drain: "2000ms"
  stop: "6s"
retries: 48
memory: 284
files: 4100
`, h.name, h.zone, h.service, h.appServer, storeAddress, h.caller, h.peer, h.announce, h.ready, h.operator)
	file := filepath.Join(f.folder, h.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return err
	}
	process, err := f.start(h.logFile, []string{"CATKINRUN_SETTINGS=" + file}, "target/catkinrun", "daemon")
	if err != nil {
		return err
	}
	h.process = process
	f.record.note("daemon of %s started, process %d", h.name, process.Process.Pid)
	return nil
}

// isReady reports whether the platform's readiness check of a daemon succeeds.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/catkinrun/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the daemon of a host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.note("signal %v to the daemon of %s", s, h.name)
	_ = h.process.Process.Signal(s)
}

// storeRow is a row of the store on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"row_version,omitempty"`
}

// putRow writes a row, as the operator does.
func (f *fleet) putRow(table, key string, value []byte) error {
	body, err := json.Marshal(map[string]any{
		"precondition": []storeRow{}, "remove": []storeRow{},
		"put": []storeRow{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)}},
	})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+f.store+"/catkinrun/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("the store answered %d: %s", response.StatusCode, text)
	}
	return nil
}

// resource is one entry of the operator's configuration.
type resource struct {
	Type     string         `json:"type"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

func route(name, prefix, service, kind string, attempts int) resource {
	return resource{Type: "routes", Metadata: map[string]any{"name": name}, Spec: map[string]any{
		"host": domain, "prefix": prefix, "service": service, "kind": kind, "attempts": attempts,
		"timeout": "5000ms", "target_latency": "1500ms", "priority": 1, "public": true,
	}}
}

func service(name string) resource {
	return resource{Type: "services", Metadata: map[string]any{"name": name}, Spec: map[string]any{
		"health_path": "/health", "max_conns": 1228, "protocol": "h1", "tls": false,
	}}
}

func limits() resource {
	return resource{Type: "limits", Metadata: map[string]any{}, Spec: map[string]any{
		"max_header_bytes": 65536, "max_body_bytes": 67108864, "header_timeout": "10s", "idle_timeout": "60s",
	}}
}

// domain is the Host header of all requests.
const domain = "shop.example"

// configure writes the configuration.
func (f *fleet) configure(version int, resources ...resource) error {
	value, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		return err
	}
	f.record.note("operator writes configuration %d", version)
	return f.putRow("op", "config", value)
}

// onEnd has a function called at the end of the case.
func (f *fleet) onEnd(c func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, c)
}

var errTimeout = errors.New("not in time")

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, what string, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, errTimeout)
}
