package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDelayedRequestExtendsNothing has a request arrive long after the stamp that it echoes.
func TestDelayedRequestExtendsNothing(t *testing.T) {
	is := is.New(t)
	s := &supporter{}
	s.record(&TokenRequest{Generation: 1, Echo: 5 * time.Second, Votes: true}, 5100*time.Millisecond)
	is.True(s.votesFor(1, 5900*time.Millisecond))
	is.True(s.cedesAt(5600*time.Millisecond, time.Second))
	s.record(&TokenRequest{Generation: 1, Echo: 5050 * time.Millisecond, Votes: true}, 9*time.Second)
	is.True(!s.votesFor(1, 9*time.Second))
	is.True(!s.cedesAt(9*time.Second, time.Second))
}

// TestShareCededBeforeGrantingDoesNotCount has the owner begin to grant tokens after the stamp
// that a host echoes, so that the host was not told to leave its share.
func TestShareCededBeforeGrantingDoesNotCount(t *testing.T) {
	is := is.New(t)
	s := &supporter{}
	s.record(&TokenRequest{Generation: 1, Echo: 2 * time.Second}, 2100*time.Millisecond)
	is.True(!s.cedesAt(2200*time.Millisecond, 2050*time.Millisecond))
	is.True(s.cedesAt(2200*time.Millisecond, 1950*time.Millisecond))
}

// TestEpochSettlesAfterVoteTTL checks the wait of a later owner, which starts at the first
// request under its epoch and survives later epochs of other shards.
func TestEpochSettlesAfterVoteTTL(t *testing.T) {
	is := is.New(t)
	s := &supporter{}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	s.record(&TokenRequest{Generation: 2, Echo: at(1), Votes: true}, at(1000))
	s.record(&TokenRequest{Generation: 3, Echo: at(1700), Votes: true}, at(1800))
	is.True(!s.settledIn(2, at(1999)))
	is.True(s.settledIn(2, at(2000)))
	is.True(!s.settledIn(3, at(2700)))
	s.record(&TokenRequest{Generation: 4, Echo: at(2900), Votes: true}, at(3000))
	is.True(s.settledIn(2, at(3000))) // older adoptions are dropped, but not their effect
	is.True(s.settledIn(3, at(3000)))
	is.True(!s.settledIn(4, at(3000)))
	s.record(&TokenRequest{Generation: 3, Echo: at(3100)}, at(3200)) // from before the last request
	is.True(s.votesFor(4, at(3300)))
}
