package dialer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// majorVersion is the major version of HTTP in which requests are sent. Text that names another one is no
	// response to them (RFC 9110, section 2.5).
	majorVersion = 1
	// minStatus and maxStatus bound the status codes of final responses (RFC 9110, section 15). net/http skips interim ones,
	// but takes 101 for a final one and hands the connection over, so that reads no longer end with the request's
	// context. No request here asks for another protocol.
	minStatus = 200
	maxStatus = 599
	// maxQuoted is the number of characters of a name that an error quotes, since names may be as long as the head.
	maxQuoted = 40
)

// InvalidResponseError reports bytes that net/http takes for the head of a response and that HTTP does not allow.
type InvalidResponseError struct {
	Reason string
}

func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Reason }

// CheckedTransport is a transport that fails for invalid responses. What follows the head of one may be anything, so
// it closes the connection.
type CheckedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper. For an invalid response it fails with *InvalidResponseError.
func (t *CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, _, err := t.Send(request)
	return response, err
}

// Send is RoundTrip that also returns the tracker of the request's connection, for a failed request too.
func (t *CheckedTransport) Send(request *http.Request) (*http.Response, *Tracker, error) {
	tracker := &Tracker{}
	response, err := t.Transport.RoundTrip(request.WithContext(tracker.Trace(request.Context())))
	if err != nil {
		return nil, tracker, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close() // it is not used
		tracker.Close()           // also if the transport keeps it, as it does after a response without a body
		return nil, tracker, err
	}
	return response, tracker, nil
}

// check returns an *InvalidResponseError for an invalid head. A name with a blank is no name, and may hide a length or a
// coding that decides where the body ends.
func check(response *http.Response) error {
	if response.ProtoMajor != majorVersion {
		return &InvalidResponseError{Reason: "version " + response.Proto}
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &InvalidResponseError{Reason: fmt.Sprintf("status code %03d", response.StatusCode)}
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidResponseError{Reason: fmt.Sprintf("header name %.*q", maxQuoted, name)}
		}
	}
	return nil
}
