package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowFactor and slowTime are how much longer the servers work, and for how long.
	slowFactor, slowTime = 12, 9 * time.Second
	// crashAfter is the time from the start of that until all servers of the service crash.
	crashAfter = 8 * time.Second
	// killAfter is the time from the crash until all daemons are killed, and daemonDown until they are started again.
	killAfter, daemonDown = time.Second, time.Second
	// recoverTime is the time after which requests must be served again.
	recoverTime = 15 * time.Second
	// measured is the time for which requests are counted before the disruption and after the recovery.
	measured = 10 * time.Second
	workTime = 480 * time.Millisecond
)

// paths is the number of different requests.
const paths = 8

// innocent sends a few different requests, each of which many callers of a team send, to a service whose servers first turn slow and then
// crash once, for another reason than the request. It counts the requests that are served after the recovery.
func innocent(r *record, trouble bool) result {
	f := newFleet(r)
	defer f.stop()
	for _, zone := range []string{"a", "b", "c"} {
		f.addHost(hostSpec{name: "stall-" + zone, zone: "gt-central-" + zone, service: "mercado"})
		f.addHost(hostSpec{name: "bakery-" + zone, zone: "gt-central-" + zone, service: "recetario"})
	}
	var isSlow atomic.Bool
	var sent atomic.Int64
	f.startAll([]any{
		route("r-pay", "/pay/", "idempotent", "5000ms", 2, false, "mercado"), service("mercado"), service("recetario"),
		tenant("panaderia", "key-of-panaderia-0001", 1000, 1000), limits(),
	}, func(h *host) *server {
		return &server{host: h, record: r, capacity: 54, work: workTime, before: func(s *server, _ http.ResponseWriter, q *http.Request) bool {
			if isSlow.Load() {
				select {
				case <-time.After((slowFactor - 1) * workTime):
				case <-q.Context().Done():
				}
			}
			return false
		}}
	})
	answers := make(chan answer, 100000)
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
				case <-time.After(200 * time.Millisecond):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					answers <- request{host: h, method: http.MethodGet, path: fmt.Sprintf("/pay/stall-%d", 1+sent.Add(1)%paths), key: "key-of-panaderia-0001", deadline: 5 * time.Second}.send(r)
				}()
			}
		}()
	}
	start := time.Now()
	time.Sleep(measured)
	fault := time.Now()
	isSlow.Store(trouble)
	time.Sleep(crashAfter)
	if trouble {
		r.add("crash", "all servers of mercado")
		for _, h := range f.hosts {
			if h.service == "mercado" {
				h.server.crash(downTime)
			}
		}
		time.Sleep(killAfter)
		r.add("kill", "all daemons")
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(daemonDown)
		for _, h := range f.hosts {
			<-h.ended
			f.startDaemon(h)
		}
	}
	isSlow.Store(false)
	time.Sleep(downTime)
	back := time.Now()
	r.add("back", "all servers and daemons")
	time.Sleep(recoverTime + measured)
	close(done)
	clients.Wait()
	close(answers)
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for a := range answers {
		switch {
		case a.sentAt.After(start) && a.sentAt.Before(fault.Add(-workTime)):
			before++
			if a.status == http.StatusOK {
				servedBefore++
			}
		case a.sentAt.After(back.Add(recoverTime)) && a.sentAt.Before(back.Add(recoverTime+measured)):
			after++
			if a.status == http.StatusOK {
				servedAfter++
			}
		}
	}
	return result{4*servedBefore >= before && 4*servedAfter < after, fmt.Sprintf("%d of %d requests were served before the disruption, and %d of %d of those sent over %v after all servers and daemons were back", servedBefore, before, servedAfter, after, recoverTime)}
}
