package filterer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
)

// TestSplitStartsAnewWhenTargetsChange replaces the targets of a route by as many others,
// which must not inherit the requests that were due to the former ones.
func TestSplitStartsAnewWhenTargetsChange(t *testing.T) {
	is := is.New(t)
	s := newTrafficSplitter()
	before := []catkinrun.Target{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}
	is.Equal(s.choose("r", before), "a") // the next request is due to b
	after := []catkinrun.Target{{Service: "c", Weight: 90}, {Service: "d", Weight: 10}}
	counts := make(map[string]int)
	for range 5 {
		counts[s.choose("r", after)]++
	}
	is.Equal(counts, map[string]int{"c": 5}) // d is due one request in ten, the sixth first
}
