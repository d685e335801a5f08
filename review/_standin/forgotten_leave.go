package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// forgottenLeave has a server deregister during a store outage, and the daemon that has acknowledged it stopped
// as planned and started again. After both, and contact, it checks whether the server gets new requests.
func forgottenLeave(trouble bool) {
	s := newStore()
	a, b, c := newHost("host-a", "zone-a", "recipes", s), newHost("host-b", "zone-b", "orders", s), newHost("host-c", "zone-c", "orders", s)
	s.writeConfiguration(1, []any{
		service("recipes"), service("orders"), tenant("bakery", "key-bakery"),
		route("recipe-read", "/recipes/", "idempotent", "recipes", "5000ms", false),
		route("flour-order", "/orders/", "non_idempotent", "orders", "5000ms", false),
	})
	for _, h := range hosts {
		h.start()
	}
	startServer(a, "i-recipes-1", 200, 10*time.Millisecond)
	leaver := startServer(b, "i-orders-1", 200, time.Second)
	startServer(c, "i-orders-2", 200, time.Second)
	awaitReady(10*time.Second, hosts...)
	time.Sleep(6 * time.Second)
	if x := a.send("before", http.MethodPost, "/orders/x", "key-bakery", 5*time.Second); x.status != http.StatusOK {
		fail("request before the disruption got status %d, %v", x.status, x.err)
	}
	silent := func(silent bool) {
		for _, h := range hosts {
			h.store.setSilent(silent)
		}
		record("store: silent=%t", silent)
	}
	if trouble {
		silent(true)
	}
	time.Sleep(500 * time.Millisecond)
	if err := leaver.deregister(); err != nil {
		fail("deregistration not acknowledged: %v", err)
	}
	acknowledged := time.Now()
	record("server  %s: deregistration acknowledged", leaver.id)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		b.signal(syscall.SIGTERM)
		<-b.ended
		b.start()
	}
	time.Sleep(time.Until(acknowledged.Add(3500 * time.Millisecond)))
	if trouble {
		silent(false)
	}
	time.Sleep(contact + 500*time.Millisecond)
	var clients sync.WaitGroup
	sentAt := time.Now()
	lost := make([]answer, 6)
	for i := range lost {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lost[i] = a.send(fmt.Sprintf("order-%d", i), http.MethodPost, "/orders/x", "key-bakery", 5*time.Second)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	leaver.end()
	record("server  %s: ended, %.1f s after the acknowledgement", leaver.id, time.Since(acknowledged).Seconds())
	clients.Wait()
	violations := 0
	for _, r := range leaver.ran() {
		if r.at.After(sentAt) {
			violations++
			record("DRAIN   id=%s reached %s %.1f s after its deregistration was acknowledged", r.id, leaver.id, r.at.Sub(acknowledged).Seconds())
		}
	}
	for i, x := range lost {
		if x.status != http.StatusOK {
			record("order-%d got no result: status=%d %v", i, x.status, x.err)
		}
	}
	conclude(violations, "DRAIN")
}
