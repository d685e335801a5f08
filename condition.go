package catkinrun

import (
	"math"
	"strconv"
	"time"
)

// Condition is what a backend server states about itself in a response.
type Condition struct {
	Limited bool    // the server takes no more than Limit
	Limit   float64 // requests per second from all hosts together
	Leaving bool    // the server will end
}

// Notice is what an entry daemon knows from responses about the server beside the serving daemon,
// which may have restarted since.
type Notice struct {
	Server     string        `cbor:"1,keyasint"` // the server's start
	Limited    bool          `cbor:"2,keyasint,omitempty"`
	Limit      float64       `cbor:"3,keyasint,omitempty"` // requests per second
	Leaving    bool          `cbor:"4,keyasint,omitempty"`
	LeavingFor time.Duration `cbor:"5,keyasint,omitempty"` // since the first response that said so
}

// Validate checks a decoded notice; it fails with *InvalidError.
func (n *Notice) Validate() error {
	switch {
	case n == nil:
		return nil
	case !(n.Limit >= 0) || math.IsInf(n.Limit, 0):
		return &InvalidError{Where: "notice", Field: "limit", Reason: "expected a number of at least 0"}
	case n.LeavingFor < 0:
		return &InvalidError{Where: "notice", Field: "leaving-for", Reason: "negative"}
	}
	return nil
}

// Start identifies one start of the server, which may start again under the same ID.
func (s Server) Start() string { return s.ID + "/" + strconv.FormatInt(s.StartUnixMilli, 10) }
