//go:build measure

package measure

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/standin/backend"
	"github.com/catkinrun/catkinrun/standin/caller"
)

// service is one line of a scenario: so many servers, slots and work.
type service struct {
	name    string
	servers int
	slots   int
	work    time.Duration
	calls   map[string]string
}

// stream is one kind of request, with its rate in ordinary times.
type stream struct {
	name, method, path, service string
	priority                    catkinrun.Priority
	idempotent                  bool
	rate                        float64 // requests per second, all teams together
	dedupe                      bool
}

// scenario is one of the users' systems, scaled to one machine with its ratios kept.
type scenario struct {
	name     string
	services []service
	streams  []stream
	deep     string  // service that slows in the trigger
	capacity float64 // whole requests per second that the deepest service allows
	key      string  // stream whose requests matter most
	chained  string  // stream that needs the deep service
}

// The services' slots are those of the brief divided by eight, their work is long, so
// that one machine can offer three times their capacity.
var scenarios = []scenario{
	{
		name: "horno-sol",
		services: []service{
			{"recipes", 3, 20, 200 * time.Millisecond, nil},
			{"orders", 3, 20, 50 * time.Millisecond, map[string]string{"/orders": "POST /pay"}},
			{"payments", 3, 6, 100 * time.Millisecond, nil},
			{"photos", 3, 20, 200 * time.Millisecond, nil},
		},
		streams: []stream{
			{"cards", http.MethodGet, "/cards", "recipes", catkinrun.Normal, true, 100, false},
			{"orders", http.MethodPost, "/orders", "orders", catkinrun.Important, false, 30, true},
			{"prices", http.MethodPost, "/orders/prices", "orders", catkinrun.Normal, false, 90, false},
			{"stall-photos", http.MethodPost, "/photos", "photos", catkinrun.Deferrable, false, 60, false},
		},
		deep: "payments", key: "orders", chained: "prices",
	},
	{
		name: "corrib",
		services: []service{
			{"status", 4, 15, 100 * time.Millisecond, nil},
			{"bookings", 3, 18, 50 * time.Millisecond, map[string]string{"/bookings": "POST /dispatch"}},
			{"photos", 3, 18, 200 * time.Millisecond, nil},
			{"dispatch", 3, 4, 80 * time.Millisecond, nil},
		},
		streams: []stream{
			{"repairs", http.MethodGet, "/repairs", "status", catkinrun.Normal, true, 100, false},
			{"bookings", http.MethodPost, "/bookings", "bookings", catkinrun.Important, false, 25, true},
			{"quotes", http.MethodPost, "/bookings/quote", "bookings", catkinrun.Normal, false, 75, false},
			{"damage", http.MethodPost, "/damage", "photos", catkinrun.Deferrable, false, 50, false},
		},
		deep: "dispatch", key: "bookings", chained: "quotes",
	},
}

const (
	teamCount    = 8
	surge        = 3 // times the ordinary rate
	slowness     = 4 // times the deep service's work
	greedy       = 10
	ordinaryTime = 6 * time.Second
	triggerTime  = 15 * time.Second
	afterTime    = 10 * time.Second
)

func TestOverload(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) { s.run(t) })
	}
}

// build starts the scenario's hosts and declares its routes and teams.
func (s scenario) build(t *testing.T) (c *cluster, keys []string) {
	c = newCluster(t)
	for _, sv := range s.services {
		for i := range sv.servers {
			c.add(fmt.Sprintf("zone-%d", i%3), backend.Settings{Service: sv.name, Slots: sv.slots, Work: sv.work, Calls: sv.calls})
		}
	}
	c.waitReady()
	var resources []catkinrun.Resource
	for _, st := range s.streams {
		resources = append(resources, route(st.name, st.service, st.method, st.path, st.priority, st.idempotent))
	}
	deepPath := "/pay"
	if s.deep == "dispatch" {
		deepPath = "/dispatch"
	}
	resources = append(resources, route("deep", s.deep, http.MethodPost, deepPath, catkinrun.Normal, false))
	for i := range teamCount {
		resources = append(resources, team(fmt.Sprintf("team-%d", i), s.teamRate(), 2*s.teamRate()))
	}
	c.declare(resources...)
	for i := range teamCount {
		keys = append(keys, c.key(fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i)))
	}
	time.Sleep(12 * time.Second) // brokers wait out earlier epochs
	for _, key := range keys {
		c.warm(key, s.streams[0].method, s.streams[0].path)
	}
	return c, keys
}

// teamRate lets each team surge.
func (s scenario) teamRate() float64 {
	sum := 0.0
	for _, st := range s.streams {
		sum += st.rate
	}
	return sum * surge * 1.2 / teamCount
}

// streamsFor returns one load stream per team and kind. Times is the factor on the
// ordinary rate for all kinds but the important one, which stays inside its own.
func (s scenario) streamsFor(c *cluster, keys []string, phase string, times float64, length time.Duration, retries int) []caller.Settings {
	var list []caller.Settings
	for _, st := range s.streams {
		for i, key := range keys {
			rate := st.rate / teamCount * times
			if st.name == s.key {
				rate = st.rate / teamCount
			}
			if phase == "trigger" && i == 0 && st.name != s.key {
				rate = st.rate / teamCount * greedy
			}
			list = append(list, caller.Settings{
				Name: fmt.Sprintf("%s-%s-%d", phase, st.name, i), URLs: c.urls(), Method: st.method, Path: st.path,
				Key: key, Rate: rate, Duration: length, Retries: retries, Dedupe: st.dedupe, Patience: 2500 * time.Millisecond,
			})
		}
	}
	return list
}

