package main

import (
	"fmt"
	"io"
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
	// socketBuffer is the receive buffer of the sockets of clients and servers.
	socketBuffer = 32 << 10
	// photoBytes is the length of a photo, and serverPauseAt how much of it a server that reads slowly reads at once.
	photoBytes    = 300 << 10
	serverPauseAt = 80 << 10
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
		s := &server{host: h, id: fmt.Sprintf("i-%d", i+1), buffer: socketBuffer}
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength > serverPauseAt {
				if whole := readSlowly(r.Body, trouble); !whole {
					f.record.note("server %s: the connection of %s ends before its body is read", s.id, r.Header.Get("X-Request-Id"))
					return
				}
				_, _ = w.Write([]byte("stored\n"))
				return
			}
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
	_ = hosts[0].process.Wait()
	if err := f.startDaemon(hosts[0], f.store); err != nil {
		return false, err
	}
	if err := waitFor(10*time.Second, hosts[0].name, hosts[0].isReady); err != nil {
		return false, err
	}
	time.Sleep(2*beatInterval + contact)
	again := time.AfterFunc(300*time.Millisecond, func() { f.signal(hosts[0], syscall.SIGTERM) })
	defer again.Stop()
	replaced := uploadPhotos(f, servers, hosts[0])
	f.record.note("another planned stop, servers read slowly: %d answers of the daemons in place of the servers' (LOST: more than none)", replaced)
	return calm <= 3 && planned == 0 && replaced == 0, nil
}

// readSlowly reads the body of an upload, with a pause if slowly is true. It reports whether it got all of it.
func readSlowly(body io.Reader, slowly bool) bool {
	if _, err := io.CopyN(io.Discard, body, serverPauseAt); err != nil {
		return false
	}
	if slowly {
		time.Sleep(readPause)
	}
	n, err := io.Copy(io.Discard, body)
	return err == nil && n == photoBytes-serverPauseAt
}

// uploadPhotos sends eight long uploads to the daemon of a machine. It returns how many got an answer that no server
// gave.
func uploadPhotos(f *fleet, servers []*server, h *host) int {
	var replaced atomic.Int64
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			c, err := connect(h.caller, 0)
			if err != nil {
				f.record.note("client %d: %v", n, err)
				return
			}
			defer func() { _ = c.Close() }()
			id, sentAt := newRequestID(), time.Now()
			if err := c.send("POST", "/photos/1", id, 5*time.Second, strings.Repeat("p", photoBytes)); err != nil {
				f.record.note("client %d: %s not sent: %v", n, id, err)
			}
			response, body, err := c.receive(5*time.Second, "POST", func() {})
			runs := 0
			for _, s := range servers {
				runs += s.ran(id)
			}
			f.record.note("client %d at %s: long upload %s run %d times; after %d ms: %s", n, h.name, id, runs, time.Since(sentAt).Milliseconds(), answered(response, body, err))
			if runs > 0 && (err != nil || response.Header.Get("X-Response-Signature") == "") {
				replaced.Add(1)
			}
		})
	}
	clients.Wait()
	return int(replaced.Load())
}

// uploadSlowly sends two requests on each of eight connections to the daemon of a machine. The second answers are read
// slowly. It returns how many answers were cut off.
func uploadSlowly(f *fleet, servers []*server, h *host, slowly bool) int {
	var cut atomic.Int64
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			c, err := connect(h.caller, socketBuffer)
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
