//go:build measure

package measure

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/operator"
	"github.com/catkinrun/catkinrun/standin/backend"
	"github.com/catkinrun/catkinrun/standin/caller"
	"github.com/catkinrun/catkinrun/standin/platform"
)

// newFleet starts twelve hosts of four services in three zones.
func newFleet(t *testing.T) *cluster {
	c := newCluster(t)
	for i := range 12 {
		c.add(fmt.Sprintf("zone-%d", i%3), backend.Settings{
			Service: fmt.Sprintf("service-%d", i/3), Slots: 100, Work: 2 * time.Millisecond,
		})
	}
	c.waitReady()
	resources := []catkinrun.Resource{team("big", 2000, 2000)}
	for i := range 4 {
		resources = append(resources,
			route(fmt.Sprintf("get-%d", i), fmt.Sprintf("service-%d", i), http.MethodGet, fmt.Sprintf("/get/%d", i), catkinrun.Normal, true),
			route(fmt.Sprintf("post-%d", i), fmt.Sprintf("service-%d", i), http.MethodPost, fmt.Sprintf("/post/%d", i), catkinrun.Important, false))
	}
	c.declare(resources...)
	return c
}

func TestGuarantees(t *testing.T) {
	c := newFleet(t)
	key := c.key("big-key", "big")
	time.Sleep(2 * time.Second)
	c.warm(key, http.MethodGet, "/get/0")
	measureInForce(c)
	measureWithdrawal(c)
	measureStore(c, key)
	measureOutage(c, key)
	measureLeave(c, key)
	measureStop(c, key)
	measureOnce(c, key)
}

func measureInForce(c *cluster) {
	worst := 0.0
	for i := range 5 {
		begun := time.Now()
		v := c.declare(team(fmt.Sprintf("late-%d", i), 1, 1))
		c.waitFor("in force", 20*time.Second, func() bool {
			for _, h := range c.hosts {
				if c.status(h).Version < v {
					return false
				}
			}
			return true
		})
		worst = max(worst, time.Since(begun).Seconds())
	}
	atMost("in-force-seconds", worst, "s", 5)
}

