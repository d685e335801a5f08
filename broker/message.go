package broker

import "github.com/catkinrun/catkinrun"

// Procedure is the path of an Ask on a peer listener.
const Procedure = "/catkinrun.peer/tokens"

// Ask is one daemon's wish for tokens of teams' rates.
type Ask struct {
	Host  string             `cbor:"host"`
	Epoch catkinrun.Revision `cbor:"epoch"` // of the owner that the daemon knows
	Wants []Want             `cbor:"wants"`
}

// Want is what a daemon needs of one team.
type Want struct {
	Team     string  `cbor:"team"`
	Tokens   float64 `cbor:"tokens"`   // for the requests that it expects until its next Ask
	Returned float64 `cbor:"returned"` // tokens granted earlier that no request used
}

// Answer has the tokens granted.
type Answer struct {
	Incarnation string             `cbor:"incarnation"` // of the daemon that answers
	Epoch       catkinrun.Revision `cbor:"epoch"`
	Ready       bool               `cbor:"ready"` // the owner may grant
	Grants      []Grant            `cbor:"grants"`
}

// Grant is tokens of one team.
type Grant struct {
	Team   string  `cbor:"team"`
	Tokens float64 `cbor:"tokens"`
}

// Validate checks a decoded Ask; it fails with *catkinrun.InvalidError.
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
