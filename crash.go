package catkinrun

import "slices"

// Crash names the requests that a server was running when it ended.
type Crash struct {
	Server   string       `json:"server" cbor:"server"` // start of the server
	Requests Fingerprints `json:"requests" cbor:"requests"`
}

// CrashReport is what one daemon has seen of the server beside it.
type CrashReport struct {
	Host    string       `json:"-" cbor:"host"`
	Crashes []Crash      `json:"crashes,omitempty" cbor:"crashes"` // of the last minutes
	Refused Fingerprints `json:"refused,omitempty" cbor:"refused"` // requests that are refused for long
}

// SameReport reports whether two reports of a host state the same.
func (r CrashReport) SameReport(other CrashReport) bool {
	return slices.EqualFunc(r.Crashes, other.Crashes, Crash.Equal) && slices.Equal(r.Refused, other.Refused)
}

// Equal reports whether two crashes are of the same start of a server, and name the same requests.
func (c Crash) Equal(other Crash) bool {
	return c.Server == other.Server && slices.Equal(c.Requests, other.Requests)
}
