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
		endOrders := l.Begin("orders", now.Add(-100*time.Millisecond), orders)
		endPhotos := l.Begin("photos", now.Add(-50*time.Millisecond), photos)
		l.Called("stock", now, orders.Sub(now)-time.Millisecond) // rounded on the way
		endOrders()
		endPhotos()
		now = now.Add(20 * time.Millisecond)
	}
	is.Equal(l.Calls("orders"), []string{"stock"})
	is.Equal(len(l.Calls("photos")), 0)
}

// TestCallsWithATimeOfTheirOwnAreFoundByTheStart makes four calls one after the other
// that all end 700 ms after their request's start, long before its deadline.
func TestCallsWithATimeOfTheirOwnAreFoundByTheStart(t *testing.T) {
	is := is.New(t)
	l := learner.New()
	now := time.Unix(1000, 0)
	for range 50 {
		endPhotos := l.Begin("photos", now.Add(-40*time.Millisecond), now.Add(time.Second))
		endOrders := l.Begin("orders", now, now.Add(6*time.Second))
		for i := range 4 {
			l.Called("stock", now.Add(time.Duration(1+30*i)*time.Millisecond), time.Duration(699-30*i)*time.Millisecond)
		}
		endOrders()
		endPhotos()
		now = now.Add(200 * time.Millisecond)
	}
	is.Equal(l.Calls("orders"), []string{"stock"})
	is.Equal(len(l.Calls("photos")), 0)
}

func TestCallThatMayBelongToTwoRoutesTeachesNothing(t *testing.T) {
	is := is.New(t)
	l := learner.New()
	now := time.Unix(1000, 0)
	for range 50 {
		end1 := l.Begin("orders", now, now.Add(time.Second))
		end2 := l.Begin("photos", now, now.Add(time.Second))
		l.Called("stock", now, time.Second)
		end1()
		end2()
	}
	is.Equal(len(l.Calls("orders")), 0)
	is.Equal(len(l.Calls("photos")), 0)
}
