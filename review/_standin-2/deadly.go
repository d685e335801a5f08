package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	contact = 3 * time.Second
	// deadlyInterval is the time after which a client sends the deadly request again.
	deadlyInterval = 2 * time.Second
	// downTime is the time after which a server that has crashed is back.
	downTime = 3 * time.Second
	// maxRetries is the bound of the rule.
	maxRetries = 3
)

// deadly sends one request that crashes each server that begins to run it, again and again, to a service that has no
// other traffic at the time. It counts how often the request reaches a server later than contact after the third crash.
func deadly(r *record, trouble bool) result {
	f := newFleet(r)
	defer f.stop()
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 2 {
			f.addHost(hostSpec{name: fmt.Sprintf("bakery-%s%d", zone, i+1), zone: "gt-central-" + zone, service: "molino"})
		}
	}
	type reach struct {
		at time.Time
		id string
	}
	reaches := make(chan reach, 1000)
	f.startAll([]any{
		route("r-order", "/orders/", "non_idempotent", "5000ms", 2, false, "molino"), service("molino"),
		tenant("panaderia", "key-of-panaderia-0001", 100, 100), limits(),
	}, func(h *host) *server {
		return &server{host: h, record: r, capacity: 188, work: 20 * time.Millisecond, before: func(s *server, w http.ResponseWriter, q *http.Request) bool {
			if !trouble || !strings.HasPrefix(q.URL.Path, "/orders/deadly") {
				return false
			}
			r.add("crash", s.id+" by "+q.Header.Get("X-Request-Id"))
			reaches <- reach{time.Now(), q.Header.Get("X-Request-Id")}
			s.crash(downTime)
			panic(http.ErrAbortHandler)
		}}
	})
	send := func(i int, path string) answer {
		entry := f.hosts[2*(i%3)]
		return request{host: entry, method: http.MethodPost, path: path, key: "key-of-panaderia-0001", body: []byte("flour 20"), deadline: 5 * time.Second}.send(r)
	}
	for i := range 30 { // the orders of the day
		if a := send(i, "/orders/usual"); a.status != http.StatusOK {
			return result{false, "a usual order failed before the disruption"}
		}
	}
	sent := make(map[string]time.Time)
	for i := range 20 {
		next := time.Now().Add(deadlyInterval)
		a := send(i, "/orders/deadly")
		sent[a.id] = a.sentAt
		if !trouble && a.status != http.StatusOK {
			return result{true, "an order failed without a disruption"}
		}
		time.Sleep(time.Until(next))
	}
	close(reaches)
	var third time.Time
	crashes, late := 0, 0
	for c := range reaches {
		if crashes++; crashes == 3 {
			third = c.at
		}
		if crashes > 3 && sent[c.id].Sub(third) > contact {
			late++
		}
	}
	return result{late > maxRetries, fmt.Sprintf("the request crashed %d servers; %d of its retries that were sent later than %v after the third crash reached a server, %d are allowed", crashes, late, contact, maxRetries)}
}
