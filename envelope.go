package catkinrun

import (
	"math"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"
)

// Outcome says what a refusal knows of the request's run.
type Outcome string

// The outcomes of a request without a whole answer.
const (
	// NotRun promises that no backend server has worked on the request or ever will.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run, once.
	Unknown Outcome = "unknown"
)

// Reason names the cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonKey         Reason = "key"         // no key, or an unknown or withdrawn one
	ReasonRoute       Reason = "route"       // no route matches
	ReasonRate        Reason = "rate"        // the team is above its rate
	ReasonStale       Reason = "stale"       // no configuration is known, or a newer one forbids the request
	ReasonOverload    Reason = "overload"    // shed by admission control
	ReasonDeadline    Reason = "deadline"    // the time left does not suffice
	ReasonNoServer    Reason = "no-server"   // no backend server is ready
	ReasonBudget      Reason = "budget"      // no more repeats may reach the server
	ReasonLeaving     Reason = "leaving"     // the backend server takes no new work
	ReasonRejected    Reason = "rejected"    // the backend server did not run the request
	ReasonUnreachable Reason = "unreachable" // the host could not be reached
	ReasonClosed      Reason = "closed"      // no process takes connections at the address
	ReasonLocal       Reason = "local"       // this daemon lacks what it needs to send
	ReasonBroken      Reason = "broken"      // the answer broke off or was not the server's
	ReasonBadRequest  Reason = "bad-request" // malformed or over a limit
)

// Priority orders requests under overload: 0 is the most urgent.
type Priority int

// PriorityCount is the number of priorities, of teams and of routes, that are told
// apart; those above count as the last.
const PriorityCount = 6

// UnmarshalYAML reads a priority and names the line of a bad one.
func (p *Priority) UnmarshalYAML(node *yaml.Node) error {
	n, err := strconv.Atoi(node.Value)
	if err != nil || n < 0 {
		return atLine(node, &InvalidError{Where: "priority", Field: node.Value, Reason: "expected 0 for the most urgent, or a whole number above"})
	}
	*p = Priority(n)
	return nil
}

// ClassCount is the number of classes into which admission sorts requests.
const ClassCount = 1 + PriorityCount*PriorityCount

// Envelope is what daemons know of a request. It travels from daemon to daemon
// and never to a caller or a backend server.
type Envelope struct {
	Request    string        `cbor:"1,keyasint"`
	Entry      string        `cbor:"2,keyasint"` // peer address of the entry daemon
	Caller     string        `cbor:"3,keyasint"` // service of the host where the request began
	Team       string        `cbor:"4,keyasint,omitempty"`
	KeyMark    uint64        `cbor:"5,keyasint,omitempty"` // of the caller's key, 0 without one
	Route      string        `cbor:"6,keyasint"`
	Service    string        `cbor:"7,keyasint"`
	Version    Version       `cbor:"8,keyasint"`            // configuration that admitted the request
	Priority   Priority      `cbor:"9,keyasint"`            // of the route
	Urgency    Priority      `cbor:"15,keyasint"`           // of the team; the route's if the team has none
	Call       bool          `cbor:"10,keyasint,omitempty"` // made by a backend server while it works on a request
	Idempotent bool          `cbor:"11,keyasint,omitempty"`
	TimeLeft   time.Duration `cbor:"12,keyasint"`           // when sent
	Objective  time.Duration `cbor:"13,keyasint"`           // what is left of the latency wanted, when sent
	Attempt    int           `cbor:"14,keyasint"`           // 0 for the first
	Parent     int           `cbor:"16,keyasint,omitempty"` // class of the request that a call is made for, 0 if unknown
	Repeat     bool          `cbor:"18,keyasint,omitempty"` // an earlier attempt has reached a server
	Inherited  bool          `cbor:"19,keyasint,omitempty"` // made by a run that is a repeat
	Weight     float64       `cbor:"17,keyasint,omitempty"` // requests that callers made for each that the entry sent, 0 for 1
}

// Class is the request's place under overload: by its team's priority, and within each by
// its route's. A call has the class of the request that it is made for, 0 if that is not
// known, since its refusal would waste the work done so far.
func (e Envelope) Class() int {
	if e.Call {
		return e.Parent
	}
	return 1 + PriorityCount*min(int(e.Urgency), PriorityCount-1) + min(int(e.Priority), PriorityCount-1)
}

// Validate checks a decoded envelope; it fails with *InvalidError.
func (e Envelope) Validate() error {
	switch {
	case e.Request == "" || len(e.Request) > maxNameLength:
		return &InvalidError{Where: "envelope", Field: "request", Reason: "missing or too long"}
	case e.Priority < 0 || e.Urgency < 0:
		return &InvalidError{Where: "envelope", Field: "priority", Reason: "negative"}
	case e.Parent < 0 || e.Parent >= ClassCount:
		return &InvalidError{Where: "envelope", Field: "parent", Reason: "no such class"}
	case math.IsNaN(e.Weight) || e.Weight < 0:
		return &InvalidError{Where: "envelope", Field: "weight", Reason: "expected a number of at least 0"}
	case e.TimeLeft <= 0:
		return &InvalidError{Where: "envelope", Field: "time-left", Reason: "expected more than 0"}
	}
	return nil
}
