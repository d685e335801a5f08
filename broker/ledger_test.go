package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testTeam = "team"

// TestLedgerGrantsNoMoreThanAvailable draws updates of the available fraction and requests,
// and checks that the tokens granted never exceed what the available fractions accrue, plus
// the burst.
func TestLedgerGrantsNoMoreThanAvailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 20.0, 10.0
		now := time.Duration(0)
		l := newLedger(now, 1)
		accrued, available, granted := 0.0, 1.0, 0
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				step := time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond
				now += step
				accrued += rate * available * step.Seconds()
				available = rapid.Float64Range(0.2, 1).Draw(t, "available")
				l.update(now, available)
				l.dropIdle(now)
			},
			"request": func(t *rapid.T) {
				returned := rapid.IntRange(0, granted).Draw(t, "returned")
				granted += l.take(now, testTeam, rate, burst, returned, rapid.IntRange(0, 40).Draw(t, "tokens")) - returned
			},
			"": func(t *rapid.T) {
				if float64(granted) > accrued+burst {
					t.Fatalf("%d tokens granted, %.1f accrued", granted, accrued)
				}
			},
		})
	})
}

// TestLedgerCutsBucketsWhenSharesAreInUse has hosts use their local shares again: what they
// may hold must not be in the owner's bucket too.
func TestLedgerCutsBucketsWhenSharesAreInUse(t *testing.T) {
	is := is.New(t)
	l := newLedger(0, 1)
	l.update(10*time.Second, 1)
	is.Equal(l.take(10*time.Second, testTeam, 10, 10, 0, 0), 0) // the bucket is full
	l.update(11*time.Second, 0.65)
	l.update(11500*time.Millisecond, 0.65)
	is.Equal(l.take(11500*time.Millisecond, "new", 10, 10, 0, 20), 3) // accrued since the shares came into use
	l.update(12*time.Second, 0.65)
	is.Equal(l.take(12*time.Second, testTeam, 10, 10, 0, 20), 6) // 65 % of the burst, in whole tokens
}

// TestSmallBurstHoldsOneToken has a team whose burst is below one token in the available part.
func TestSmallBurstHoldsOneToken(t *testing.T) {
	is := is.New(t)
	l := newLedger(0, 0.65)
	l.update(10*time.Second, 0.65)
	is.Equal(l.take(10*time.Second, testTeam, 1, 1, 0, 5), 1)
}
