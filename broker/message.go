package broker

import (
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// Procedure is the path of token requests on a peer listener.
const Procedure = "/catkinrun.peer/shard-tokens"

// TokenRequest is a daemon's request to an owner for tokens of the teams' rates.
type TokenRequest struct {
	Host        string        `cbor:"host"`
	Generation  uint64        `cbor:"generation"` // of the assignment known to the daemon
	Echo        time.Duration `cbor:"echo"`       // stamp of the last response of this start of the owner, 0 without one
	Votes       bool          `cbor:"votes"`      // false until the daemon has read the assignment from the store
	Teams       []TeamRequest `cbor:"teams"`
	Assignment  *Assignment   `cbor:"assignment,omitempty"`  // if the owner is known to have an older one
	Candidate   bool          `cbor:"candidate,omitempty"`   // asks a voter whether the daemon should replace owners
	Incarnation string        `cbor:"incarnation,omitempty"` // of the daemon
}

// TeamRequest is the entry of a token request for one team.
type TeamRequest struct {
	Team     string `cbor:"team"`
	Tokens   int    `cbor:"tokens"`   // for waiting requests and those expected soon
	Returned int    `cbor:"returned"` // granted earlier under the same epoch and not used
}

// TokenResponse is the response to a token request, with the tokens granted.
type TokenResponse struct {
	Incarnation string        `cbor:"incarnation"` // of the responding daemon
	Generation  uint64        `cbor:"generation"`  // of the assignment known to the responding daemon
	Ready       ShardSet      `cbor:"ready"`       // shards of which the responding daemon may grant tokens
	Stamp       time.Duration `cbor:"stamp"`       // reading of the owner's clock, which the next request echoes
	Grants      []Grant       `cbor:"grants"`
	Assignment  *Assignment   `cbor:"assignment,omitempty"` // if the requesting daemon has an older one
	Handover    []Grant       `cbor:"handover,omitempty"`   // tokens left of the shards that the requesting daemon has taken over
	Failed      ShardSet      `cbor:"failed,omitempty"`     // to a candidate: shards whose owner does not serve the responding daemon
	Host        string        `cbor:"host,omitempty"`       // of the responding daemon, to a candidate; empty from an earlier version
}

// Grant is a number of tokens granted for one team.
type Grant struct {
	Team   string `cbor:"team"`
	Tokens int    `cbor:"tokens"`
}

// Validate checks a decoded token request; it fails with *catkinrun.InvalidError.
func (r *TokenRequest) Validate() error {
	if r.Host == "" {
		return &catkinrun.InvalidError{Where: "token request", Field: "host", Reason: "missing"}
	}
	for _, t := range r.Teams {
		if t.Tokens < 0 || t.Returned < 0 {
			return &catkinrun.InvalidError{Where: "token request", Field: t.Team, Reason: "expected no negative numbers"}
		}
	}
	return validateOptional(r.Assignment)
}

// Validate checks a decoded token response; it fails with *catkinrun.InvalidError.
func (r *TokenResponse) Validate() error {
	for _, g := range slices.Concat(r.Grants, r.Handover) {
		if g.Tokens < 0 {
			return &catkinrun.InvalidError{Where: "token response", Field: g.Team, Reason: "expected no negative number"}
		}
	}
	return validateOptional(r.Assignment)
}

func validateOptional(a *Assignment) error {
	if a == nil {
		return nil
	}
	return a.Validate()
}
