package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
	"github.com/catkinrun/catkinrun/prober"
)

// announcementScript is a case of a file in testdata.
type announcementScript struct {
	name  string
	lines []scriptLine
}

type scriptLine struct {
	number  int
	command string
	words   []string
}

func readAnnouncementScripts(t *testing.T, name string) []announcementScript {
	t.Helper()
	file, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var scripts []announcementScript
	scanner := bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		name, isName := strings.CutPrefix(line, "case: ")
		switch {
		case line == "" || line[0] == '#':
		case isName:
			scripts = append(scripts, announcementScript{name: name})
		default:
			words := strings.Fields(line)
			last := &scripts[len(scripts)-1]
			last.lines = append(last.lines, scriptLine{number: number, command: words[0], words: words[1:]})
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return scripts
}

// TestForeignAnnouncementsReplaceNoServer plays announcements of the server beside a daemon and of other writers, which
// once replaced that server for good.
func TestForeignAnnouncementsReplaceNoServer(t *testing.T) {
	playAnnouncementScripts(t, "announcements.txt")
}

// TestRestartedDaemonAsksItsServerWhetherItLeaves restarts daemons that have acknowledged that their servers are leaving, which
// the store does not know. Their servers once got requests again, which were lost when they exited.
func TestRestartedDaemonAsksItsServerWhetherItLeaves(t *testing.T) {
	playAnnouncementScripts(t, "restarts.txt")
}

func playAnnouncementScripts(t *testing.T, name string) {
	t.Helper()
	for _, script := range readAnnouncementScripts(t, name) {
		t.Run(script.name, func(t *testing.T) {
			// Outside of the bubble, whose goroutines must end with the script.
			called := newCalledHost(t)
			synctest.Test(t, func(t *testing.T) { // nothing publishes the row, so that each change waits for it
				h := newAnnouncementHost()
				h.called = called
				for _, line := range script.lines {
					h.play(t, line)
				}
			})
		})
	}
}

// announcementHost is a daemon that gets announcements and requests of callers on its host. It serves nothing else.
type announcementHost struct {
	daemon    *Daemon
	clock     *clock.Fake
	handler   http.Handler
	version   catkinrun.Version
	server    *checkedServer
	checks    *prober.Prober
	called    *calledHost
	era       uint64         // of the store
	sequences map[string]int // of the last announcement in turn, by the start of the server
}

// checkedServer answers health checks as words of a script say. It implements http.RoundTripper.
type checkedServer struct {
	answer []string
	checks int
}

// RoundTrip implements http.RoundTripper.
func (s *checkedServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.checks++
	switch s.answer[0] {
	case "refused":
		return nil, &os.SyscallError{Syscall: "connect", Err: syscall.ECONNREFUSED}
	case "silent":
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	recorder := httptest.NewRecorder()
	if s.answer[0] != "-" {
		recorder.Header().Set("X-Instance-Id", s.answer[0])
	}
	if len(s.answer) > 2 {
		recorder.Header().Set("Server-Leaving", "1")
	}
	status, err := strconv.Atoi(s.answer[1])
	recorder.WriteHeader(status)
	return recorder.Result(), err
}

func newAnnouncementHost() *announcementHost {
	d, now := newIdleDaemon("recipes")
	server := &checkedServer{answer: []string{"silent"}}
	checks := prober.New(d.registrar, d.configurer, &http.Client{Transport: server}, platform.HeaderCodec{}, "10.0.0.1:80", now, d.log)
	return &announcementHost{daemon: d, clock: now, handler: platform.AnnouncementHandler(d.registrar), server: server, checks: checks, sequences: make(map[string]int)}
}

func (h *announcementHost) play(t *testing.T, line scriptLine) {
	t.Helper()
	fail := func(format string, values ...any) {
		t.Fatalf("line %d: "+format, append([]any{line.number}, values...)...)
	}
	words := line.words
	switch line.command {
	case "configure":
		if err := h.configure(words); err != nil {
			fail("%v", err)
		}
	case "announce":
		state := "ready"
		if len(words) == 6 {
			state = words[4]
		}
		if status, expected := h.announce(words[0], words[1], words[2], words[3], state), words[len(words)-1]; expected != "any" && status != expected {
			fail("status %s, expected %s", status, expected)
		}
	case "send":
		if status := h.post(words[0]+"/heartbeat", strings.Join(words[2:], " ")); status != words[1] {
			fail("status %s, expected %s", status, words[1])
		}
	case "deregister":
		body := ""
		if len(words) > 1 {
			body = fmt.Sprintf(`{"born":%s}`, words[1])
		}
		h.post(words[0]+"/deregister", body)
	case "wait":
		d, err := time.ParseDuration(words[0])
		if err != nil {
			fail("%v", err)
		}
		h.clock.Advance(d)
	case "settings":
		h.daemon.registrar.SetService(words[0])
	case "unreachable":
		h.daemon.registrar.MarkDown(words[0], "connection refused")
	case "restore":
		if err := h.restore(words); err != nil {
			fail("%v", err)
		}
	case "backup":
		h.era++
		if err := h.restore(words); err != nil {
			fail("%v", err)
		}
	case "caller":
		if got, expected := h.request(t), words[0]; got != expected {
			t.Errorf("line %d: the request bears %s, expected %s", line.number, got, expected) // the later ones are stated too
		}
	case "turns":
		if err := h.takeTurns(t, line); err != nil {
			fail("%v", err)
		}
	case "health":
		h.server.answer = words
	case "check":
		h.check(t)
	case "checks":
		if got := strconv.Itoa(h.server.checks); got != words[0] {
			fail("%s health checks, expected %s", got, words[0])
		}
	case "expect":
		if got, expected := h.state(), strings.Join(words, " "); got != expected {
			fail("server is %s, expected %s", got, expected)
		}
	default:
		fail("unknown command %s", line.command)
	}
}

func (h *announcementHost) configure(services []string) error {
	h.version++
	data := catkinrun.SnapshotData{Version: h.version}
	for _, name := range services {
		data.Resources = append(data.Resources, catkinrun.Resource{Kind: catkinrun.KindService, Name: name, Service: &catkinrun.Service{Health: "/health", MaxConnections: 9}})
	}
	data.Resources = append(data.Resources, calledRoute())
	if _, err := h.called.daemon.configurer.Apply(data, "store"); err != nil {
		return err
	}
	_, err := h.daemon.configurer.Apply(data, "store")
	return err
}

func (h *announcementHost) restore(words []string) error {
	member := catkinrun.Member{Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "former"}
	if words[0] != "none" {
		slots, err := strconv.Atoi(words[2])
		if err != nil {
			return err
		}
		start, err := strconv.ParseInt(words[3], 10, 64)
		if err != nil {
			return err
		}
		member.Server = &catkinrun.Server{ID: words[0], Service: words[1], Slots: slots, StartUnixMilli: start, Draining: len(words) > 4}
	}
	row, err := json.Marshal(member)
	revision := catkinrun.NewRevision(h.era, 3)
	h.daemon.applyMembers(catkinrun.Page{Rows: []catkinrun.Row{{Key: locator.Key("h"), Value: row, Revision: revision}}, Revision: revision}, true)
	return err
}

func (h *announcementHost) announce(id, service, start, sequence, state string) (status string) {
	return h.post(id+"/heartbeat", fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:80","zone":"z","version":"v1","capacity":5,"state":%q,"cold_left":"0ms","seq":%s,"born":%s}`,
		service, state, sequence, start))
}

func (h *announcementHost) post(path, body string) (status string) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/catkinrun/instances/"+path, strings.NewReader(body)))
	return strconv.Itoa(recorder.Code)
}

// check makes the health checks that are due.
func (h *announcementHost) check(t *testing.T) {
	select {
	case server := <-h.daemon.registrar.Unchecked():
		h.checks.Check(t.Context(), server)
	default:
	}
}

func (h *announcementHost) state() string {
	server, accepting := h.daemon.registrar.Server()
	switch {
	case server.ID == "":
		return "none"
	case accepting:
		return server.ID + " " + server.Service + " accepting"
	}
	return server.ID + " " + server.Service + " refusing"
}
