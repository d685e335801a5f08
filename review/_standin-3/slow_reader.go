package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["slow-reader"] = slowReader }

const (
	listingBytes = 300 << 10
	// readPause is how long a client that reads slowly reads nothing. The requests' deadline is 5 s.
	readPause = 3200 * time.Millisecond
	// clientBuffer is the receive buffer of a client's socket.
	clientBuffer = 32 << 10
)

// slowReader has clients upload photos on kept connections, and read the answers slowly: first while nothing else
// happens, then while the daemon of their machine is stopped with SIGTERM.
func slowReader(f *fleet, trouble bool) (bool, error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	hosts := []*host{f.newHost(1, "zone-a", "listings"), f.newHost(2, "zone-b", "listings")}
	page := strings.Repeat("x", listingBytes)
	var servers []*server
	for i, h := range hosts {
		if err := f.startDaemon(h, f.store); err != nil {
			return false, err
		}
		s := &server{host: h, id: fmt.Sprintf("i-%d", i+1)}
		s.handle = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			w.Header().Set("Content-Length", fmt.Sprint(len(page)))
			_, _ = w.Write([]byte(page))
		}
		if err := f.startServer(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.configure(1, route("photos", "/photos/", "listings", "non_idempotent", 2), service("listings"), limits()); err != nil {
		return false, err
	}
	for _, h := range hosts {
		if err := waitFor(10*time.Second, h.name, h.isReady); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	calm := uploadSlowly(f, servers, hosts[1], trouble)
	f.record.note("no disruption but clients that read slowly: %d answers cut off on kept connections (LOST: more than three)", calm)
	stop := time.AfterFunc(300*time.Millisecond, func() { f.signal(hosts[0], syscall.SIGTERM) })
	defer stop.Stop()
	planned := uploadSlowly(f, servers, hosts[0], trouble)
	f.record.note("a planned stop of the clients' daemon: %d answers cut off (LOST: more than none)", planned)
	return calm <= 3 && planned == 0, nil
}

// uploadSlowly sends two requests on each of eight connections to the daemon of a machine. The second answers are read
// slowly. It returns how many answers were cut off.
func uploadSlowly(f *fleet, servers []*server, h *host, slowly bool) int {
	var cut atomic.Int64
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			c, err := connect(h.caller, clientBuffer)
			if err != nil {
				f.record.note("client %d: %v", n, err)
				return
			}
			defer func() { _ = c.Close() }()
			for k := range 2 {
				paused := !slowly || k == 0
				pause := func() {
					if !paused {
						paused = true
						time.Sleep(readPause)
					}
				}
				id, sentAt := newRequestID(), time.Now()
				if err := c.send("POST", "/photos/1", id, 5*time.Second, "a photo"); err != nil {
					f.record.note("client %d: %s not sent: %v", n, id, err)
					return
				}
				response, body, err := c.receive(5*time.Second, "POST", pause)
				runs := 0
				for _, s := range servers {
					runs += s.ran(id)
				}
				f.record.note("client %d at %s: %s run %d times; after %d ms: %s", n, h.name, id, runs, time.Since(sentAt).Milliseconds(), answered(response, body, err))
				if err != nil {
					cut.Add(1)
					return
				}
			}
		})
	}
	clients.Wait()
	return int(cut.Load())
}
