package router_test

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/router"
)

// placement replays requests that many daemons send to the servers of one service, each
// daemon knowing only the load in the responses to its own requests.
type placement struct {
	clock   *clock.Fake
	random  *rand.Rand
	routers []*router.Router
	zones   []string // by daemon
	members members
	running map[string]int
	ends    endQueue
}

type end struct {
	at     time.Time
	daemon int
	host   string
}

type endQueue []end

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(end)) }
func (q *endQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const placementSlots = 16

// newPlacement spreads daemons and servers evenly over zones.
func newPlacement(daemons, servers, zones int) *placement {
	p := &placement{clock: clock.NewFake(), random: rand.New(rand.NewPCG(1, 1)), running: make(map[string]int)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	zone := func(i int) string { return fmt.Sprint("zone-", i%zones) }
	for i := range servers {
		m := member(fmt.Sprintf("%s-server-%02d", zone(i), i), zone(i))
		m.Server.Slots = placementSlots
		p.members = append(p.members, m)
	}
	for i := range daemons {
		p.zones = append(p.zones, zone(i))
		p.routers = append(p.routers, router.New(p.members, p.clock, log, zone(i), p.random.Float64))
	}
	return p
}

// result of a replay.
type result struct {
	busiestToMean float64 // most requests sent to one server, over the mean
	otherZone     float64 // fraction of requests sent to another zone
	fullest       float64 // mean load of the servers of the fullest zone
}

// replay sends requests at a rate, each taking a time around work, and evaluates the second
// half of the duration. hotFraction of the requests begin at daemons of the first zone, the
// others at any daemon.
func (p *placement) replay(perSecond, hotFraction float64, work, duration time.Duration) result {
	sent := make(map[string]int)
	loads := make(map[string]float64)
	var total, crossing int
	start := p.clock.Now()
	for p.clock.Now().Sub(start) < duration {
		next := p.clock.Now().Add(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(p.ends) > 0 && p.ends[0].at.Before(next) {
			p.finish(heap.Pop(&p.ends).(end))
		}
		p.clock.Advance(next.Sub(p.clock.Now()))
		daemon := p.random.IntN(len(p.routers))
		for hot := p.random.Float64() < hotFraction; hot && p.zones[daemon] != p.zones[0]; {
			daemon = p.random.IntN(len(p.routers))
		}
		chosen := p.send(daemon, work)
		if p.clock.Now().Sub(start) < duration/2 {
			continue
		}
		total++
		sent[chosen.Host]++
		if chosen.Zone != p.zones[daemon] {
			crossing++
		}
		for _, m := range p.members {
			loads[m.Zone] += float64(p.running[m.Host]) / placementSlots
		}
	}
	got := result{otherZone: float64(crossing) / float64(total)}
	inZone := make(map[string]int)
	for _, m := range p.members {
		got.busiestToMean = max(got.busiestToMean, float64(sent[m.Host])*float64(len(p.members))/float64(total))
		inZone[m.Zone]++
	}
	for zone, sum := range loads {
		got.fullest = max(got.fullest, sum/float64(total)/float64(inZone[zone]))
	}
	return got
}

func (p *placement) send(daemon int, work time.Duration) catkinrun.Member {
	choice, _ := p.routers[daemon].Choose(router.Criteria{Service: "s", Route: "r", Objective: 4 * work})
	host := choice.Member.Host
	p.routers[daemon].RecordStart(host)
	p.running[host]++
	took := time.Duration((0.5 + p.random.Float64()) * float64(work))
	heap.Push(&p.ends, end{at: p.clock.Now().Add(took), daemon: daemon, host: host})
	return choice.Member
}

func (p *placement) finish(e end) {
	p.clock.Advance(e.at.Sub(p.clock.Now()))
	p.running[e.host]--
	load := float64(p.running[e.host]) / placementSlots
	p.routers[e.daemon].RecordResult(e.host, router.Served, load)
}

const (
	placementWork = 120 * time.Millisecond
	placementTime = 20 * time.Second
)

// TestPlacementInLargeFleet sends requests of 95 daemons to 30 servers in five zones at 60 %
// of their capacity. A daemon hears of a server's load seldom, and all daemons of a zone hear
// of the same servers.
func TestPlacementInLargeFleet(t *testing.T) {
	p := newPlacement(95, 30, 5)
	got := p.replay(0.6*30*placementSlots/placementWork.Seconds(), 0, placementWork, placementTime)
	if got.busiestToMean > 1.15 || got.otherZone > 0.1 {
		t.Fatalf("%+v, expected at most 1.15 times the mean and a tenth in other zones", got)
	}
}

// TestHotZoneUsesOtherZones begins half of the requests in one of five zones, whose servers
// have a fifth of the slots.
func TestHotZoneUsesOtherZones(t *testing.T) {
	p := newPlacement(95, 30, 5)
	got := p.replay(0.5*30*placementSlots/placementWork.Seconds(), 0.5, placementWork, placementTime)
	if got.fullest > 0.9 {
		t.Fatalf("%+v, expected the fullest zone at most 0.9 full", got)
	}
}