// try sends one request on a kept connection and returns its status, 0 for none.
func (c *cluster) try(h *host, key string) int {
	request, _ := http.NewRequest(http.MethodGet, h.callerURL()+"/get/0", nil)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func measureWithdrawal(c *cluster) {
	key := c.key("gone", "big")
	frozen := c.hosts[7]
	c.waitFor("key works", 20*time.Second, func() bool {
		for _, h := range c.hosts {
			if c.try(h, key) != http.StatusOK {
				return false
			}
		}
		return true
	})
	c.signal(frozen, syscall.SIGSTOP)
	var list []catkinrun.Resource
	_ = c.api(c.hosts[0], http.MethodGet, "/v1/resources?kind=key&name=gone", nil, &list)
	withdrawn := *list[0].Key
	withdrawn.Withdrawn = true
	begun := time.Now()
	change := operator.ChangeRequest{Mutations: []catkinrun.Mutation{{Replace: list[0].Version, Resource: catkinrun.Resource{
		Kind: catkinrun.KindKey, Name: "gone", Key: &withdrawn,
	}}}}
	if err := c.api(c.hosts[0], http.MethodPost, "/v1/changes", change, nil); err != nil {
		c.t.Fatal(err)
	}
	last := time.Duration(0)
	for time.Since(begun) < 8*time.Second {
		for _, h := range c.hosts {
			if h != frozen && c.try(h, key) == http.StatusOK {
				last = time.Since(begun)
			}
		}
	}
	atMost("withdrawal-seconds", last.Seconds(), "s", 5)
	c.signal(frozen, syscall.SIGCONT)
	wrong := 0
	for range 200 {
		if c.try(frozen, key) == http.StatusOK {
			wrong++
		}
	}
	atMost("withdrawn-key-runs-after-freeze", float64(wrong), "requests", 0)
	time.Sleep(3 * time.Second)
}

func measureStore(c *cluster, key string) {
	rates := func(name string, busy func()) {
		before := c.platform.Counts()
		begun := time.Now()
		busy()
		seconds := time.Since(begun).Seconds()
		after := c.platform.Counts()
		note(name+"-store-reads-per-second", float64(after.Reads-before.Reads)/seconds, "1/s")
		note(name+"-store-writes-per-second", float64(after.Writes-before.Writes)/seconds, "1/s")
	}
	rates("idle", func() { time.Sleep(5 * time.Second) })
	rates("busy", func() {
		c.load(caller.Settings{Name: "busy", URLs: c.urls(), Method: http.MethodGet, Path: "/get/1", Key: key, Rate: 500, Duration: 5 * time.Second})
	})
}

func measureOutage(c *cluster, key string) {
	stream := caller.Settings{Name: "outage", URLs: c.urls(), Method: http.MethodGet, Path: "/get/1", Key: key, Rate: 400, Duration: 8 * time.Second}
	normal := c.load(stream)["outage"]
	c.platform.SetFaults(platform.Faults{Outage: true})
	time.Sleep(8 * time.Second)
	out := c.load(stream)["outage"]
	c.platform.SetFaults(platform.Faults{})
	atLeast("keyed-goodput-in-store-outage-percent", percent(out.Answered, normal.Answered), "%", 99)
	fmt.Println("# outage refusals", out.Refused)
	time.Sleep(2 * time.Second)
}

func measureLeave(c *cluster, key string) {
	leaver := c.hosts[4] // of service-1
	done := make(chan map[string]caller.Result)
	go func() {
		done <- c.load(caller.Settings{Name: "leave", URLs: c.urls(), Method: http.MethodGet, Path: "/get/1", Key: key, Rate: 300, Duration: 9 * time.Second})
	}()
	time.Sleep(time.Second)
	leaver.server.SetControl(backend.Control{Draining: true})
	begun := time.Now()
	last := time.Duration(0)
	seen := leaver.server.Report().Finished
	for time.Since(begun) < 7*time.Second {
		if now := leaver.server.Report().Finished; now > seen {
			seen = now
			last = time.Since(begun)
		}
		time.Sleep(5 * time.Millisecond)
	}
	r := (<-done)["leave"]
	leaver.server.SetControl(backend.Control{})
	atMost("new-work-after-leave-seconds", last.Seconds(), "s", 5)
	atMost("cut-on-drain", float64(r.Sent-r.Answered), "requests", 0)
	fmt.Println("# drain refusals", r.Refused)
}

func measureStop(c *cluster, key string) {
	leaver := c.hosts[5]
	others := append(append([]*host{}, c.hosts[:5]...), c.hosts[6:]...)
	done := make(chan map[string]caller.Result)
	go func() {
		done <- c.load(
			caller.Settings{Name: "stop", URLs: c.urls(others...), Method: http.MethodGet, Path: "/get/1", Key: key, Rate: 200, Duration: 12 * time.Second},
			caller.Settings{Name: "stop-once", URLs: c.urls(others...), Method: http.MethodPost, Path: "/post/1", Key: key, Rate: 100, Duration: 12 * time.Second, Dedupe: true},
			caller.Settings{Name: "stop-entry", URLs: c.urls(leaver), Method: http.MethodGet, Path: "/get/0", Key: key, Rate: 100, Duration: 3 * time.Second})
	}()
	time.Sleep(time.Second)
	c.signal(leaver, syscall.SIGTERM)
	_ = leaver.command.Wait()
	cut := 0
	for _, r := range <-done {
		cut += r.Sent - r.Answered
		fmt.Println("# stop refusals", r.Refused)
	}
	atMost("cut-on-planned-stop", float64(cut), "requests", 0)
	c.start(leaver)
	c.waitReady()
}

func measureOnce(c *cluster, key string) {
	var kills sync.WaitGroup
	kills.Add(1)
	go func() {
		defer kills.Done()
		for _, victim := range []int{0, 4, 8} {
			time.Sleep(4 * time.Second)
			c.platform.SetFaults(platform.Faults{LoseWrites: 2})
			c.kill(c.hosts[victim])
			time.Sleep(3 * time.Second)
			c.start(c.hosts[victim])
		}
	}()
	var streams []caller.Settings
	for i := range 3 {
		streams = append(streams, caller.Settings{
			Name: fmt.Sprintf("once-%d", i), URLs: c.urls(), Method: http.MethodPost, Path: fmt.Sprintf("/post/%d", i),
			Key: key, Rate: 140, Duration: 25 * time.Second, Dedupe: true, Retries: 3, Patience: 2 * time.Second,
		})
	}
	results := c.load(streams...)
	kills.Wait()
	runs := make(map[string]int)
	for _, h := range c.hosts {
		for run, n := range h.server.Report().Runs {
			runs[run] += n
		}
	}
	twice, sent, answered := 0, 0, 0
	falseNotRun := 0
	for name, r := range results {
		sent += r.Sent
		answered += r.Answered
		for i := range r.Sent {
			if runs[fmt.Sprintf("%s-%d", name, i)] > 1 {
				twice++
			}
		}
		for _, run := range r.NotRun {
			if runs[run] > 0 {
				falseNotRun++
			}
		}
		fmt.Println("# once refusals", name, r.Refused)
	}
	note("once-requests", float64(sent), "requests")
	atMost("duplicate-runs", float64(twice), "requests", 0)
	atMost("false-not-run", float64(falseNotRun), "requests", 0)
	note("once-answered-percent", percent(answered, sent), "%")
}

func TestRates(t *testing.T) {
	c := newFleet(t)
	var resources []catkinrun.Resource
	rates := []float64{5, 10, 20, 20, 40, 60, 100, 150}
	for i, rate := range rates {
		resources = append(resources, team(fmt.Sprintf("team-%d", i), rate, rate))
	}
	c.declare(resources...)
	keys := make([]string, len(rates))
	for i := range rates {
		keys[i] = c.key(fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i))
	}
	time.Sleep(12 * time.Second) // brokers wait out earlier epochs
	measureInside(c, keys, rates)
	measureOvershoot(c, keys, rates)
}

