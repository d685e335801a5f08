package filterer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/messenger"
)

func FuzzOpenEnvelope(f *testing.F) {
	sealed, _ := sealEnvelope(catkinrun.Envelope{Request: "r", Allowance: 1})
	for _, seed := range []string{"", "%", "AAAA", sealed, sealed[:len(sealed)-2]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		envelope, err := openEnvelope(text)
		if err == nil && envelope.Validate() != nil {
			t.Fatal("an invalid envelope was taken")
		}
	})
}

func TestCallersCannotForgeHeaders(t *testing.T) {
	is := is.New(t)
	request := httptest.NewRequest(http.MethodGet, "/stock", nil)
	for _, name := range []string{EnvelopeHeader, HandleHeader, OutcomeHeader, "catkinrun-level", messenger.FleetKeyHeader} {
		request.Header.Set(name, "forged")
	}
	request.Header.Set("Connection", "X-Private")
	request.Header.Set("X-Private", "1")
	request.Header.Set("X-Kept", "1")
	c, err := newCall(httptest.NewRecorder(), request)
	is.NoErr(err)
	dropOwnHeaders(c.Header)
	is.Equal(len(c.Header), 1) // only X-Kept is left
}

func TestPeersNeedTheFleetKey(t *testing.T) {
	is := is.New(t)
	g := &Gateway{fleetKey: "right", jitter: func() float64 { return 0 }}
	reached := 0
	handler := g.Guard(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get(messenger.FleetKeyHeader), "") // goes no further
		reached++
	}))
	for _, key := range []string{"", "wrong", "right"} {
		request := httptest.NewRequest(http.MethodPost, "/catkinrun.peer/pull", nil)
		request.Header.Set(messenger.FleetKeyHeader, key)
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
	is.Equal(reached, 1)
}

func TestRefusalSurvivesTheHop(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	sent := refuseLater(catkinrun.ReasonOverload, "full").WithLevel(1950)
	writeRefusal(recorder, sent, "request", func() float64 { return 0 })
	answer := &catkinrun.Answer{Status: recorder.Code, Header: recorder.Header(), Body: recorder.Body.Bytes()}
	got, ok := readRefusal(answer)
	is.True(ok)
	is.Equal(got.Reason, catkinrun.ReasonOverload)
	is.Equal(got.Outcome, catkinrun.NotRun)
	is.Equal(got.Level, 1950)
}

func TestOutcomeThatIsNotKnownIsUnknown(t *testing.T) {
	is := is.New(t)
	answer := &catkinrun.Answer{Header: http.Header{OutcomeHeader: {"maybe"}}}
	got, ok := readRefusal(answer)
	is.True(ok)
	is.Equal(got.Outcome, catkinrun.Unknown) // never taken for not-run
}
