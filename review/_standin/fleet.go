package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The bounds of a small deployment.
const (
	contact     = 3 * time.Second
	drain       = 2 * time.Second
	configApply = 2 * time.Second
	skewMax     = 5 * time.Second
)

// domain is the Host header of all routes.
const domain = "shop.example"

// host is a machine with a daemon and a server.
type host struct {
	name, service, zone string
	ip                  string
	app                 string // address of the server
	outbound            string
	peer, control       string
	ready, operator     string
	store               *entrance
	settings            string
	process             *exec.Cmd
	ended               chan struct{}
	client              *http.Client
}

var (
	workDir string
	hosts   []*host
)

// subnet returns the prefix of this run's loopback addresses, so that runs at the same time do not meet.
func subnet() string { return fmt.Sprintf("127.%d.%d.", 64+os.Getpid()/250%128, os.Getpid()%250) }

// freeAddresses returns free ports of a loopback address that nothing else uses.
func freeAddresses(ip string, list ...*string) {
	for _, address := range list {
		socket, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no free port: %v", err)
		}
		defer func() { _ = socket.Close() }() // all are open at once, so that they differ
		*address = socket.Addr().String()
	}
}

func newHost(name, zone, service string, s *store) *host {
	ip := subnet() + strconv.Itoa(len(hosts)+1)
	h := &host{name: name, zone: zone, service: service, ip: ip, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	freeAddresses(ip, &h.app, &h.outbound, &h.peer, &h.control, &h.ready, &h.operator)
	h.store = s.open(subnet() + strconv.Itoa(len(hosts)+101))
	h.settings = filepath.Join(workDir, name+".yaml")
	text := fmt.Sprintf(`host: %q
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
`, name, zone, service, h.app, h.store.address, h.outbound, h.peer, h.control, h.ready, h.operator)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	hosts = append(hosts, h)
	return h
}

// start starts the host's daemon with the command of the deploy file.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(workDir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	h.process = exec.Command("target/catkinrun", "daemon")
	h.process.Env = append(os.Environ(), "CATKINRUN_SETTINGS="+h.settings)
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		fail("daemon: %v (run the build of the deploy file first)", err)
	}
	h.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}(h.process, h.ended)
	record("daemon  host=%s started", h.name)
}

func (h *host) signal(s syscall.Signal) {
	_ = h.process.Process.Signal(s)
	record("daemon  host=%s signal=%s", h.name, s)
}

// kill ends the daemon with SIGKILL and waits until it has ended.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// awaitReady waits until the daemons answer their readiness check with 200.
func awaitReady(timeout time.Duration, list ...*host) {
	end := time.Now().Add(timeout)
	for _, h := range list {
		for {
			response, err := http.Get("http://" + h.ready + "/catkinrun/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				log, _ := os.ReadFile(filepath.Join(workDir, h.name+".log"))
				fail("host %s is not ready: %s", h.name, log[max(0, len(log)-500):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stopAll ends all processes that were started.
func stopAll() {
	for _, h := range hosts {
		if h.process == nil {
			continue
		}
		select {
		case <-h.ended:
		default:
			_ = h.process.Process.Kill()
			<-h.ended
		}
	}
}

// answer is what a client has got for a request.
type answer struct {
	sentAt time.Time
	status int
	signed bool
	bytes  int
	err    error
}

// send sends a request of a client of the host to its daemon.
func (h *host) send(id, method, path, key string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.outbound+path, strings.NewReader(""))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = domain
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	a := answer{sentAt: time.Now()}
	record("sent    id=%s host=%s %s %s", id, h.name, method, path)
	response, err := h.client.Do(request)
	if err != nil {
		a.err = err
		record("answer  id=%s none: %v", id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status, a.signed, a.bytes, a.err = response.StatusCode, response.Header.Get("X-Response-Signature") != "", len(body), err
	detail := ""
	if !a.signed {
		detail = " " + strings.TrimSpace(string(body))
	}
	record("answer  id=%s status=%d signed=%t bytes=%d%s", id, a.status, a.signed, a.bytes, detail)
	return a
}

// route returns a route of the configuration.
func route(name, prefix, kind, service, timeout string, public bool) any {
	return map[string]any{"type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": domain, "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "1500ms", "priority": 0,
		"service": service, "attempts": 2, "public": public,
	}}
}

func service(name string) any {
	return map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"health_path": "/health", "max_conns": 500, "protocol": "h1",
	}}
}

func tenant(name string, keys ...string) any {
	return map[string]any{"type": "tenants", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"keys": keys, "per_s": 100, "burst": 100,
	}}
}

func limits() any {
	return map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "5s", "idle_timeout": "20s",
	}}
}
