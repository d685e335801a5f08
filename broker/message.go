package broker

import "github.com/catkinrun/catkinrun"

// Procedure is the path of token requests on a peer listener.
const Procedure = "/catkinrun.peer/tokens"

// Ask is a daemon's request for tokens of the teams' rates.
type Ask struct {
	Host  string             `cbor:"host"`
	Epoch catkinrun.Revision `cbor:"epoch"` // of the owner, as the daemon knows it
	Wants []Want             `cbor:"wants"`
}

// Want is the entry of a token request for one team.
type Want struct {
	Team     string  `cbor:"team"`
	Tokens   float64 `cbor:"tokens"`   // for the requests expected until the next token request
	Returned float64 `cbor:"returned"` // granted earlier and not used
}

// Answer is the response to a token request, with the tokens granted.
type Answer struct {
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
func (a *Ask) Validate() error {
	if a.Host == "" {
		return &catkinrun.InvalidError{Where: "ask", Field: "host", Reason: "missing"}
	}
	for _, w := range a.Wants {
		if !(w.Tokens >= 0) || !(w.Returned >= 0) {
			return &catkinrun.InvalidError{Where: "ask", Field: w.Team, Reason: "expected no negative numbers"}
		}
	}
	return nil
}
