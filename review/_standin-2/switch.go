package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// spoiledShare is the share of the answers of a faulty server that are no answer.
	spoiledShare = 0.03
	// faultTime is how long one of the three servers is faulty, and quietTime how long the traffic goes on afterwards.
	faultTime, quietTime = 5 * time.Second, 10 * time.Second
	// sendInterval is the time between two requests at each host.
	sendInterval = 8 * time.Millisecond
	routeTimeout = time.Second
	// answerSlack is how long after the route's timeout an answer may arrive.
	answerSlack = 500 * time.Millisecond
)

// switchProtocols has one of three servers answer some requests with the head of a 101 response and bytes that do not
// end until the caller closes the connection. It counts the requests that get no answer in time.
func switchProtocols(r *record, trouble bool) result {
	f := newFleet(r)
	defer f.stop()
	for _, zone := range []string{"a", "b", "c"} {
		f.addHost(hostSpec{name: "stall-" + zone, zone: "gt-central-" + zone, service: "mercado"})
	}
	var faultyUntil time.Time
	var mu sync.Mutex
	spoiled, count := 0, 0
	spoils := func(s *server) bool {
		mu.Lock()
		defer mu.Unlock()
		if s.host != f.hosts[0] || !time.Now().Before(faultyUntil) {
			return false
		}
		count++
		if float64(spoiled+1) > spoiledShare*float64(count) {
			return false
		}
		spoiled++
		return true
	}
	f.startAll([]any{
		route("r-pay", "/pay/", "idempotent", "1000ms", 2, false, "mercado"), service("mercado"),
		tenant("panaderia", "key-of-panaderia-0001", 1000, 1000), limits(),
	}, func(h *host) *server {
		return &server{host: h, record: r, capacity: 54, work: 20 * time.Millisecond, before: func(s *server, w http.ResponseWriter, q *http.Request) bool {
			if !spoils(s) {
				return false
			}
			r.add("spoiled", q.Header.Get("X-Request-Id")+" at "+s.id)
			conn, _, err := w.(http.Hijacker).Hijack()
			check(err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: none\r\n\r\n"))
			for ; err == nil; time.Sleep(100 * time.Millisecond) { // until the caller closes
				_, err = conn.Write([]byte("."))
			}
			r.add("closed", q.Header.Get("X-Request-Id")+" by the daemon")
			return true
		}}
	})
	mu.Lock()
	if trouble {
		faultyUntil = time.Now().Add(faultTime)
	}
	mu.Unlock()
	start := time.Now()
	answers := make(chan answer, 100000)
	var clients sync.WaitGroup
	for _, h := range f.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Since(start) < faultTime+quietTime {
				clients.Add(1)
				go func() {
					defer clients.Done()
					answers <- request{host: h, method: http.MethodGet, path: "/pay/fee", key: "key-of-panaderia-0001", deadline: 5 * time.Second}.send(r)
				}()
				time.Sleep(sendInterval)
			}
		}()
	}
	clients.Wait()
	close(answers)
	time.Sleep(time.Second)
	running := f.hosts[0].running()
	late, never := 0, 0
	for a := range answers {
		took := a.at.Sub(a.sentAt)
		if took > routeTimeout {
			late++
			if took > routeTimeout+answerSlack {
				never++
			}
		}
	}
	text := fmt.Sprintf("%d answers were spoiled; of %d requests without an answer at the timeout of their route, %d had none %v later; the daemon counts %d requests as running after all clients have left",
		spoiled, late, never, answerSlack, running)
	return result{never >= 8 && 2*never > late, text}
}
