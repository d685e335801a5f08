package tracker_test

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/tracker"
)

// TestAllowanceIsLentNotCopied makes calls at once and one after the other; their
// answers come or are lost. What all of them and the parent have never adds up to more
// than the tree's allowance.
func TestAllowanceIsLentNotCopied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := tracker.New()
		_, running := tr.Start(context.Background(), catkinrun.Envelope{Request: "r", Allowance: catkinrun.MaxAllowance})
		var lent []int
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				sum := running.Allowance()
				for _, n := range lent {
					sum += n
				}
				if sum > catkinrun.MaxAllowance || running.Allowance() < 0 {
					t.Fatalf("%v lent and %d left of %d", lent, running.Allowance(), catkinrun.MaxAllowance)
				}
			},
			"call": func(*rapid.T) { lent = append(lent, running.TakeAllowance()) },
			"answer": func(t *rapid.T) {
				if len(lent) > 0 {
					running.ReturnAllowance(rapid.IntRange(0, lent[0]).Draw(t, "unspent"))
					lent = lent[1:]
				}
			},
			"answer lost": func(*rapid.T) {
				if len(lent) > 0 {
					lent = lent[1:]
				}
			},
			"bad answer": func(*rapid.T) { running.ReturnAllowance(-5) },
		})
	})
}
