package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignHeartbeat has another writer send one heartbeat with a service that no configuration names to the
// daemon beside a server of the service recipes. It then checks what X-Caller-Service says of requests that
// begin on that machine, and whether the machine's own server is still used.
func foreignHeartbeat(trouble bool) {
	s := newStore()
	a, b, c := newHost("host-a", "zone-a", "recipes", s), newHost("host-b", "zone-b", "orders", s), newHost("host-c", "zone-c", "payments", s)
	s.writeConfiguration(1, []any{
		service("recipes"), service("orders"), service("payments"), tenant("bakery", "key-bakery"),
		route("recipe-read", "/recipes/", "idempotent", "recipes", "5000ms", false),
		route("flour-order", "/orders/", "non_idempotent", "orders", "5000ms", false),
	})
	for _, h := range hosts {
		h.start()
	}
	recipes, orders := startServer(a, "i-recipes-1", 200, 10*time.Millisecond), startServer(b, "i-orders-1", 200, 10*time.Millisecond)
	startServer(c, "i-payments-1", 200, 10*time.Millisecond)
	awaitReady(10*time.Second, hosts...)
	time.Sleep(5 * time.Second)
	for i := range 3 {
		id := fmt.Sprintf("before-%d", i)
		if x := a.send(id, http.MethodPost, "/orders/x", "key-bakery", 5*time.Second); x.status != http.StatusOK {
			fail("request before the disruption got status %d, %v", x.status, x.err)
		}
		if x := b.send(id+"-read", http.MethodGet, "/recipes/x", "key-bakery", 5*time.Second); x.status != http.StatusOK {
			fail("request before the disruption got status %d, %v", x.status, x.err)
		}
	}
	if trouble {
		status, err := sendHeartbeat(a.control, "i-other-7", map[string]any{
			"service": "unheard-of", "address": a.app, "zone": "zone-a", "version": "v1", "capacity": 50, "state": "ready",
			"cold_left": "0ms", "seq": 1, "born": time.Now().UnixMilli(),
		})
		record("foreign heartbeat with service=unheard-of: status=%d %v", status, err)
	}
	violations, refused := 0, 0
	for i := range 30 {
		time.Sleep(time.Second)
		id := fmt.Sprintf("after-%d", i)
		a.send(id, http.MethodPost, "/orders/x", "key-bakery", 5*time.Second)
		if x := b.send(id+"-read", http.MethodGet, "/recipes/x", "key-bakery", 5*time.Second); x.status != http.StatusOK {
			refused++
		}
	}
	for _, r := range orders.ran() {
		if r.caller != a.service {
			violations++
			record("UNASKED id=%s ran with x-caller-service=%s, it began on the machine of service %s", r.id, r.caller, a.service)
		}
	}
	record("%d of 30 requests for the service of host-a were not served, %d ran there", refused, len(recipes.ran()))
	conclude(violations, "UNASKED")
}
