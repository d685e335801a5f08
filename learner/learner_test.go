package learner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/learner"
)

// TestCallsAreFoundByTheirDeadlines runs two routes side by side, of which one calls.
func TestCallsAreFoundByTheirDeadlines(t *testing.T) {
	is := is.New(t)
	l := learner.New()
	now := time.Unix(1000, 0)
	for i := range 50 {
		orders := now.Add(time.Duration(800+i) * time.Millisecond)
		photos := now.Add(time.Duration(830+i) * time.Millisecond)
		endOrders := l.Begin("orders", orders)
		endPhotos := l.Begin("photos", photos)
		l.Called("stock", orders.Add(-time.Millisecond), now) // rounded on the way
		endOrders()
		endPhotos()
		now = now.Add(20 * time.Millisecond)
	}
	is.Equal(l.Calls("orders"), []string{"stock"})
	is.Equal(len(l.Calls("photos")), 0)
}

func TestCallThatMayBelongToTwoRoutesTeachesNothing(t *testing.T) {
	is := is.New(t)
	l := learner.New()
	now := time.Unix(1000, 0)
	for range 50 {
		end1 := l.Begin("orders", now.Add(time.Second))
		end2 := l.Begin("photos", now.Add(time.Second))
		l.Called("stock", now.Add(time.Second), now)
		end1()
		end2()
	}
	is.Equal(len(l.Calls("orders")), 0)
	is.Equal(len(l.Calls("photos")), 0)
}
