package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/locator"
)

// TestRequestsBearTheServiceOfTheirHost sends requests of callers on a host whose settings name the service recipes, in the
// moments in which its daemon may have recorded another server than the one beside it. Servers once ran such requests
// as those of another service.
func TestRequestsBearTheServiceOfTheirHost(t *testing.T) {
	playAnnouncementScripts(t, "callers.txt")
}

const (
	calledHostName = "called"
	calledService  = "payments"
	calledDomain   = "shop.example"
	calledPath     = "/payments/1"
	// turnInterval is the time between two announcements of one server.
	turnInterval = 1500 * time.Millisecond
	// firstTurn is above the sequence numbers that the scripts name.
	firstTurn = 100
)

// calledRoute returns the route of the requests that announcementHost sends.
func calledRoute() catkinrun.Resource {
	return catkinrun.Resource{Kind: catkinrun.KindRoute, Name: "pay", Route: &catkinrun.Route{
		Domain: calledDomain, Prefix: "/payments/", Targets: []catkinrun.Target{{Service: calledService, Weight: 1}},
		Idempotent: true, Timeout: catkinrun.Duration(time.Minute), Attempts: 1,
	}}
}

// calledHost is a host whose server runs the requests, with a daemon of its own. It records the caller's service that
// they bear.
type calledHost struct {
	daemon  *Daemon
	row     []byte
	callers chan string
}

func newCalledHost(t *testing.T) *calledHost {
	t.Helper()
	is := is.New(t)
	c := &calledHost{callers: make(chan string, 1)}
	server := httptest.NewServer(http.HandlerFunc(c.run))
	t.Cleanup(server.Close)
	c.daemon, _ = newIdleDaemonAt(calledHostName, calledService, strings.TrimPrefix(server.URL, "http://"))
	peer := httptest.NewServer(http.HandlerFunc(c.servePeer))
	t.Cleanup(peer.Close)
	self := catkinrun.Server{ID: "i-called", Service: calledService, Slots: 5, StartUnixMilli: 1}
	_, err := c.daemon.registrar.RecordAnnouncement(self)
	is.NoErr(err)
	c.row, err = json.Marshal(catkinrun.Member{Host: calledHostName, Zone: "z", Peer: strings.TrimPrefix(peer.URL, "http://"), Incarnation: "n", Server: &self})
	is.NoErr(err)
	return c
}

// run is the server of the host.
func (c *calledHost) run(w http.ResponseWriter, r *http.Request) {
	c.callers <- r.Header.Get("X-Caller-Service")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "s")
}

// servePeer serves requests of other daemons, each on a connection of its own: an idle one would outlast the bubble.
func (c *calledHost) servePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	c.daemon.gateway.PeerHandler().ServeHTTP(w, r)
}

// request sends a request of a caller on the host. It returns the caller's service that the server got, or why it got none.
func (h *announcementHost) request(t *testing.T) (caller string) {
	t.Helper()
	revision := max(catkinrun.NewRevision(h.era, 4), h.daemon.locator.Revision()) // later than a listing that lacks the row
	row := catkinrun.Row{Key: locator.Key(calledHostName), Value: h.called.row, Revision: revision}
	h.daemon.locator.Apply(catkinrun.Page{Rows: []catkinrun.Row{row}, Revision: revision}, false)
	r := httptest.NewRequest(http.MethodGet, "http://"+calledDomain+calledPath, nil)
	r.RequestURI = calledPath
	r.Header.Set("X-Request-Id", "id-1")
	r.Header.Set("X-Deadline-Ms", "60000")
	r.Header.Set("X-Caller-Service", "forged")
	w := httptest.NewRecorder()
	h.daemon.gateway.CallerHandler().ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Fatalf("the request got status %d, %s", w.Code, w.Body)
	}
	return <-h.called.callers
}

// takeTurns has servers announce themselves in turn for some time, each at the usual interval. After each
// announcement it sends a request.
func (h *announcementHost) takeTurns(t *testing.T, line scriptLine) error {
	t.Helper()
	expected, servers := line.words[1], line.words[2:]
	duration, err := time.ParseDuration(line.words[0])
	if err != nil || len(servers)%3 != 0 {
		return fmt.Errorf("expected a time, a service and servers: %w", err)
	}
	sent, wrong, last := 0, 0, ""
	for passed := time.Duration(0); passed < duration; passed += turnInterval {
		for i := 0; i < len(servers); i += 3 {
			id, service, start := servers[i], servers[i+1], servers[i+2]
			h.sequences[id+"@"+start]++
			h.announce(id, service, start, strconv.Itoa(firstTurn+h.sequences[id+"@"+start]), "ready")
			sent++
			if got := h.request(t); got != expected {
				wrong, last = wrong+1, got
			}
			h.clock.Advance(turnInterval * 3 / time.Duration(len(servers)))
		}
	}
	if wrong > 0 {
		t.Errorf("line %d: %d of %d requests do not bear %s, the last one bears %s", line.number, wrong, sent, expected, last)
	}
	return nil
}
