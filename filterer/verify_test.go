package filterer

import (
	"io"
	"net/url"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/configurer"
)

// TestNewerConfigurationChecksTheTeamOfTheEnvelope has an entry daemon with an older configuration state a team. The serving daemon's
// configuration tells whose key it is, on open routes too.
func TestNewerConfigurationChecksTheTeamOfTheEnvelope(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	key := catkinrun.HashKey("key")
	cases := []struct {
		name      string
		teams     map[string][]string // keys of the teams in the newer configuration
		open      bool
		team      string // in the envelope
		hash      uint64
		permitted bool
	}{
		{"the team holds the key", map[string][]string{"luna": {"key"}}, false, "luna", key, true},
		{"another team holds the key", map[string][]string{"luna": {"other"}, "sol": {"key"}}, false, "luna", key, false},
		{"nobody holds the key", map[string][]string{"luna": {"other"}}, false, "luna", key, false},
		{"no key", map[string][]string{"luna": {"key"}}, false, "", 0, false},
		{"no teams, no key", nil, false, "", 0, true},
		{"no teams, the team held the key", nil, false, "luna", key, false},
		{"open, the team holds the key", map[string][]string{"luna": {"key"}}, true, "luna", key, true},
		{"open, another team holds the key", map[string][]string{"luna": {"other"}, "sol": {"key"}}, true, "luna", key, false},
		{"open, nobody holds the key", map[string][]string{"luna": {"other"}}, true, "luna", key, false},
		{"open, no key", map[string][]string{"luna": {"key"}}, true, "", 0, true},
		{"open, no teams, no key", nil, true, "", 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conf := configurer.New(clock.System{}, log)
			resources := []catkinrun.Resource{{Kind: catkinrun.KindRoute, Name: "read", Route: &catkinrun.Route{
				Domain: "shop.example", Prefix: "/read/", Targets: []catkinrun.Target{{Service: "s", Weight: 1}}, Open: test.open, Timeout: 1e9, Attempts: 1,
			}}}
			for name, keys := range test.teams {
				resources = append(resources, catkinrun.Resource{Kind: catkinrun.KindTeam, Name: name, Team: &catkinrun.Team{Keys: keys}})
			}
			_, err := conf.Apply(catkinrun.SnapshotData{Version: 2, Resources: resources}, "test")
			is.NoErr(err)
			c := &catkinrun.Call{Domain: "shop.example", URL: &url.URL{Path: "/read/1"}, Envelope: catkinrun.Envelope{Version: 1, Service: "s", Team: test.team, KeyHash: test.hash}}
			is.Equal(permits(conf.Snapshot(), c), test.permitted)
		})
	}
}
