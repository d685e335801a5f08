package commander_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/commander"
	"github.com/catkinrun/catkinrun/daemon"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
	standin "github.com/catkinrun/catkinrun/standin/platform"
	"github.com/catkinrun/catkinrun/standin/responder"
)

// respond starts a server that gives one response to all requests, and returns its address.
func respond(t *testing.T, status, headers, body string) (address string) {
	t.Helper()
	response := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	server, err := responder.New(responder.Fixed(response), responder.KeepOpen, clock.System{})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return server.Address()
}

// TestCommandsDoNotBelieveInvalidResponsesOfTheStore has the store answer with a blank in the name of a header.
func TestCommandsDoNotBelieveInvalidResponsesOfTheStore(t *testing.T) {
	for headers, status := range map[string]int{"": 0, "X-Bad Name: x\r\n": 1} {
		is := is.New(t)
		var out bytes.Buffer
		address := respond(t, "200 OK", headers, `{"rows":[],"row_version":7}`)
		is.Equal(commander.Run([]string{"status", "--store", address}, &out, &out), status)
	}
}

// TestStatusDoesNotBelieveInvalidResponses has a daemon answer as it should, with a blank in the name of a header, and
// with a failure.
func TestStatusDoesNotBelieveInvalidResponses(t *testing.T) {
	for _, c := range []struct {
		status, headers string
		shown           string
	}{
		{"200 OK", "", "true"},
		{"200 OK", "X-Bad Name: x\r\n", "no answer"},
		{"500 Internal Server Error", "", "no answer"},
	} {
		t.Run(c.status+c.headers, func(t *testing.T) {
			is := is.New(t)
			store := httptest.NewServer(standin.New(clock.System{}, standin.Limits{}).Handler())
			defer store.Close()
			body, err := json.Marshal(daemon.Status{Host: "h", Version: 12, Ready: true})
			is.NoErr(err)
			row, err := json.Marshal(catkinrun.Member{Host: "h", Peer: "h", Operator: respond(t, c.status, c.headers, string(body))})
			is.NoErr(err)
			client := platform.NewStore(store.Listener.Addr().String(), http.DefaultClient, time.Second, discardLog())
			_, err = client.Commit(t.Context(), catkinrun.Transaction{Writes: []catkinrun.Write{{Table: locator.Table, Key: locator.Key("h"), Value: row}}})
			is.NoErr(err)
			var out bytes.Buffer
			is.Equal(commander.Run([]string{"status", "--store", store.Listener.Addr().String()}, &out, &out), 0)
			is.True(strings.Contains(out.String(), c.shown))
		})
	}
}
