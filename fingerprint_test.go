package catkinrun_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
)

// TestFingerprintIsOfWhatMakesTheSameRequest changes one part of a request at a time.
func TestFingerprintIsOfWhatMakesTheSameRequest(t *testing.T) {
	is := is.New(t)
	base := func() *catkinrun.Call {
		return &catkinrun.Call{
			Method: "POST", Domain: "shop.example", Target: "/a?b=1", Head: []byte("body"), Length: 4,
			Envelope: catkinrun.Envelope{Request: "1", Team: "luna", EntryAddress: "a"},
		}
	}
	of := catkinrun.NewFingerprint
	again := base()
	again.Envelope.Request, again.Envelope.EntryAddress, again.Length = "2", "b", -1 // another ID and host, and in chunks
	is.Equal(of(base()), of(again))
	for _, change := range []func(c *catkinrun.Call){
		func(c *catkinrun.Call) { c.Method = "PUT" },
		func(c *catkinrun.Call) { c.Domain = "other.example" },
		func(c *catkinrun.Call) { c.Target = "/a?b=2" },
		func(c *catkinrun.Call) { c.Head = []byte("other") },
		func(c *catkinrun.Call) { c.Envelope.Team = "sol" },
		func(c *catkinrun.Call) { c.Target, c.Envelope.Team = "/a?b=1luna", "" },
	} {
		other := base()
		change(other)
		is.True(of(base()) != of(other))
	}
}

// TestFingerprintsAreOneText reads back what it has written, and refuses what cannot be a list.
func TestFingerprintsAreOneText(t *testing.T) {
	is := is.New(t)
	raw, err := json.Marshal(catkinrun.Crash{Server: "i/1", Requests: catkinrun.Fingerprints{1, 1 << 63}})
	is.NoErr(err)
	var read catkinrun.Crash
	is.NoErr(json.Unmarshal(raw, &read))
	is.Equal(read.Requests, catkinrun.Fingerprints{1, 1 << 63})
	for _, text := range []string{`"AAAA"`, `"%"`, `7`} {
		is.True(json.Unmarshal([]byte(`{"server":"i","requests":`+text+`}`), &read) != nil)
	}
}
