package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// configApply is the time after which a configuration must be in force.
	configApply = 2 * time.Second
	// maxCutShare is the largest share of machines that the pages cut off.
	maxCutShare = 0.35
	// cutTime is the length of the cut.
	cutTime = 5 * time.Second
)

// watchers cuts the daemons that watch the store for the others off from the store, at the moment of a change of
// the configuration. It counts the requests that the other daemons, which can reach the store and all daemons, have
// sent by the older version too late.
func watchers(r *record, trouble bool) result {
	f := newFleet(r)
	defer f.stop()
	for _, zone := range []string{"a", "b", "c"} {
		for i, s := range []string{"recetario", "molino", "vitrina", "mercado"} {
			f.addHost(hostSpec{name: fmt.Sprintf("sidecar-gt-central-%s-%d", zone, i+1), zone: "gt-central-" + zone, service: s})
		}
	}
	configuration := func(target, timeout string) []any {
		return []any{
			route("r-order", "/orders/", "non_idempotent", timeout, 2, false, target),
			service("recetario"), service("molino"), service("vitrina"), service("mercado"),
			tenant("panaderia", "key-of-panaderia-0001", 1000, 1000), limits(),
		}
	}
	var mu sync.Mutex
	ranBy := make(map[string]string) // service, by request
	watching := make(map[*host]int)
	for _, h := range f.hosts {
		h.store.onGet = func(line string) {
			if strings.Contains(line, "rows-feed") && strings.Contains(line, "table=op") {
				mu.Lock()
				watching[h]++
				mu.Unlock()
			}
		}
	}
	f.startAll(configuration("molino", "5000ms"), func(h *host) *server {
		return &server{host: h, record: r, capacity: 188, work: 20 * time.Millisecond, before: func(s *server, _ http.ResponseWriter, q *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			ranBy[q.Header.Get("X-Request-Id")] = s.host.service
			return false
		}}
	})
	mu.Lock()
	clear(watching)
	mu.Unlock()
	time.Sleep(3 * time.Second)
	var cut []*host
	mu.Lock()
	for _, h := range f.hosts {
		if watching[h] > 0 {
			cut = append(cut, h)
			r.add("watcher", h.name)
		}
	}
	mu.Unlock()
	if float64(len(cut)) > maxCutShare*float64(len(f.hosts)) {
		fail(2, "too many daemons watch the store")
	}

	answers := make(chan answer, 100000)
	from := make(map[string]*host)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range f.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := request{host: h, method: http.MethodPost, path: "/orders/flour", key: "key-of-panaderia-0001", body: []byte("flour 20"), deadline: 5 * time.Second}.send(r)
					mu.Lock()
					from[a.id] = h
					mu.Unlock()
					answers <- a
				}()
			}
		}()
	}
	time.Sleep(time.Second)
	f.configure(2, configuration("molino", "4000ms"))
	time.Sleep(5600 * time.Millisecond)
	if trouble {
		for _, h := range cut {
			h.store.cut(true)
		}
		r.add("cut", "the watchers from the store")
	}
	time.Sleep(50 * time.Millisecond)
	acknowledged := f.configure(3, configuration("vitrina", "4000ms"))
	time.Sleep(cutTime)
	for _, h := range cut {
		h.store.cut(false)
	}
	r.add("healed", "")
	time.Sleep(2 * time.Second)
	close(done)
	clients.Wait()
	close(answers)
	isolated := 0
	if trouble {
		isolated = len(cut)
	}
	stale, checked := 0, 0
	last := time.Duration(0)
	for a := range answers {
		after := a.sentAt.Sub(acknowledged)
		entry := from[a.id]
		inTouch := true
		for _, h := range cut {
			inTouch = inTouch && h != entry
		}
		if !inTouch || after <= configApply {
			continue
		}
		checked++
		if ranBy[a.id] == "molino" {
			stale++
			last = max(last, after)
		}
	}
	return result{stale > 0, fmt.Sprintf("%d of %d daemons were cut off from the store; of %d requests that the others took later than %v after the acknowledgement, %d were run by the old service, the last sent %v after it",
		isolated, len(f.hosts), checked, configApply, stale, last.Round(time.Millisecond))}
}
