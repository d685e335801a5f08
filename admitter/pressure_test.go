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

// load is an open stream of requests of one class to an admitter, thinned at the entry
// by the pressure that the admitter told a while before.
type load struct {
	envelope catkinrun.Envelope
	perTick  float64 // requests that callers make in a tick
}

const (
	tick      = 10 * time.Millisecond
	service   = 100 * time.Millisecond
	entryLag  = 30 // ticks until a pressure counts at the entries
	slotCount = 100
)

// play runs the streams for some ticks on a server that serves each request in the service
// time, and returns the pressure after each tick.
func play(t *testing.T, ticks int, loads ...load) []catkinrun.Pressure {
	t.Helper()
	a, c := newAdmitter(slotCount)
	random := rand.New(rand.NewPCG(7, 7))
	ended, cancel := context.WithCancel(context.Background())
	cancel() // nothing waits
	for _, l := range loads {
		if err := a.Acquire(context.Background(), l.envelope); err != nil {
			t.Fatal(err)
		}
		a.Release(l.envelope, service) // the service time is known
	}
	running := make(map[int][]catkinrun.Envelope) // by the tick of their end
	told := make([]catkinrun.Pressure, entryLag)
	for now := range ticks {
		c.Advance(tick)
		for _, e := range running[now] {
			a.Release(e, service)
		}
		delete(running, now)
		for _, l := range loads {
			offer(ended, a, l, told[now], random, running, now)
		}
		told = append(told, a.Pressure())
	}
	return told[entryLag:]
}

func offer(ctx context.Context, a *admitter.Admitter, l load, pressure catkinrun.Pressure, random *rand.Rand, running map[int][]catkinrun.Envelope, now int) {
	part := pressure[l.envelope.Class()]
	for n := l.perTick; n > random.Float64(); n-- {
		if random.Float64() < part {
			continue
		}
		e := l.envelope
		e.Weight = 1 / (1 - part)
		if a.Acquire(ctx, e) == nil {
			end := now + int(service/tick)
			running[end] = append(running[end], e)
		}
	}
}

func of(urgency catkinrun.Priority, route string) catkinrun.Envelope {
	return catkinrun.Envelope{Request: "r", Route: route, Urgency: urgency, TimeLeft: time.Minute, Objective: time.Minute}
}

// TestPressureMeetsAnOverloadAtOnceAndDoesNotSwing offers twice what there is room for.
func TestPressureMeetsAnOverloadAtOnceAndDoesNotSwing(t *testing.T) {
	is := is.New(t)
	e := of(0, "orders")
	told := play(t, 1000, load{envelope: e, perTick: 2 * slotCount * float64(tick) / float64(service)})
	is.True(told[100][e.Class()] > 0.4) // within a second
	for _, p := range told[200:] {
		is.True(p[e.Class()] > 0.35 && p[e.Class()] < 0.75)
	}
}

// TestLessUrgentWorkIsRefusedForMoreUrgentOne offers six tenths of the room to each of two
// classes: the urgent one fits whole.
func TestLessUrgentWorkIsRefusedForMoreUrgentOne(t *testing.T) {
	is := is.New(t)
	urgent, other := of(0, "orders"), of(2, "reads")
	perTick := 0.6 * slotCount * float64(tick) / float64(service)
	told := play(t, 1000, load{envelope: urgent, perTick: perTick}, load{envelope: other, perTick: perTick})
	refused := 0.0
	for _, p := range told[200:] {
		is.True(p[urgent.Class()] < 0.05)
		refused += p[other.Class()] / float64(len(told)-200)
	}
	is.True(refused > 0.35 && refused < 0.65) // 0.92 x 0.94 - 0.6 of 0.6 fits
}

// TestCallsDoNotRefuseWhatIsMoreUrgent lets calls for less urgent requests fill the
// server: urgent requests beside them meet no pressure.
func TestCallsDoNotRefuseWhatIsMoreUrgent(t *testing.T) {
	is := is.New(t)
	urgent, call := of(0, "photos"), of(0, "listing")
	call.Call, call.Parent = true, of(3, "").Class()
	told := play(t, 500,
		load{envelope: urgent, perTick: 0.1 * slotCount * float64(tick) / float64(service)},
		load{envelope: call, perTick: 3 * slotCount * float64(tick) / float64(service)})
	last := told[len(told)-1]
	is.Equal(last[urgent.Class()], 0.0)
	is.True(last[call.Parent] > 0.5)
}