// measureInside sends four fifths of one team's rate, all to one host, and then to
// one host after the other.
func measureInside(c *cluster, keys []string, rates []float64) {
	const chosen = 6
	stream := caller.Settings{
		Name: "skewed", URLs: c.urls(c.hosts[1]), Method: http.MethodGet, Path: "/get/0",
		Key: keys[chosen], Rate: rates[chosen] * 0.8, Duration: 8 * time.Second,
	}
	skewed := c.load(stream)["skewed"]
	atMost("refused-inside-rate-percent-skewed", percent(skewed.Refused["rate"], skewed.Sent), "%", 0.1)
	fixed := percent(int(float64(skewed.Sent)-rates[chosen]/12*8-rates[chosen]/12), skewed.Sent)
	note("refused-inside-rate-percent-skewed-fixed-split", fixed, "%")
	refused, sent := 0, 0
	for i := range 4 {
		stream.URLs = c.urls(c.hosts[2+2*i])
		stream.Duration = 4 * time.Second
		r := c.load(stream)["skewed"]
		refused += r.Refused["rate"]
		sent += r.Sent
	}
	atMost("refused-inside-rate-percent-moving", percent(refused, sent), "%", 0.1)
}

// measureOvershoot sends three times each team's rate through all hosts, while one
// is killed and one is frozen for a while.
func measureOvershoot(c *cluster, keys []string, rates []float64) {
	var streams []caller.Settings
	for i, rate := range rates {
		streams = append(streams, caller.Settings{
			Name: fmt.Sprintf("team-%d", i), URLs: c.urls(), Method: http.MethodGet, Path: fmt.Sprintf("/get/%d", i%4),
			Key: keys[i], Rate: rate * 3, Duration: 20 * time.Second,
		})
	}
	go func() {
		time.Sleep(5 * time.Second)
		c.kill(c.hosts[3])
		c.signal(c.hosts[6], syscall.SIGSTOP)
		time.Sleep(7 * time.Second)
		c.signal(c.hosts[6], syscall.SIGCONT)
	}()
	results := c.load(streams...)
	over, worst := 0.0, 100.0
	for i, rate := range rates {
		r := results[fmt.Sprintf("team-%d", i)]
		over = max(over, overshoot(r, rate, rate))
		worst = min(worst, 100*float64(r.Answered)/(rate*20))
	}
	atMost("rate-overshoot-requests", over, "requests", 0)
	atLeast("worst-team-percent-of-rate-with-failures", worst, "%", 95)
}

// overshoot is the most that any window of whole seconds exceeds rate x window + burst.
func overshoot(r caller.Result, rate, burst float64) float64 {
	worst := 0.0
	for from := range r.Seconds {
		sum := 0.0
		for to := from; to < len(r.Seconds); to++ {
			sum += float64(r.Seconds[to])
			worst = max(worst, sum-rate*float64(to-from+1)-burst)
		}
	}
	return worst
}
