package operator

import (
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/replicator"
)

// ChangeRequest asks for a change. ID makes the request idempotent; the server
// makes one if it is empty.
type ChangeRequest struct {
	ID        string               `json:"id,omitempty"`
	Mutations []catkinrun.Mutation `json:"mutations"`
}

// KeyRequest asks for a new key of a team.
type KeyRequest struct {
	Name string `json:"name"`
	Team string `json:"team"`
}

// KeyAnswer shows a new key's secret, for the only time.
type KeyAnswer struct {
	Name    string            `json:"name"`
	Team    string            `json:"team"`
	Secret  string            `json:"secret"`
	Version catkinrun.Version `json:"version"`
}

// Stage is how far a change has come.
type Stage string

// The stages of a change.
const (
	Committed Stage = "committed" // in the log
	Accepted  Stage = "accepted"  // no daemon will serve an older version for long
	InForce   Stage = "in-force"  // held by every host that was heard lately
)

// Progress is one line of a watch.
type Progress struct {
	Version catkinrun.Version `json:"version"`
	Stage   Stage             `json:"stage"`
	Lagging []string          `json:"lagging,omitempty"` // hosts heard lately that hold less
	Silent  []string          `json:"silent,omitempty"`  // hosts not heard lately
}

// Status is one daemon's view of the system.
type Status struct {
	Host        string                  `json:"host"`
	Zone        string                  `json:"zone"`
	Incarnation string                  `json:"incarnation"`
	Version     catkinrun.Version       `json:"version"`
	Accepted    catkinrun.Version       `json:"accepted"`
	Current     bool                    `json:"current"`
	ProofAge    string                  `json:"proof-age"`
	Level       int                     `json:"level"`
	Load        float64                 `json:"load"`
	Running     int                     `json:"running"`
	Records     int                     `json:"records"`
	Hosts       []replicator.Status     `json:"hosts"`
	Shares      map[string]broker.Share `json:"shares"`      // held here, by team
	Outstanding map[string]broker.Share `json:"outstanding"` // granted here, by team
}

// Explanation says what would happen to a request now.
type Explanation struct {
	Route    string   `json:"route"`
	Service  string   `json:"service"`
	Priority string   `json:"priority"`
	Level    int      `json:"level"`
	Ready    []string `json:"ready"` // hosts
	Verdict  string   `json:"verdict"`
	Why      []string `json:"why"`
}

// Problem is the body of a failed call.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// watchStep is the time between two looks at a change's progress.
const watchStep = 50 * time.Millisecond
