package correlator_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/correlator"
)

// TestCallsAreAttributedByDeadline runs requests of two routes at the same time. Only the
// requests of one route make downstream calls.
func TestCallsAreAttributedByDeadline(t *testing.T) {
	is := is.New(t)
	c := correlator.New()
	now := time.Unix(1000, 0)
	for i := range 50 {
		orders := now.Add(time.Duration(800+i) * time.Millisecond)
		photos := now.Add(time.Duration(830+i) * time.Millisecond)
		endOrders := c.Begin(correlator.RunningRequest{Route: "orders"}, now.Add(-100*time.Millisecond), orders)
		endPhotos := c.Begin(correlator.RunningRequest{Route: "photos"}, now.Add(-50*time.Millisecond), photos)
		c.Attribute("stock", now, orders.Sub(now)-time.Millisecond) // rounded in transit
		endOrders()
		endPhotos()
		now = now.Add(20 * time.Millisecond)
	}
	is.Equal(c.DownstreamRoutes("orders"), []string{"stock"})
	is.Equal(len(c.DownstreamRoutes("photos")), 0)
}

// TestCallsWithADeadlineOfTheirOwnAreAttributedByStart makes four consecutive calls per
// parent request. Their deadline is 700 ms after the parent's start, long before the
// parent's deadline.
func TestCallsWithADeadlineOfTheirOwnAreAttributedByStart(t *testing.T) {
	is := is.New(t)
	c := correlator.New()
	now := time.Unix(1000, 0)
	for range 50 {
		endPhotos := c.Begin(correlator.RunningRequest{Route: "photos"}, now.Add(-40*time.Millisecond), now.Add(time.Second))
		endOrders := c.Begin(correlator.RunningRequest{Route: "orders"}, now, now.Add(6*time.Second))
		for i := range 4 {
			c.Attribute("stock", now.Add(time.Duration(1+30*i)*time.Millisecond), time.Duration(699-30*i)*time.Millisecond)
		}
		endOrders()
		endPhotos()
		now = now.Add(200 * time.Millisecond)
	}
	is.Equal(c.DownstreamRoutes("orders"), []string{"stock"})
	is.Equal(len(c.DownstreamRoutes("photos")), 0)
}

func TestCallThatFitsTwoRoutesIsNotAttributed(t *testing.T) {
	is := is.New(t)
	c := correlator.New()
	now := time.Unix(1000, 0)
	for range 50 {
		endOrders := c.Begin(correlator.RunningRequest{Route: "orders"}, now, now.Add(time.Second))
		endPhotos := c.Begin(correlator.RunningRequest{Route: "photos"}, now, now.Add(time.Second))
		c.Attribute("stock", now, time.Second)
		endOrders()
		endPhotos()
	}
	is.Equal(len(c.DownstreamRoutes("orders")), 0)
	is.Equal(len(c.DownstreamRoutes("photos")), 0)
}

// TestCallsInheritTheClassOfTheirParent runs urgent and other requests at the same time.
func TestCallsInheritTheClassOfTheirParent(t *testing.T) {
	is := is.New(t)
	c := correlator.New()
	now := time.Unix(1000, 0)
	for i := range 20 {
		urgent := now.Add(time.Duration(800+i) * time.Millisecond)
		endUrgent := c.Begin(correlator.RunningRequest{Route: "orders", Class: 1, Weight: 1}, now.Add(-100*time.Millisecond), urgent)
		endOther := c.Begin(correlator.RunningRequest{Route: "reads", Class: 9, Weight: 4}, now.Add(-50*time.Millisecond), urgent.Add(50*time.Millisecond))
		parent := c.Attribute("stock", now, urgent.Sub(now)-time.Millisecond)
		is.Equal(parent.Class, 1)
		is.Equal(parent.Weight, 1.0)
		parent = c.Attribute("stock", now, urgent.Add(50*time.Millisecond).Sub(now))
		is.Equal(parent.Class, 9)
		is.Equal(parent.Weight, 4.0)
		is.Equal(c.Attribute("stock", now, time.Hour).Class, 0) // no request fits
		endUrgent()
		endOther()
		now = now.Add(20 * time.Millisecond)
	}
}

// TestCallsOfRetriesCountAsRetriesInEachClass has a retry make a call. A parent of class 0, a downstream call whose own
// parent is unknown, is a retry like any other: its calls count as repeats at the service that is called.
func TestCallsOfRetriesCountAsRetriesInEachClass(t *testing.T) {
	for _, class := range []int{0, 1, 9} {
		t.Run(strconv.Itoa(class), func(t *testing.T) {
			is := is.New(t)
			c := correlator.New()
			now := time.Unix(1000, 0)
			end := c.Begin(correlator.RunningRequest{Route: "orders", Class: class, Weight: 2, Retry: true}, now, now.Add(time.Second))
			defer end()
			parent := c.Attribute("stock", now, time.Second)
			is.Equal(parent.Class, class)
			is.Equal(parent.Weight, 2.0)
			is.True(parent.Retry)
		})
	}
}
