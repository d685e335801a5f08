package platform

import (
	"net/http"
	"net/http/httptest"
)

// Client returns an HTTP client whose calls the store handles in the caller's goroutine, without a
// network.
func (s *Store) Client() *http.Client { return &http.Client{Transport: transport{s.Handler()}} }

// transport is a http.RoundTripper that calls a handler.
type transport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	r = r.Clone(r.Context())
	r.RemoteAddr = "127.0.0.1:1"
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
