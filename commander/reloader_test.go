package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/journaler"
	"github.com/catkinrun/catkinrun/loader"
)

// completeSettings are the settings of a file, without its service.
const completeSettings = `host: h
zone: z
server: 10.0.0.1:80
store: 10.0.0.2:80
listen:
  caller: 10.0.0.1:1
  peer: 10.0.0.1:2
  announce: 10.0.0.1:3
  ready: 10.0.0.1:4
  operator: 10.0.0.1:5
service: `

// TestSettingsThatChangeWithoutASignalTakeEffect follows a settings file that changes with signals and without. The daemon
// once noticed only signals, and its requests bore the service that its host had before.
func TestSettingsThatChangeWithoutASignalTakeEffect(t *testing.T) {
	script, err := os.ReadFile("testdata/reloads.txt")
	is.New(t).NoErr(err)
	_, cases, found := strings.Cut(string(script), "\ncase: ")
	is.New(t).True(found)
	for text := range strings.SplitSeq(cases, "\ncase: ") {
		lines := strings.Split(strings.TrimSpace(text), "\n")
		t.Run(lines[0], func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.yaml")
			synctest.Test(t, func(t *testing.T) { // in which the system's clock is a fake
				h := newReloaderHost(t, file)
				for _, line := range lines[1:] {
					h.play(t, strings.Fields(line))
				}
				h.stop()
			})
		})
	}
}

// reloaderHost has a settings file, and a reloader that follows it.
type reloaderHost struct {
	file    string
	service string // that was applied last
	signals chan os.Signal
	doubted chan struct{}
	journal *journaler.Journal
	out     bytes.Buffer
	stop    context.CancelFunc
}

func newReloaderHost(t *testing.T, file string) *reloaderHost {
	is := is.New(t)
	system := clock.System{}
	h := &reloaderHost{file: file, service: "recipes", signals: make(chan os.Signal, 1), doubted: make(chan struct{}, 1)}
	h.journal = journaler.New(system, &h.out, logrus.InfoLevel)
	atStart := []byte(completeSettings + h.service + "\n")
	is.NoErr(os.WriteFile(file, atStart, 0o600))
	apply := func(settings loader.Settings) { h.service = settings.Service }
	ctx, stop := context.WithCancel(t.Context())
	h.stop = stop
	go newReloader(file, atStart, apply, h.signals, h.doubted, system, h.journal.Logger()).run(ctx)
	return h
}

func (h *reloaderHost) play(t *testing.T, words []string) {
	t.Helper()
	is := is.New(t)
	switch words[0] {
	case "write":
		is.NoErr(os.WriteFile(h.file, []byte(completeSettings+words[1]+"\n"), 0o600))
	case "cut":
		missing, err := strconv.Atoi(words[2])
		is.NoErr(err)
		complete := completeSettings + words[1] + "\n"
		is.NoErr(os.WriteFile(h.file, []byte(complete[:len(complete)-missing]), 0o600))
	case "text":
		is.NoErr(os.WriteFile(h.file, []byte(strings.Join(words[1:], " ")), 0o600))
	case "remove":
		is.NoErr(os.Remove(h.file))
	case "signal":
		select {
		case h.signals <- syscall.SIGHUP:
		default: // the runtime drops signals that find the channel full
		}
	case "doubt":
		h.doubted <- struct{}{}
	case "wait":
		d, err := time.ParseDuration(words[1])
		is.NoErr(err)
		time.Sleep(d) // of the fake clock
	case "expect":
		is.Equal(h.state(t), strings.Join(words[1:], " "))
	default:
		if words[0][0] != '#' {
			t.Fatalf("unknown command %s", words[0])
		}
	}
	synctest.Wait()
}

// state returns the service that was applied last, and the number of lines in the log.
func (h *reloaderHost) state(t *testing.T) string {
	h.journal.Flush()
	var reloads, signals, errors, warnings int
	for line := range bytes.Lines(h.out.Bytes()) {
		var entry struct {
			Level   string `json:"level"`
			Message string `json:"msg"`
			Error   string `json:"error"`
			Service string `json:"service"`
			Signal  bool   `json:"signal"`
		}
		is.New(t).NoErr(json.Unmarshal(line, &entry))
		switch {
		case entry.Level == "info" && entry.Message == "daemon: settings reloaded" && entry.Service != "":
			reloads++
			if entry.Signal {
				signals++
			}
		case entry.Level == "error" && entry.Message == "daemon: cannot reload settings; the previous settings stay in effect" && strings.Contains(entry.Error, h.file):
			errors++
		case entry.Level == "warning" && entry.Signal && strings.Contains(entry.Error, h.file):
			warnings++
		default:
			t.Errorf("unexpected line in the log: %s", line)
		}
	}
	return fmt.Sprintf("%s reloads %d signals %d errors %d warnings %d", h.service, reloads, signals, errors, warnings)
}
