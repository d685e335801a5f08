package daemon

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun/loader"
)

// TestServiceFollowsSettingsThatChangeWhileTheDaemonRuns reloads settings. The daemon once kept the service of its start, and
// refused the announcements of a server of the new one.
func TestServiceFollowsSettingsThatChangeWhileTheDaemonRuns(t *testing.T) {
	for _, script := range readAnnouncementScripts(t, "settings.txt") {
		t.Run(script.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // nothing publishes the row, so that each change waits for it
				host := newSettingsHost()
				for _, line := range script.lines {
					host.play(t, line)
				}
			})
		})
	}
}

// settingsHost is a daemon that gets announcements and new settings.
type settingsHost struct {
	*announcementHost
	atStart loader.Settings
	lines   *logtest.Hook
}

func newSettingsHost() *settingsHost {
	h := &settingsHost{announcementHost: newAnnouncementHost()}
	h.lines = logtest.NewLocal(h.daemon.log)
	h.atStart = h.daemon.settings
	h.atStart.Log.Level = "info"
	return h
}

func (h *settingsHost) play(t *testing.T, line scriptLine) {
	t.Helper()
	switch line.command {
	case "settings":
		h.lines.Reset()
		h.daemon.Reload(h.changed(t, line.words))
	case "expect-doubt":
		got := "no"
		select {
		case <-h.daemon.SettingsDoubted():
			got = "yes"
		default:
		}
		if got != line.words[0] {
			t.Fatalf("line %d: doubt %s, expected %s", line.number, got, line.words[0])
		}
	case "expect-level":
		if got := h.daemon.log.GetLevel().String(); got != line.words[0] {
			t.Fatalf("line %d: level %s, expected %s", line.number, got, line.words[0])
		}
	case "expect-warned":
		if got := h.warned(); got != line.words[0] {
			t.Fatalf("line %d: warned of %s, expected %s", line.number, got, line.words[0])
		}
	default:
		h.announcementHost.play(t, line)
	}
}

// changed returns the settings of the start with changes NAME=VALUE.
func (h *settingsHost) changed(t *testing.T, changes []string) loader.Settings {
	t.Helper()
	settings := h.atStart
	for _, change := range changes {
		name, value, _ := strings.Cut(change, "=")
		text := name + ": " + value
		if group, field, nested := strings.Cut(name, "."); nested {
			text = group + ": {" + field + ": \"" + value + "\"}"
		}
		if err := yaml.Unmarshal([]byte(text), &settings); err != nil {
			t.Fatal(err)
		}
	}
	return settings
}

// warned returns the settings that the warnings name, which are expected to be one at most.
func (h *settingsHost) warned() string {
	var names []string
	for _, entry := range h.lines.AllEntries() {
		if entry.Level == logrus.WarnLevel && entry.Message == "daemon: settings take effect at the next start" {
			names = append(names, strings.Trim(fmt.Sprint(entry.Data["settings"]), "[]"))
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.ReplaceAll(strings.Join(names, " and "), " ", ",")
}
