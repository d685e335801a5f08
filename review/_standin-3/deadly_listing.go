package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["deadly-listing"] = deadlyListing }

// sentBeforeCrash is how much of its answer a server sends before it crashes.
const sentBeforeCrash = 100 << 10

// runListing keeps a server beside a host. It crashes while it sends the answer to a deadly request, and is back after
// downTime with a new start.
func (f *fleet) runListing(h *host, trouble bool, ends *crashes) error {
	s := &server{host: h, id: "i-" + h.name}
	s.handle = func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/deadly") {
			time.Sleep(20 * time.Millisecond)
			_, _ = w.Write([]byte("ok\n"))
			return
		}
		f.record.note("server %s begins to run the deadly request %s", s.id, r.Header.Get("X-Request-Id"))
		_, _ = w.Write([]byte(strings.Repeat("x", sentBeforeCrash)))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		if !trouble {
			return
		}
		f.record.note("server %s crashes: crash %d", s.id, ends.add())
		go func() {
			s.crash()
			time.Sleep(downTime)
			if err := f.runListing(h, trouble, ends); err != nil {
				f.record.note("server beside %s not restarted: %v", h.name, err)
			}
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return f.startServer(s)
}

// deadlyListing sends one deadly request again and again beside the orders of other users.
func deadlyListing(f *fleet, trouble bool) (bool, error) {
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
		if err := f.runListing(h, trouble, ends); err != nil {
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
	for n := range 6 {
		clients.Go(func() { b.run(hosts[n%len(hosts)]) })
	}
	time.Sleep(time.Second)
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
		if err := c.send("POST", "/orders/deadly", id, 3*time.Second, deadlyOrder); err != nil {
			return false, err
		}
		response, body, err := c.receive(4*time.Second, "POST", func() {})
		_ = c.Close()
		ran := ends.count() > before
		f.record.note("deadly request %s at %s: %s; crashed a server: %v; sent later than contact after the third crash: %v", id, h.name, answered(response, body, err), ran, late)
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
