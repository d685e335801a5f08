package broker

import (
	"math"

	"github.com/catkinrun/catkinrun"
)

// Procedure is the peer call that carries an Ask.
const Procedure = "/catkinrun.peer/share"

// Share is a part of a team's rate and burst.
type Share struct {
	Rate  float64 `cbor:"rate"`  // requests per second
	Burst float64 `cbor:"burst"` // requests
}

// Want is one team's line in an Ask: what the host holds and could use.
type Want struct {
	Team     string            `cbor:"team"`
	Epoch    catkinrun.Version `cbor:"epoch"` // of the share held
	Held     Share             `cbor:"held"`
	Demand   float64           `cbor:"demand"`   // requests per second that arrive
	Waiting  int               `cbor:"waiting"`  // requests that wait for a token now
	Returned float64           `cbor:"returned"` // unused tokens that go back to the broker
}

// Ask reports a host's shares and asks for new ones. Answers to an Ask that is
// not the sender's last one are void, so Held is all that the host may use.
type Ask struct {
	Host        string `cbor:"host"`
	Incarnation string `cbor:"incarnation"`
	Sequence    uint64 `cbor:"sequence"`
	Wants       []Want `cbor:"wants"`
}

// Validate checks a decoded Ask; it fails with *catkinrun.InvalidError.
func (a Ask) Validate() error {
	if a.Host == "" || a.Incarnation == "" {
		return &catkinrun.InvalidError{Where: "share", Field: "host", Reason: "host and incarnation are needed"}
	}
	for _, w := range a.Wants {
		if !amount(w.Held.Rate) || !amount(w.Held.Burst) || !amount(w.Demand) || !amount(w.Returned) || w.Waiting < 0 {
			return &catkinrun.InvalidError{Where: "share " + w.Team, Field: "held", Reason: "expected finite amounts of at least 0"}
		}
	}
	return nil
}

func amount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }

// Grant is one team's line in an Answer. Tokens are moved from the broker's own
// bucket to the host's.
type Grant struct {
	Team   string            `cbor:"team"`
	Epoch  catkinrun.Version `cbor:"epoch"`
	Share  Share             `cbor:"share"`
	Tokens float64           `cbor:"tokens"`
}

// Answer grants shares.
type Answer struct {
	Sequence uint64  `cbor:"sequence"`
	Grants   []Grant `cbor:"grants"`
}
