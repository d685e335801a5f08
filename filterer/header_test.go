package filterer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
)

func FuzzDecodeEnvelopeHeader(f *testing.F) {
	encoded, _ := encodeHeader(catkinrun.Envelope{Request: "r", TimeLeft: 1})
	for _, seed := range []string{"", "%", "AAAA", encoded, encoded[:len(encoded)-2]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var envelope catkinrun.Envelope
		err := decodeHeader(text, &envelope)
		if err == nil && envelope.Validate() != nil {
			t.Fatal("an invalid envelope was accepted")
		}
	})
}

func TestCallersCannotForgeHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{"X-Private": {"1"}, "X-Kept": {"1"}, "Connection": {"X-Private"}}
	for _, name := range []string{EnvelopeHeader, OutcomeHeader, ReasonHeader, "catkinrun-load"} {
		h.Set(name, "forged")
	}
	RemoveHopByHopHeaders(h)
	removeSystemHeaders(h)
	is.Equal(len(h), 1) // only X-Kept is left
}

func TestRefusalIsPassedBetweenDaemons(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	sent := refuseTemporarily(catkinrun.ReasonRejected, "the server is full").WithReached()
	sent.Load = 1.5
	setRefusalHeaders(recorder.Header(), sent, "r")
	writeRefusal(recorder, sent, "r")
	response := &catkinrun.Response{Status: recorder.Code, Header: recorder.Header(), Body: recorder.Body.Bytes()}
	got, refused := readRefusal(response)
	is.True(refused)
	is.Equal(got.Outcome, catkinrun.OutcomeNotRun)
	is.Equal(got.Reason, catkinrun.ReasonRejected)
	is.Equal(got.RetryAfter, 500*time.Millisecond)
	is.Equal(got.Load, 1.5)
	is.True(got.Reached)
}

func TestSplitterKeepsWeightsInEveryBatch(t *testing.T) {
	is := is.New(t)
	s := newTrafficSplitter()
	targets := []catkinrun.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	for range 5 {
		count := 0
		for range 100 {
			if s.choose("route", targets) == "b" {
				count++
			}
		}
		is.Equal(count, 10)
	}
}
