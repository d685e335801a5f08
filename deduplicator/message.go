package deduplicator

import (
	"net/http"

	"github.com/catkinrun/catkinrun"
)

const (
	// ClaimProcedure is the peer call that carries a Claim.
	ClaimProcedure = "/catkinrun.peer/claim"
	// SyncProcedure is the peer call that carries a Sync.
	SyncProcedure = "/catkinrun.peer/sync"
)

// State is how far a request is.
type State string

// The states of a record.
const (
	Claimed State = "claimed" // may be running
	Done    State = "done"    // answered; the answer is in the record if it was small
	Dropped State = "dropped" // proven not run
)

// Record is what holders know of one key.
type Record struct {
	Key     string      `cbor:"key"`
	Request string      `cbor:"request"` // request id of the claim
	Digest  string      `cbor:"digest"`  // of method, path and body
	State   State       `cbor:"state"`
	Status  int         `cbor:"status"` // HTTP status; 0 if the answer was too large to keep
	Header  http.Header `cbor:"header"`
	Body    []byte      `cbor:"body"`
	AgeMS   int64       `cbor:"age-ms"`
}

// Claim asks a holder to keep a record, in the owner's view of the service.
type Claim struct {
	Service string            `cbor:"service"`
	View    catkinrun.Version `cbor:"view"`
	Record  Record            `cbor:"record"`
}

// Validate checks a decoded claim; it fails with *catkinrun.InvalidError.
func (c Claim) Validate() error {
	if c.Service == "" || c.Record.Key == "" || c.Record.Request == "" {
		return &catkinrun.InvalidError{Where: "claim", Field: "key", Reason: "service, key and request are needed"}
	}
	return nil
}

// ClaimAnswer says whether the holder keeps the record.
type ClaimAnswer struct {
	Held bool `cbor:"held"`
}

// Sync asks for the records which a host holds in a new view. The host that
// answers it refuses claims of older views from then on.
type Sync struct {
	Service  string            `cbor:"service"`
	View     catkinrun.Version `cbor:"view"`
	Previous catkinrun.Version `cbor:"previous"` // the view before
	Host     string            `cbor:"host"`
	Hosts    []string          `cbor:"hosts"` // of the new view
}

// Validate checks a decoded sync; it fails with *catkinrun.InvalidError.
func (s Sync) Validate() error {
	if s.Service == "" || s.Host == "" {
		return &catkinrun.InvalidError{Where: "sync", Field: "host", Reason: "service and host are needed"}
	}
	return nil
}

// SyncAnswer brings the records, if the host that answers knows all of its own in
// the view before.
type SyncAnswer struct {
	Complete bool     `cbor:"complete"`
	Records  []Record `cbor:"records"`
}
