package replicator

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

// Ask is a pull: it reports what the sender and the hosts below it hold, and
// asks for what they lack.
type Ask struct {
	Host        string            `cbor:"host"`
	Zone        string            `cbor:"zone"`
	Incarnation string            `cbor:"incarnation"`
	Held        catkinrun.Version `cbor:"held"`
	Service     string            `cbor:"service"` // empty if no server is ready for new work
	Tallies     []Tally           `cbor:"tallies"` // hosts below the sender
}

// Validate checks a decoded message; it fails with *catkinrun.InvalidError.
func (a Ask) Validate() error {
	if a.Host == "" || a.Zone == "" || a.Incarnation == "" {
		return &catkinrun.InvalidError{Where: "pull", Field: "host", Reason: "host, zone and incarnation are needed"}
	}
	return validateTallies(a.Tallies)
}

// Answer brings the sender of an Ask up to date. Snapshot is set instead of
// Changes when the changes are no longer at hand.
type Answer struct {
	Changes  []catkinrun.Change      `cbor:"changes"`
	Snapshot *catkinrun.SnapshotData `cbor:"snapshot"`
	Version  catkinrun.Version       `cbor:"version"`
	Proven   bool                    `cbor:"proven"`
	ProofAge time.Duration           `cbor:"proof-age"` // valid if Proven
	Accepted catkinrun.Version       `cbor:"accepted"`
	Tallies  []Tally                 `cbor:"tallies"`
}

// Validate checks a decoded message; it fails with *catkinrun.InvalidError.
func (a Answer) Validate() error {
	for _, c := range a.Changes {
		if err := c.Validate(); err != nil {
			return err
		}
	}
	if a.ProofAge < 0 {
		return &catkinrun.InvalidError{Where: "answer", Field: "proof-age", Reason: "negative"}
	}
	return validateTallies(a.Tallies)
}

func validateTallies(tallies []Tally) error {
	for _, t := range tallies {
		if t.Age < 0 || t.Zone == "" {
			return &catkinrun.InvalidError{Where: "tally", Field: "age", Reason: "negative age or no zone"}
		}
	}
	return nil
}
