package catkinrun

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
