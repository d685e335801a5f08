package router_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/router"
)

type members []catkinrun.Member

func (m members) Serving(string) []catkinrun.Member { return m }

func member(host, zone string) catkinrun.Member {
	return catkinrun.Member{Host: host, Zone: zone, Peer: host, Server: &catkinrun.Server{ID: "i", Service: "s", Slots: 10}}
}

func newRouter(list members) (*router.Router, *clock.Fake) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := clock.NewFake()
	return router.New(list, c, log, "zone-a", func() float64 { return 0 }), c
}

// choose routes n requests, reports their results and counts the hosts chosen.
func choose(r *router.Router, n int, result func(host string) router.Result) map[string]int {
	counts := make(map[string]int)
	for range n {
		choice, ok := r.Choose(router.Criteria{Service: "s", Route: "r", Objective: 200 * time.Millisecond})
		if !ok {
			continue
		}
		host := choice.Member.Host
		r.RecordStart(host)
		counts[host]++
		r.RecordResult(host, result(host), -1)
	}
	return counts
}

func TestOwnZoneIsPreferred(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(members{member("far", "zone-b"), member("near", "zone-a")})
	counts := choose(r, 100, func(string) router.Result { return router.Served })
	is.Equal(counts["near"], 100)
}

func TestLoadedServerIsAvoided(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(members{member("far", "zone-b"), member("near", "zone-a")})
	choice, _ := r.Choose(router.Criteria{Service: "s", Route: "r", Objective: 200 * time.Millisecond})
	r.RecordStart(choice.Member.Host)
	r.RecordResult("near", router.Served, 0.9)
	choice, _ = r.Choose(router.Criteria{Service: "s", Route: "r", Objective: 200 * time.Millisecond})
	is.Equal(choice.Member.Host, "far")
}

func TestFailingServerIsAvoidedAndTriedAgainLater(t *testing.T) {
	is := is.New(t)
	r, c := newRouter(members{member("bad", "zone-a"), member("good", "zone-a")})
	result := func(host string) router.Result {
		if host == "bad" {
			return router.Failed
		}
		return router.Served
	}
	counts := choose(r, 200, result)
	is.True(counts["bad"] < 10)
	c.Advance(time.Minute) // its failure fraction has decayed
	is.True(choose(r, 200, result)["bad"] > 0)
}

func TestUnreachableHostIsEjectedForAShortTime(t *testing.T) {
	is := is.New(t)
	r, c := newRouter(members{member("dark", "zone-a"), member("far", "zone-b")})
	result := func(host string) router.Result {
		if host == "dark" {
			return router.Unreachable
		}
		return router.Served
	}
	is.Equal(choose(r, 50, result)["dark"], 1)
	c.Advance(3 * time.Second)
	is.Equal(choose(r, 50, func(string) router.Result { return router.Served })["dark"], 50)
}

func TestOnlyHostIsUsedEvenIfEjected(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(members{member("only", "zone-a")})
	counts := choose(r, 3, func(string) router.Result { return router.Unreachable })
	is.Equal(counts["only"], 3) // an ejected host is better than none
}

func TestServerThatIsSlowForTheObjectiveIsAvoided(t *testing.T) {
	is := is.New(t)
	r, c := newRouter(members{member("slow", "zone-a"), member("fast", "zone-a")})
	latencies := map[string]time.Duration{"slow": 150 * time.Millisecond, "fast": 50 * time.Millisecond}
	count := func(objective time.Duration) map[string]int {
		counts := make(map[string]int)
		for range 100 {
			choice, _ := r.Choose(router.Criteria{Service: "s", Route: "r", Objective: objective})
			counts[choice.Member.Host]++
			r.RecordStart(choice.Member.Host)
			r.RecordResult(choice.Member.Host, router.Served, -1)
			r.RecordLatency(choice.Member.Host, "r", latencies[choice.Member.Host])
		}
		return counts
	}
	is.True(count(200 * time.Millisecond)["fast"] > 90)
	c.Advance(time.Minute)
	is.True(count(200 * time.Millisecond)["slow"] > 0) // tried again once its latency penalty has decayed
}
