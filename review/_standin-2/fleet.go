package main

import (
	"bytes"
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
	"time"
)

// Ports of a host; each host has an address of its own.
const (
	callerPort   = "7001"
	announcePort = "7002"
	peerPort     = "7003"
	operatorPort = "7004"
	serverPort   = "7005"
	readyPort    = "7006"
)

const domain = "shop.example"

// hostSpec describes a host to start.
type hostSpec struct {
	name, zone, service string
}

// host is one machine: the daemon's process and the server beside it.
type host struct {
	hostSpec
	ip       string
	store    *proxy // between the daemon and the store
	settings string // file
	log      string // file
	server   *server

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (h *host) callerURL() string { return "http://" + h.ip + ":" + callerPort }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir    string
	record *record
	store  string // address of the store
	hosts  []*host

	mu        sync.Mutex
	processes []*exec.Cmd
}

// newFleet starts the store. Errors end the program with status 2, since the case could not run.
func newFleet(r *record) *fleet {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	f := &fleet{dir: dir, record: r}
	f.store = freeAddress()
	f.start("target/catkinrun-standin", filepath.Join(dir, "store.log"), nil, "platform", "--listen", f.store, "--writes", "400")
	f.await("the store", func() bool {
		conn, err := net.DialTimeout("tcp", f.store, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
	return f
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// freeHostAddress returns a loopback address on which all ports of a host are free.
func freeHostAddress(n int) string {
	for i := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, 1+i, 1+n)
		if portsFree(ip) {
			return ip
		}
	}
	fail(2, "no free loopback address")
	return ""
}

func portsFree(ip string) bool {
	for _, port := range []string{callerPort, announcePort, peerPort, operatorPort, serverPort, readyPort} {
		l, err := net.Listen("tcp", ip+":"+port)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts a process that ends with this one.
func (f *fleet) start(program, log string, env []string, args ...string) *exec.Cmd {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr, command.Env = out, out, append(os.Environ(), env...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	f.mu.Lock()
	f.processes = append(f.processes, command)
	f.mu.Unlock()
	return command
}

// addHost adds a host, without starting anything on it.
func (f *fleet) addHost(s hostSpec) *host {
	h := &host{hostSpec: s, ip: freeHostAddress(len(f.hosts))}
	h.store = newProxy(f.store)
	h.settings, h.log = filepath.Join(f.dir, s.name+".yaml"), filepath.Join(f.dir, s.name+".log")
	check(os.WriteFile(h.settings, []byte(fmt.Sprintf(`host: "%s"
zone: "%s"
service: "%s"
server: "%s:%s"
store: "%s"
listen:
  caller: "%s:%s"
  peer: "%s:%s"
  announce: "%s:%s"
  ready: "%s:%s"
  operator: "%s:%s"
times:
  drain: "2000ms"
  stop: "6s"
retries: 48
memory: 284
files: 4100
`, s.name, s.zone, s.service, h.ip, serverPort, h.store.address, h.ip, callerPort, h.ip, peerPort, h.ip, announcePort, h.ip, readyPort, h.ip, operatorPort)), 0o644))
	f.hosts = append(f.hosts, h)
	return h
}

// startDaemon starts the daemon with the command of the deploy file.
func (f *fleet) startDaemon(h *host) {
	command := f.start("target/catkinrun", h.log, []string{"CATKINRUN_SETTINGS=" + h.settings}, "daemon")
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = command, ended
	h.mu.Unlock()
	go func() { _ = command.Wait(); close(ended) }()
}

// signal sends a signal to a host's daemon.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.server != nil {
			h.server.close()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", f.dir)
	}
}

// await waits until a condition holds, and gives up the case otherwise.
func (f *fleet) await(what string, holds func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.stop()
	fail(2, "not reached in time: "+what)
}

func (h *host) ready() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ip + ":" + readyPort + "/catkinrun/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// status is what a daemon reports to operators.
type status struct {
	Running int `json:"running"`
	Members []struct {
		Server *struct{} `json:"server"`
	} `json:"members"`
}

func (h *host) status() (s status) {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.ip + ":" + operatorPort + "/v1/status")
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&s) // an empty status if it cannot be read
	return s
}

// running returns the number of requests that a daemon counts as running.
func (h *host) running() int { return h.status().Running }

// serving returns the number of servers that a daemon lists.
func (h *host) serving() int {
	count := 0
	for _, m := range h.status().Members {
		if m.Server != nil {
			count++
		}
	}
	return count
}

// configure writes a configuration as the operator does and returns when the store has acknowledged it.
func (f *fleet) configure(version int, resources []any) time.Time {
	value, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	check(err)
	body, err := json.Marshal(map[string]any{
		"precondition": []any{}, "remove": []any{},
		"put": []any{map[string]any{"table": "op", "part": "", "key": "config", "value": value}},
	})
	check(err)
	response, err := http.Post("http://"+f.store+"/catkinrun/rows-tx", "application/json", bytes.NewReader(body))
	check(err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		fail(2, "the store refused the configuration: "+response.Status)
	}
	now := time.Now()
	f.record.add("config", fmt.Sprintf("version %08x acknowledged", version))
	return now
}

// startAll starts all daemons and servers, writes the configuration, and waits until every daemon knows all
// servers.
func (f *fleet) startAll(resources []any, newServer func(h *host) *server) {
	for _, h := range f.hosts {
		f.startDaemon(h)
	}
	f.configure(1, resources)
	for _, h := range f.hosts {
		h.server = newServer(h)
		h.server.open()
	}
	for _, h := range f.hosts {
		f.await("readiness of "+h.name, h.ready)
		f.await("members at "+h.name, func() bool { return h.serving() == len(f.hosts) })
	}
	time.Sleep(3500 * time.Millisecond) // contact
}

func route(name, prefix, kind, timeout string, attempts int, public bool, service string) any {
	return map[string]any{"type": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": domain, "prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "1500ms", "priority": 1,
		"service": service, "attempts": attempts, "public": public,
	}}
}

