package main

import (
	"fmt"
	"net/http"
	"time"
)

// lostWatch has the store give no response to one machine for 4.5 s, during which the operator withdraws a
// key. It then checks for how long clients of that machine are served with the key.
func lostWatch(trouble bool) {
	const silence = 4500 * time.Millisecond
	s := newStore()
	a, b, c := newHost("host-a", "zone-a", "recipes", s), newHost("host-b", "zone-b", "orders", s), newHost("host-c", "zone-c", "payments", s)
	resources := func(keys ...string) []any {
		return []any{
			service("recipes"), service("orders"), service("payments"), tenant("bakery", keys...),
			route("recipe-read", "/recipes/", "idempotent", "recipes", "5000ms", false),
			route("flour-order", "/orders/", "non_idempotent", "orders", "5000ms", false),
		}
	}
	s.writeConfiguration(1, resources("key-kept", "key-stolen", "key-old"))
	for _, h := range hosts {
		h.start()
	}
	startServer(a, "i-recipes-1", 200, 10*time.Millisecond)
	startServer(b, "i-orders-1", 200, 10*time.Millisecond)
	startServer(c, "i-payments-1", 200, 10*time.Millisecond)
	awaitReady(10*time.Second, hosts...)
	time.Sleep(6 * time.Second)
	s.writeConfiguration(3, resources("key-kept", "key-stolen"))
	record("operator: key-old withdrawn, acknowledged")
	time.Sleep(3 * time.Second)
	if x := a.send("before-stolen", http.MethodGet, "/recipes/x", "key-stolen", 5*time.Second); x.status != http.StatusOK {
		fail("request before the disruption got status %d, %v", x.status, x.err)
	}
	if x := a.send("before-old", http.MethodGet, "/recipes/x", "key-old", 5*time.Second); x.status != http.StatusUnauthorized {
		fail("a key withdrawn before the disruption got status %d, %v", x.status, x.err)
	}
	if trouble {
		a.store.setSilent(true)
		record("store: no responses to host-a")
	}
	time.Sleep(silence / 2)
	s.writeConfiguration(6, resources("key-kept"))
	acknowledged := time.Now()
	record("operator: key-stolen withdrawn, acknowledged")
	time.Sleep(silence / 2)
	recovered := time.Now()
	if trouble {
		a.store.setSilent(false)
		record("store: responds to host-a again")
	}
	// In touch from contact after the end of the disruption; the stretched bound of the configuration is over, too.
	inForce := recovered.Add(contact)
	if stretched := acknowledged.Add(configApply + skewMax); stretched.After(inForce) {
		inForce = stretched
	}
	violations := 0
	for i := 0; time.Since(recovered) < 35*time.Second; i++ {
		x := a.send(fmt.Sprintf("after-%d", i), http.MethodGet, "/recipes/x", "key-stolen", 5*time.Second)
		if x.sentAt.After(inForce) && x.status == http.StatusOK {
			violations++
			record("CONFIG  a request was served with a key withdrawn %.1f s before, %.1f s after the end of the disruption", x.sentAt.Sub(acknowledged).Seconds(), x.sentAt.Sub(recovered).Seconds())
		}
		time.Sleep(time.Second)
	}
	if x := a.send("end-kept", http.MethodGet, "/recipes/x", "key-kept", 5*time.Second); x.status != http.StatusOK {
		fail("a valid key got status %d, %v", x.status, x.err)
	}
	conclude(violations, "CONFIG")
}
