package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/locator"
)

// TestOwnRowIsNotTheFleet starts a daemon that writes its row before it has read the others', as when the store takes writes and
// refuses reads. It used to take itself for the only host, with the local share of a fleet of one, at each host.
func TestOwnRowIsNotTheFleet(t *testing.T) {
	is := is.New(t)
	d, now := newIdleDaemon("s")
	_, err := d.configurer.Apply(catkinrun.SnapshotData{Version: 1, Resources: []catkinrun.Resource{
		{Kind: catkinrun.KindTeam, Name: "luna", Team: &catkinrun.Team{Rate: 100, Burst: 100, Keys: []string{"k"}}},
	}}, "test")
	is.NoErr(err)
	row := func(host string, revision catkinrun.Revision) catkinrun.Row {
		raw, err := json.Marshal(catkinrun.Member{Host: host, Zone: "z", Peer: host, Incarnation: d.incarnation})
		is.NoErr(err)
		return catkinrun.Row{Key: locator.Key(host), Value: raw, Revision: revision}
	}
	take := func() (taken int) {
		_ = d.limiter.Take(t.Context(), "luna", limiter.Patience{}) // makes the team known
		now.Advance(10 * time.Second)
		for d.limiter.Take(t.Context(), "luna", limiter.Patience{}) == nil {
			taken++
		}
		return taken
	}
	d.locator.Apply(catkinrun.Page{Rows: []catkinrun.Row{row("h", 7)}}, false) // as the registrar does once it has written
	is.Equal(take(), 0)
	listing := catkinrun.Page{Rows: []catkinrun.Row{row("h", 7)}, Revision: 9}
	for i := range 9 {
		listing.Rows = append(listing.Rows, row(fmt.Sprint("other-", i), 8))
	}
	d.applyMembers(listing, true)
	taken := take()
	is.True(taken >= 3 && taken <= 4) // a tenth of 35 % of the burst
}
