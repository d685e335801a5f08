package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["deadly-burst"] = deadlyBurst }

const (
	// orderWork is how long a server runs an order.
	orderWork = 400 * time.Millisecond
	// burstClients is the number of clients, each of which sends its next order after the answer to the last one. It is
	// more than the slots of all servers.
	burstClients = 700
	// deadlyOrder is the body of the order that crashes the servers that run it.
	deadlyOrder = `{"sacks":-1}`
)

// runBurst keeps a server beside a host. It crashes at the end of its work on a deadly order, and is back after downTime
// with a new start.
func (f *fleet) runBurst(h *host, trouble bool, ends *crashes) error {
	s := &server{host: h, id: "i-" + h.name}
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		body := make([]byte, 200)
		n, _ := r.Body.Read(body)
		deadly := string(body[:n]) == deadlyOrder
		if deadly {
			f.record.note("server %s begins to run the deadly order %s beside %d others", s.id, r.Header.Get("X-Request-Id"), s.running.Load()-1)
		}
		select {
		case <-time.After(orderWork):
		case <-r.Context().Done():
			return
		}
		if deadly && trouble {
			f.record.note("server %s crashes while it runs %d requests: crash %d", s.id, s.running.Load(), ends.add())
			go func() {
				s.crash()
				time.Sleep(downTime)
				if err := f.runBurst(h, trouble, ends); err != nil {
					f.record.note("server beside %s not restarted: %v", h.name, err)
				}
			}()
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
	return f.startServer(s)
}

// deadlyBurst sends one deadly order again and again while many users order at once.
func deadlyBurst(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	var hosts []*host
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		hosts = append(hosts, f.newHost(i+1, zone, "orders"))
	}
	ends := &crashes{}
	for _, h := range hosts {
		if err := f.startDaemon(h, f.store); err != nil {
			return false, err
		}
		if err := f.runBurst(h, trouble, ends); err != nil {
			return false, err
		}
	}
	if err := f.configure(1, route("orders", "/orders/", "orders", "non_idempotent", 2), service("orders"), limits()); err != nil {
		return false, err
	}
	for _, h := range hosts {
		if err := waitFor(10*time.Second, h.name, h.isReady); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	b := &burst{fleet: f, end: make(chan struct{})}
	var clients sync.WaitGroup
	for n := range burstClients {
		clients.Go(func() { b.run(hosts[n%len(hosts)]) })
	}
	time.Sleep(3 * time.Second)
	reached := 0
	for n := range 16 {
		h := hosts[n%len(hosts)]
		third, before := ends.third(), ends.count()
		late := !third.IsZero() && time.Since(third) > contact
		id := newRequestID()
		c, err := connect(h.caller, 0)
		if err != nil {
			return false, err
		}
		if err := c.send("POST", "/orders/1", id, 3*time.Second, deadlyOrder); err != nil {
			return false, err
		}
		response, body, err := c.receive(4*time.Second, "POST", func() {})
		_ = c.Close()
		ran := ends.count() > before
		f.record.note("deadly order %s at %s: %s; crashed a server: %v; sent later than contact after the third crash: %v", id, h.name, answered(response, body, err), ran, late)
		if late && ran {
			reached++
		}
		time.Sleep(deadlyInterval)
	}
	close(b.end)
	clients.Wait()
	f.record.note("other orders: %d answered 200, %d refused (503), %d ran or may have run and were lost (502, 504, no answer)", b.served.Load(), b.refused.Load(), b.lost.Load())
	f.record.note("%d servers crashed, %d retries reached servers later than contact after the third crash (BUDGET: more than three)", ends.count(), reached)
	return reached <= 3, nil
}

// burst is the orders of many users.
type burst struct {
	fleet                 *fleet
	end                   chan struct{}
	served, refused, lost atomic.Int64
}

// run sends the orders of one user, each with a body of its own.
func (b *burst) run(h *host) {
	var c *connection
	for {
		select {
		case <-b.end:
			if c != nil {
				_ = c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = connect(h.caller, 0); err != nil {
				time.Sleep(500 * time.Millisecond)
				continue
			}
		}
		id := newRequestID()
		status := b.order(c, id)
		switch status {
		case http.StatusOK:
			b.served.Add(1)
		case http.StatusServiceUnavailable:
			b.refused.Add(1)
			time.Sleep(500 * time.Millisecond)
		default:
			b.lost.Add(1)
			_ = c.Close()
			c = nil
		}
	}
}

func (b *burst) order(c *connection, id string) int {
	if err := c.send("POST", "/orders/1", id, 5*time.Second, fmt.Sprintf(`{"order":%q,"note":%q}`, id, strings.Repeat("n", 50))); err != nil {
		return 0
	}
	response, _, err := c.receive(5*time.Second, "POST", func() {})
	if err != nil {
		return 0
	}
	return response.StatusCode
}
