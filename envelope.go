package catkinrun

import (
	"math"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"
)

// Outcome states whether a refused request may have run on a backend server.
type Outcome string

// The outcomes of a request without a complete response.
const (
	// OutcomeNotRun guarantees that no backend server has processed the request or ever will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run: at most once, unless its route is
	// idempotent.
	OutcomeUnknown Outcome = "unknown"
)

// Reason names the cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonKey         Reason = "key"         // no key, or an unknown or withdrawn one
	ReasonRoute       Reason = "route"       // no route matches
	ReasonRate        Reason = "rate"        // the team is above its rate
	ReasonStale       Reason = "stale"       // the daemon has no configuration, or a newer one forbids the request
	ReasonOverload    Reason = "overload"    // shed by the serving daemon, or by the entry daemon under pressure
	ReasonDeadline    Reason = "deadline"    // the deadline has passed or is too close
	ReasonNoServer    Reason = "no-server"   // no backend server is ready
	ReasonBudget      Reason = "budget"      // the server's retry budget does not allow the retry
	ReasonLeaving     Reason = "leaving"     // the daemon or its backend server accepts no new requests
	ReasonRejected    Reason = "rejected"    // the backend server rejected the request without running it
	ReasonUnreachable Reason = "unreachable" // the host could not be reached
	ReasonClosed      Reason = "closed"      // no process listens at the address
	ReasonLocal       Reason = "local"       // this daemon is out of file descriptors or local ports
	ReasonBroken      Reason = "broken"      // the response was cut off or was not the server's own
	ReasonCrash       Reason = "crash"       // servers have ended while they ran the request
	ReasonBadRequest  Reason = "bad-request" // malformed or over a limit
)

// Priority orders requests under overload: 0 is the most urgent.
type Priority int

// PriorityCount is the number of priorities that are distinguished, for teams and for
// routes alike; higher numbers count as the last one.
const PriorityCount = 6

// UnmarshalYAML reads a priority; the error for an invalid one names its line.
func (p *Priority) UnmarshalYAML(node *yaml.Node) error {
	n, err := strconv.Atoi(node.Value)
	if err != nil || n < 0 {
		return atLine(node, &InvalidError{Where: "priority", Field: node.Value, Reason: "expected an integer of at least 0, where 0 is the most urgent"})
	}
	*p = Priority(n)
	return nil
}

// ClassCount is the number of classes that admission distinguishes.
const ClassCount = 1 + PriorityCount*PriorityCount

// Envelope holds what daemons exchange about a request. It is sent between daemons
// only, never to a caller or a backend server.
type Envelope struct {
	Request      string        `cbor:"1,keyasint"`
	EntryAddress string        `cbor:"2,keyasint"` // peer address of the entry daemon
	Caller       string        `cbor:"3,keyasint"` // service of the entry daemon's host
	Team         string        `cbor:"4,keyasint,omitempty"`
	KeyHash      uint64        `cbor:"5,keyasint,omitempty"` // hash of the caller's key, 0 without one
	Route        string        `cbor:"6,keyasint"`
	Service      string        `cbor:"7,keyasint"`
	Version      Version       `cbor:"8,keyasint"`            // of the entry daemon's configuration
	Priority     Priority      `cbor:"9,keyasint"`            // of the route
	TeamPriority Priority      `cbor:"15,keyasint"`           // of the team, else of the route
	Downstream   bool          `cbor:"10,keyasint,omitempty"` // sent by a backend server while it processes a request
	Idempotent   bool          `cbor:"11,keyasint,omitempty"`
	TimeLeft     time.Duration `cbor:"12,keyasint"`           // when sent
	Objective    time.Duration `cbor:"13,keyasint"`           // remaining latency objective, when sent
	Attempt      int           `cbor:"14,keyasint"`           // 0 for the first
	ParentClass  int           `cbor:"16,keyasint,omitempty"` // class of a downstream call's parent request, 0 if unknown
	Retry        bool          `cbor:"18,keyasint,omitempty"` // an earlier attempt has reached a backend server
	FromRetry    bool          `cbor:"19,keyasint,omitempty"` // downstream call that is made, directly or not, for a retry
	Notice       *Notice       `cbor:"20,keyasint,omitempty"` // of the server at the chosen host
	Fingerprint  Fingerprint   `cbor:"21,keyasint,omitempty"` // 0 from a daemon that sends none
	Weight       float64       `cbor:"17,keyasint,omitempty"` // requests that callers made for each one that the entry daemon sent; 0 counts as 1
}

// Class returns the request's class under overload, where 0 is the most urgent. Requests
// are classed by their team's priority, then by their route's. A downstream call has the
// class of its parent request, or 0 if that is unknown, since refusing it would waste the
// work done so far.
func (e Envelope) Class() int {
	if e.Downstream {
		return e.ParentClass
	}
	return 1 + PriorityCount*min(int(e.TeamPriority), PriorityCount-1) + min(int(e.Priority), PriorityCount-1)
}

// Validate checks a decoded envelope; it fails with *InvalidError.
func (e Envelope) Validate() error {
	switch {
	case e.Request == "" || len(e.Request) > maxNameLength:
		return &InvalidError{Where: "envelope", Field: "request", Reason: "missing or too long"}
	case e.Priority < 0 || e.TeamPriority < 0:
		return &InvalidError{Where: "envelope", Field: "priority", Reason: "negative"}
	case e.ParentClass < 0 || e.ParentClass >= ClassCount:
		return &InvalidError{Where: "envelope", Field: "parent", Reason: "class out of range"}
	case math.IsNaN(e.Weight) || e.Weight < 0:
		return &InvalidError{Where: "envelope", Field: "weight", Reason: "expected a number of at least 0"}
	case e.TimeLeft <= 0:
		return &InvalidError{Where: "envelope", Field: "time-left", Reason: "expected more than 0"}
	}
	return e.Notice.Validate()
}
