package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
)

// announcementScript is a case of testdata/announcements.txt.
type announcementScript struct {
	name  string
	lines []scriptLine
}

type scriptLine struct {
	number  int
	command string
	words   []string
}

func readAnnouncementScripts(t *testing.T) []announcementScript {
	t.Helper()
	file, err := os.Open("testdata/announcements.txt")
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
	for _, script := range readAnnouncementScripts(t) {
		t.Run(script.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // nothing publishes the row, so that each change waits for it
				h := newAnnouncementHost()
				for _, line := range script.lines {
					h.play(t, line)
				}
			})
		})
	}
}

// announcementHost is a daemon that gets announcements and serves nothing else.
type announcementHost struct {
	daemon  *Daemon
	clock   *clock.Fake
	handler http.Handler
	version catkinrun.Version
}

func newAnnouncementHost() *announcementHost {
	now := clock.NewFake()
	journal := journaler.New(now, io.Discard, logrus.InfoLevel)
	d := &Daemon{
		settings: loader.Settings{Host: "h", Zone: "z", Service: "recipes", Times: loader.Times{Store: catkinrun.Duration(time.Second), Drain: catkinrun.Duration(2 * time.Second)}},
		clock:    now, leaseClock: now, journal: journal, log: journal.Logger(), metrics: metrics.NewSet(),
	}
	d.build()
	return &announcementHost{daemon: d, clock: now, handler: platform.AnnouncementHandler(d.registrar)}
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
		body := fmt.Sprintf(`{"service":%q,"address":"10.0.0.1:80","zone":"z","version":"v1","capacity":5,"state":%q,"cold_left":"0ms","seq":%s,"born":%s}`, words[1], state, words[3], words[2])
		if status, expected := h.post(words[0]+"/heartbeat", body), words[len(words)-1]; status != expected {
			fail("status %s, expected %s", status, expected)
		}
	case "send":
		if status := h.post(words[0]+"/heartbeat", strings.Join(words[2:], " ")); status != words[1] {
			fail("status %s, expected %s", status, words[1])
		}
	case "deregister":
		h.post(words[0]+"/deregister", "")
	case "wait":
		d, err := time.ParseDuration(words[0])
		if err != nil {
			fail("%v", err)
		}
		h.clock.Advance(d)
	case "unreachable":
		h.daemon.registrar.MarkDown(words[0], "connection refused")
	case "restore":
		if err := h.restore(words); err != nil {
			fail("%v", err)
		}
	case "expect":
		if got, expected := h.server(), strings.Join(words, " "); got != expected {
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
	_, err := h.daemon.configurer.Apply(data, "store")
	return err
}

func (h *announcementHost) restore(words []string) error {
	slots, err := strconv.Atoi(words[2])
	if err != nil {
		return err
	}
	start, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil {
		return err
	}
	row, err := json.Marshal(catkinrun.Member{Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "former", Server: &catkinrun.Server{ID: words[0], Service: words[1], Slots: slots, StartUnixMilli: start}})
	h.daemon.applyMembers(catkinrun.Page{Rows: []catkinrun.Row{{Key: locator.Key("h"), Value: row, Revision: 3}}, Revision: 3}, true)
	return err
}

func (h *announcementHost) post(path, body string) (status string) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/catkinrun/instances/"+path, strings.NewReader(body)))
	return strconv.Itoa(recorder.Code)
}

func (h *announcementHost) server() string {
	server, accepting := h.daemon.registrar.Server()
	switch {
	case server.ID == "":
		return "none"
	case accepting:
		return server.ID + " " + server.Service + " accepting"
	}
	return server.ID + " " + server.Service + " refusing"
}
