package admitter_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
)

// load is an open-loop stream of requests of one class to an admitter. The entry daemon
// refuses a fraction of them, the pressure that the admitter reported pressureDelay earlier.
type load struct {
	envelope catkinrun.Envelope
	perTick  float64 // requests that callers send in a tick
}

const (
	tick          = 10 * time.Millisecond
	serviceTime   = 100 * time.Millisecond
	pressureDelay = 30 // ticks until a pressure takes effect at the entry daemons
	slotCount     = 100
)

// simulate offers the loads for some ticks to a server that takes serviceTime for each
// request, and returns the pressure after each tick.
func simulate(t *testing.T, ticks int, loads ...load) []catkinrun.Pressure {
	t.Helper()
	a, c := newAdmitter(slotCount)
	random := rand.New(rand.NewPCG(7, 7))
	canceled, cancel := context.WithCancel(context.Background())
	cancel() // no request waits in the queue
	for _, l := range loads {
		if err := a.Acquire(context.Background(), l.envelope); err != nil {
			t.Fatal(err)
		}
		a.Release(l.envelope, serviceTime) // sets the estimated service time
	}
	running := make(map[int][]catkinrun.Envelope) // by the tick in which they end
	pressures := make([]catkinrun.Pressure, pressureDelay)
	for now := range ticks {
		c.Advance(tick)
		for _, e := range running[now] {
			a.Release(e, serviceTime)
		}
		delete(running, now)
		for _, l := range loads {
			sendRequests(canceled, a, l, pressures[now], random, running, now)
		}
		pressures = append(pressures, a.Pressure())
	}
	return pressures[pressureDelay:]
}

// sendRequests sends the requests of one tick that the entry daemon does not refuse.
func sendRequests(ctx context.Context, a *admitter.Admitter, l load, pressure catkinrun.Pressure, random *rand.Rand, running map[int][]catkinrun.Envelope, now int) {
	fraction := pressure[l.envelope.Class()]
	for n := l.perTick; n > random.Float64(); n-- {
		if random.Float64() < fraction {
			continue
		}
		e := l.envelope
		e.Weight = 1 / (1 - fraction)
		if a.Acquire(ctx, e) == nil {
			end := now + int(serviceTime/tick)
			running[end] = append(running[end], e)
		}
	}
}

func envelopeOf(teamPriority catkinrun.Priority, route string) catkinrun.Envelope {
	return catkinrun.Envelope{Request: "r", Route: route, TeamPriority: teamPriority, TimeLeft: time.Minute, Objective: time.Minute}
}

// TestPressureFollowsAnOverloadWithoutOscillation offers twice the requests that the slots
// can serve.
func TestPressureFollowsAnOverloadWithoutOscillation(t *testing.T) {
	is := is.New(t)
	e := envelopeOf(0, "orders")
	pressures := simulate(t, 1000, load{envelope: e, perTick: 2 * slotCount * float64(tick) / float64(serviceTime)})
	is.True(pressures[100][e.Class()] > 0.4) // within a second
	for _, p := range pressures[200:] {
		is.True(p[e.Class()] > 0.35 && p[e.Class()] < 0.75)
	}
}

// TestLessUrgentRequestsAreRefusedForMoreUrgentOnes offers six tenths of what the slots can
// serve in each of two classes: all requests of the urgent class fit.
func TestLessUrgentRequestsAreRefusedForMoreUrgentOnes(t *testing.T) {
	is := is.New(t)
	urgent, other := envelopeOf(0, "orders"), envelopeOf(2, "reads")
	perTick := 0.6 * slotCount * float64(tick) / float64(serviceTime)
	pressures := simulate(t, 1000, load{envelope: urgent, perTick: perTick}, load{envelope: other, perTick: perTick})
	refused := 0.0
	for _, p := range pressures[200:] {
		is.True(p[urgent.Class()] < 0.05)
		refused += p[other.Class()] / float64(len(pressures)-200)
	}
	is.True(refused > 0.35 && refused < 0.65) // of the 0.6 that the class needs, 0.92 x 0.94 - 0.6 is available
}

// TestCallsPutNoPressureOnMoreUrgentClasses overloads the server with downstream calls of
// less urgent requests. The pressure applies to the class of these requests and not to the
// more urgent class.
func TestCallsPutNoPressureOnMoreUrgentClasses(t *testing.T) {
	is := is.New(t)
	urgent, call := envelopeOf(0, "photos"), envelopeOf(0, "listing")
	call.Downstream, call.ParentClass = true, envelopeOf(3, "").Class()
	pressures := simulate(t, 500,
		load{envelope: urgent, perTick: 0.1 * slotCount * float64(tick) / float64(serviceTime)},
		load{envelope: call, perTick: 3 * slotCount * float64(tick) / float64(serviceTime)})
	last := pressures[len(pressures)-1]
	is.Equal(last[urgent.Class()], 0.0)
	is.True(last[call.ParentClass] > 0.5)
}
