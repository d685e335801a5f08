package broker

import "github.com/catkinrun/catkinrun"

// Procedure is the path of token requests on a peer listener.
const Procedure = "/catkinrun.peer/tokens"

// TokenRequest is a daemon's request for tokens of the teams' rates.
type TokenRequest struct {
	Host  string             `cbor:"host"`
	Epoch catkinrun.Revision `cbor:"epoch"` // of the owner known to the daemon
	Teams []TeamRequest      `cbor:"wants"`
}

// TeamRequest is the entry of a token request for one team.
type TeamRequest struct {
	Team     string  `cbor:"team"`
	Tokens   float64 `cbor:"tokens"`   // for waiting requests and those expected soon
	Returned float64 `cbor:"returned"` // granted earlier and not used
}

// TokenResponse is the response to a token request, with the tokens granted.
type TokenResponse struct {
	Incarnation string             `cbor:"incarnation"` // of the responding daemon
	Epoch       catkinrun.Revision `cbor:"epoch"`
	Ready       bool               `cbor:"ready"` // the responding daemon is the owner and may grant tokens
	Grants      []Grant            `cbor:"grants"`
}

// Grant is a number of tokens granted for one team.
type Grant struct {
	Team   string  `cbor:"team"`
	Tokens float64 `cbor:"tokens"`
}

// Validate checks a decoded token request; it fails with *catkinrun.InvalidError.
func (r *TokenRequest) Validate() error {
	if r.Host == "" {
		return &catkinrun.InvalidError{Where: "ask", Field: "host", Reason: "missing"}
	}
	for _, t := range r.Teams {
		if !(t.Tokens >= 0) || !(t.Returned >= 0) {
			return &catkinrun.InvalidError{Where: "ask", Field: t.Team, Reason: "expected no negative numbers"}
		}
	}
	return nil
}