// pick adds up the results of one kind over the teams.
func pick(results map[string]caller.Result, phase, kind string) (sent, answered int, refused map[string]int) {
	refused = make(map[string]int)
	for i := range teamCount {
		r := results[fmt.Sprintf("%s-%s-%d", phase, kind, i)]
		sent += r.Sent
		answered += r.Answered
		for reason, n := range r.Refused {
			refused[reason] += n
		}
	}
	return sent, answered, refused
}

func (s scenario) run(t *testing.T) {
	c, keys := s.build(t)
	ordinary := c.load(s.streamsFor(c, keys, "ordinary", 1, ordinaryTime, 0)...)
	sent, refusedInside := 0, 0
	for _, st := range s.streams {
		n, answered, refused := pick(ordinary, "ordinary", st.name)
		sent += n
		refusedInside += n - answered
		fmt.Println("# ordinary", s.name, st.name, n, answered, refused)
	}
	atMost(s.name+"-refused-inside-rate-percent", percent(refusedInside, sent), "%", 0.1)

	before := s.wasted(c)
	after := make(chan map[string]caller.Result, 1)
	go func() {
		time.Sleep(triggerTime)
		after <- c.load(s.streamsFor(c, keys, "after", 1, afterTime, 0)...)
	}()
	s.slow(c, slowness)
	time.AfterFunc(triggerTime, func() { s.slow(c, 1) })
	trigger := c.load(s.streamsFor(c, keys, "trigger", surge, triggerTime, 3)...)
	s.report(trigger, s.wasted(c).minus(before))
	fmt.Println("# outcomes of requests by listener", c.outcomes())
	s.recovery(<-after)
}

func (s scenario) slow(c *cluster, times int) {
	for _, sv := range s.services {
		if sv.name != s.deep {
			continue
		}
		for _, h := range c.hosts {
			if c.serverOf(h) == sv.name {
				h.server.SetControl(backend.Control{WorkMS: int(sv.work.Milliseconds()) * times})
			}
		}
	}
}

func (c *cluster) serverOf(h *host) string { return h.server.Service() }

// work counts the runs of servers, and those whose caller went away or whose call
// to a deeper service failed.
type work struct{ runs, wasted int }

func (w work) minus(other work) work { return work{w.runs - other.runs, w.wasted - other.wasted} }

func (s scenario) wasted(c *cluster) work {
	var w work
	for _, h := range c.hosts {
		r := h.server.Report()
		w.runs += r.Finished + r.Cancelled + r.ChildFails
		w.wasted += r.Cancelled + r.ChildFails
	}
	return w
}

// report prints the figures of the time under overload.
func (s scenario) report(results map[string]caller.Result, w work) {
	tries, sent := 0, 0
	for _, r := range results {
		tries += r.Tries
		sent += r.Sent
	}
	keySent, keyAnswered, keyRefused := pick(results, "trigger", s.key)
	atLeast(s.name+"-important-served-percent", percent(keyAnswered, keySent), "%", 99.9)
	fmt.Println("# important refused", keyRefused)
	deep := s.service(s.deep)
	capacity := float64(deep.servers*deep.slots) / (slowness * deep.work.Seconds()) * triggerTime.Seconds()
	_, chained, refused := pick(results, "trigger", s.chained)
	atLeast(s.name+"-goodput-percent-of-capacity", 100*float64(chained+keyAnswered)/capacity, "%", 95)
	fmt.Println("# chained refused", refused)
	top := s.service(s.streams[0].service)
	topCapacity := min(float64(top.servers*top.slots)/top.work.Seconds()*0.9, s.streams[0].rate*surge) * triggerTime.Seconds()
	_, front, frontRefused := pick(results, "trigger", s.streams[0].name)
	atLeast(s.name+"-front-goodput-percent-of-capacity", 100*float64(front)/topCapacity, "%", 95)
	fmt.Println("# front refused", frontRefused)
	worst := s.worstTeam(results, front)
	atLeast(s.name+"-worst-team-percent", worst, "%", 95)
	atMost(s.name+"-wasted-work-percent", percent(w.wasted, max(1, w.runs)), "%", 2)
	note(s.name+"-caller-tries-per-request", float64(tries)/float64(sent), "tries")
}

func (s scenario) service(name string) service {
	for _, sv := range s.services {
		if sv.name == name {
			return sv
		}
	}
	return service{}
}

// worstTeam is the least goodput of a team that stays inside its rate, of the front
// stream, as a part of its fair share: an even part, or what it sent if that is less.
func (s scenario) worstTeam(results map[string]caller.Result, all int) float64 {
	fair := float64(all) / teamCount
	worst := 1000.0
	for i := 1; i < teamCount; i++ {
		r := results[fmt.Sprintf("trigger-%s-%d", s.streams[0].name, i)]
		worst = min(worst, 100*float64(r.Answered)/min(fair, float64(r.Sent)))
	}
	return worst
}

// recovery is the time from the end of the trigger until 99 % of the requests that
// begin in each later second are answered.
func (s scenario) recovery(results map[string]caller.Result) {
	recovered := 0
	var line []string
	for second := range int(afterTime.Seconds()) - 1 {
		begun, good := 0, 0
		for _, r := range results {
			begun += at(r.Begun, second)
			good += at(r.Good, second)
		}
		line = append(line, fmt.Sprintf("%d/%d", good, begun))
		if percent(good, begun) < 99 {
			recovered = second + 1
		}
	}
	fmt.Println("# after the trigger, answered of begun by second", line)
	atMost(s.name+"-recovery-seconds", float64(recovered), "s", 2)
}

func at(counts []int, i int) int {
	if i < len(counts) {
		return counts[i]
	}
	return 0
}
