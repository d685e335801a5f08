package registrar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/locator"
)

// TestChangedSettingsLeaveNoServerOfTheFormerService changes the service of a host between announcements, ends and rows of
// earlier starts. A daemon once kept, published and used the server of the former one. A server that has stated that
// it leaves gets no request after its grace period, even if the settings name its service again.
func TestChangedSettingsLeaveNoServerOfTheFormerService(t *testing.T) {
	const grace = time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := clock.NewFake()
		r, _, hosts := newRegistrarWithGrace(now, grace)
		service := "a"
		left := make(map[string]time.Time) // acknowledged ends and drains, by start
		var revision catkinrun.Revision = 1000
		servers := rapid.SampledFrom([]catkinrun.Server{
			{ID: "i-1", Service: "a", Slots: 1, StartUnixMilli: 100},
			{ID: "i-1", Service: "a", Slots: 1, StartUnixMilli: 300},
			{ID: "i-2", Service: "b", Slots: 1, StartUnixMilli: 200},
			{ID: "i-3", Service: "b", Slots: 1, StartUnixMilli: 400},
			{ID: "i-1", Service: "b", Slots: 1, StartUnixMilli: 100},
		})
		sequences, ready, drained := make(map[string]uint64), make(map[string]uint64), make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"announce", "announce", "announce", "late", "settings", "deregister", "down", "wait", "restore"}).Draw(t, "step") {
			case "announce":
				s := servers.Draw(t, "server")
				s.Draining = drained[s.Start()] || rapid.IntRange(0, 4).Draw(t, "draining") == 0
				drained[s.Start()] = s.Draining // one that drains does not return
				sequences[s.Start()]++
				s.Sequence = sequences[s.Start()]
				_, err := r.RecordAnnouncement(s)
				if (err == nil) != (s.Service == service) {
					t.Fatalf("announcement of %s: %v, the settings name %s", s.Service, err, service)
				}
				if !s.Draining {
					ready[s.Start()] = s.Sequence
				}
				current, _ := r.Server()
				if _, known := left[s.Start()]; s.Draining && !known && current.Start() == s.Start() && current.Draining {
					left[s.Start()] = now.Now()
				}
			case "late":
				s := servers.Draw(t, "server")
				if s.Sequence = rapid.Uint64Range(0, ready[s.Start()]).Draw(t, "sequence"); s.Sequence > 0 {
					_, _ = r.RecordAnnouncement(s) // it may be refused
				}
			case "settings":
				service = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				r.SetService(service)
			case "deregister":
				s := servers.Draw(t, "server")
				r.RecordDeregistration(s.ID, s.StartUnixMilli)
				if _, known := left[s.Start()]; !known {
					left[s.Start()] = now.Now()
				}
			case "down":
				r.MarkDown(servers.Draw(t, "server").ID, "refused")
			case "wait":
				now.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "tenths")) * 100 * time.Millisecond)
			case "restore":
				s := servers.Draw(t, "server")
				raw, err := json.Marshal(catkinrun.Member{Host: "h", Zone: "z", Peer: "127.0.0.1:1", Incarnation: "former", Server: &s})
				if err != nil {
					t.Fatal(err)
				}
				revision++
				r.Restore(catkinrun.Row{Key: locator.Key("h"), Value: raw, Revision: revision})
			}
			if got, _ := r.Service(); got != service {
				t.Fatalf("service %s, the settings name %s", got, service)
			}
			server, accepting := r.Server()
			if server.ID != "" && server.Service != service {
				t.Fatalf("server of %s, the settings name %s", server.Service, service)
			}
			if at, known := left[server.Start()]; known && accepting && now.Now().Sub(at) >= grace {
				t.Fatalf("server %s accepts requests %s after it has left", server.Start(), now.Now().Sub(at))
			}
			if err := r.Publish(context.Background()); err != nil {
				t.Fatal(err)
			}
			if err := r.Publish(context.Background()); err != nil { // after a conflict
				t.Fatal(err)
			}
			if row, err := locator.DecodeMember(hosts.Row("h")); err != nil || row.Server != nil && row.Server.Service != service {
				t.Fatalf("row %s, the settings name %s: %v", fmt.Sprint(row.Server), service, err)
			}
		}
	})
}