func service(name string) any {
	return map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"health_path": "/health", "max_conns": 1228, "protocol": "h1", "tls": false,
	}}
}

func tenant(name, key string, perSecond, burst float64) any {
	return map[string]any{"type": "tenants", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"keys": []string{key}, "priority": 1, "per_s": perSecond, "burst": burst,
	}}
}

func limits() any {
	return map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
	}}
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f %-8s %s", time.Since(r.start).Seconds(), kind, text))
}

func (r *record) write(file string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	check(os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644))
}

// proxy passes the connections of a daemon to the store, until it is cut: then it passes nothing, in either
// direction, and keeps connections open.
type proxy struct {
	target, address string

	mu    sync.Mutex
	isCut bool
	wait  chan struct{} // closed when a cut ends
	onGet func(line string)
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{target: target, address: l.Addr().String(), wait: make(chan struct{})}
	close(p.wait)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) cut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isCut == p.isCut {
		return
	}
	p.isCut = isCut
	if isCut {
		p.wait = make(chan struct{})
	} else {
		close(p.wait)
	}
}

func (p *proxy) open() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wait
}

func (p *proxy) serve(conn net.Conn) {
	<-p.open()
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go p.pipe(store, conn, true)
	p.pipe(conn, store, false)
}

func (p *proxy) pipe(to, from net.Conn, observed bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		<-p.open()
		if n > 0 {
			p.mu.Lock()
			onGet := p.onGet
			p.mu.Unlock()
			if observed && onGet != nil {
				line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
				onGet(line)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func check(err error) {
	if err != nil {
		fail(2, err.Error())
	}
}

func fail(status int, text string) {
	fmt.Fprintln(os.Stderr, "review-2:", text)
	os.Exit(status)
}
