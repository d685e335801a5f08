package catkinrun

import (
	"hash/fnv"
	"time"

	"gopkg.in/yaml.v3"
)

// Outcome says what a refusal knows of the request's run.
type Outcome string

// The outcomes of a request without a whole answer.
const (
	// NotRun promises that no backend server received any byte of the request.
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
	ReasonStale       Reason = "stale"       // the daemon has no current proof of its configuration
	ReasonOverload    Reason = "overload"    // shed by admission control
	ReasonDeadline    Reason = "deadline"    // the time left does not suffice
	ReasonNoServer    Reason = "no-server"   // no backend server is ready
	ReasonLeaving     Reason = "leaving"     // the backend server is draining
	ReasonDuplicate   Reason = "duplicate"   // the same idempotency key is running, or its record was lost
	ReasonIncomplete  Reason = "incomplete"  // records of the idempotency key are still being fetched
	ReasonNotOwner    Reason = "not-owner"   // this host does not own the idempotency key's slot
	ReasonUnreachable Reason = "unreachable" // the host could not be reached
	ReasonBroken      Reason = "broken"      // the answer broke off
	ReasonHandle      Reason = "handle"      // the call handle belongs to no running request
	ReasonBadRequest  Reason = "bad-request" // malformed or over a limit
	ReasonHops        Reason = "too-deep"    // the call chain is deeper than the limit
	ReasonPeer        Reason = "peer"        // the peer did not prove itself
)

// Priority orders requests under overload; a higher one is shed later.
type Priority int

// The priorities of routes.
const (
	Deferrable Priority = iota
	Normal
	Important
	priorityCount
)

// PriorityCount is the number of priorities.
const PriorityCount = int(priorityCount)

var priorityNames = [PriorityCount]string{"deferrable", "normal", "important"}

func (p Priority) String() string {
	if p < 0 || p >= priorityCount {
		return "invalid"
	}
	return priorityNames[p]
}

// MarshalText writes the priority's name.
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a priority's name; it fails with *InvalidError.
func (p *Priority) UnmarshalText(text []byte) error {
	for i, name := range priorityNames {
		if name == string(text) {
			*p = Priority(i)
			return nil
		}
	}
	return &InvalidError{Where: "priority", Field: string(text), Reason: "expected deferrable, normal or important"}
}

// UnmarshalYAML reads a priority and names the line of a bad one.
func (p *Priority) UnmarshalYAML(node *yaml.Node) error {
	return atLine(node, p.UnmarshalText([]byte(node.Value)))
}

// MaxHops bounds the depth of a call graph.
const MaxHops = 16

// The classes of ranks: each priority has as many, and within it each of the ten
// steps of a team's excess; teams inside their fair share have the highest of them.
const (
	RanksPerPriority = 1000
	RanksPerExcess   = RanksPerPriority / 10
	// MaxRank is above every request's rank.
	MaxRank = PriorityCount * RanksPerPriority
)

// Envelope is what daemons know of a request. It travels from daemon to daemon
// and never to a caller or a backend server.
type Envelope struct {
	Request    string        `cbor:"request"`
	KeyID      string        `cbor:"key-id"` // never the key; empty for anonymous requests
	Team       string        `cbor:"team"`
	Route      string        `cbor:"route"`
	Version    Version       `cbor:"version"` // configuration that admitted the request
	Priority   Priority      `cbor:"priority"`
	Idempotent bool          `cbor:"idempotent"`
	DedupeKey  string        `cbor:"dedupe-key"` // team-scoped Idempotency-Key, empty for none
	TimeLeft   time.Duration `cbor:"time-left"`  // time left when sent
	Allowance  int           `cbor:"allowance"`  // extra attempts that the call tree may still make
	Hops       int           `cbor:"hops"`
	Share      int           `cbor:"share"` // how far the team is above its fair share, 0 to 9
}

// WithTimeLeft returns a copy with the time left replaced.
func (e Envelope) WithTimeLeft(d time.Duration) Envelope {
	e.TimeLeft = d
	return e
}

// WithAllowance returns a copy with the allowance replaced.
func (e Envelope) WithAllowance(n int) Envelope {
	e.Allowance = n
	return e
}

// Rank orders requests under overload, 0 to MaxRank-1; the lowest is shed first.
// It depends on the priority, then the team's excess, then the request id, and
// is the same at every hop, so that one call tree is cut as a whole.
func (e Envelope) Rank() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.Request))
	spread := int(h.Sum32() % RanksPerExcess)
	excess := min(max(e.Share, 0), 9)
	return int(e.Priority)*RanksPerPriority + (9-excess)*RanksPerExcess + spread
}

// Validate checks a decoded envelope; it fails with *InvalidError.
func (e Envelope) Validate() error {
	switch {
	case e.Request == "" || len(e.Request) > maxNameLength:
		return &InvalidError{Where: "envelope", Field: "request", Reason: "missing or too long"}
	case e.Priority < 0 || e.Priority >= priorityCount:
		return &InvalidError{Where: "envelope", Field: "priority", Reason: "out of range"}
	case e.Allowance < 0 || e.Allowance > MaxAllowance:
		return &InvalidError{Where: "envelope", Field: "allowance", Reason: "out of range"}
	case e.Hops < 0 || e.Hops > MaxHops:
		return &InvalidError{Where: "envelope", Field: "hops", Reason: "too deep"}
	case e.TimeLeft < 0:
		return &InvalidError{Where: "envelope", Field: "time-left", Reason: "negative"}
	}
	return nil
}

// MaxAllowance bounds the extra attempts of one call tree.
const MaxAllowance = 3
