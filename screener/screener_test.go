package screener_test

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/screener"
)

// fleet has the screeners of some hosts, which learn each other's reports at once, in the order of their names.
type fleet struct {
	clock   *clock.Fake
	hosts   map[string]*screener.Screener
	reports map[string]catkinrun.CrashReport // as in the store
}

func newFleet(hosts ...string) *fleet {
	f := &fleet{clock: clock.NewFake(), hosts: make(map[string]*screener.Screener), reports: make(map[string]catkinrun.CrashReport)}
	for _, host := range hosts {
		f.start(host)
	}
	return f
}

// start starts the daemon of a host, which reads the reports from the store.
func (f *fleet) start(host string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.hosts[host] = screener.New(f.clock, log, host, func(r catkinrun.CrashReport) { f.reports[host] = r })
	f.deliver()
}

// deliver passes all reports on to all daemons, and then those that they have made. As with the rows of the
// store, each gets those that were there before any of them made another one.
func (f *fleet) deliver() {
	for changed := true; changed; {
		before := maps.Clone(f.reports)
		var reports []catkinrun.CrashReport
		for _, host := range slices.Sorted(maps.Keys(before)) {
			r := before[host]
			r.Host = host
			reports = append(reports, r)
		}
		for _, host := range slices.Sorted(maps.Keys(f.hosts)) {
			f.hosts[host].Merge(reports)
		}
		changed = !maps.EqualFunc(before, f.reports, catkinrun.CrashReport.SameReport)
	}
}

// crash ends a start of a host's server while it runs requests.
func (f *fleet) crash(host, server string, requests ...catkinrun.Fingerprint) {
	var runs []*screener.Run
	for _, r := range requests {
		runs = append(runs, f.hosts[host].Begin(server, r))
	}
	f.clock.Advance(50 * time.Millisecond)
	for _, r := range runs {
		r.Break()
	}
	f.hosts[host].ServerEnded(server)
	f.deliver()
}

// complete has a host's server run a request to its end.
func (f *fleet) complete(host, server string, request catkinrun.Fingerprint) {
	run := f.hosts[host].Begin(server, request)
	f.clock.Advance(10 * time.Millisecond)
	run.Complete()
}

// refusing returns the number of hosts that refuse a request.
func (f *fleet) refusing(request catkinrun.Fingerprint) int {
	count := 0
	for _, s := range f.hosts {
		if _, refused := s.Refuses(request); refused {
			count++
		}
	}
	return count
}

const deadly = catkinrun.Fingerprint(666)

// TestRequestIsRefusedEverywhereAfterThreeEnds has a request end servers of three hosts, beside requests of
// which some are retried once, and checks who refuses what.
func TestRequestIsRefusedEverywhereAfterThreeEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	f.crash("a", "a/1", 1, 2, 3, deadly)
	is.Equal(f.refusing(deadly), 0) // one end proves nothing
	f.crash("b", "b/1", 1, 2, 4, 5, deadly)
	is.Equal(f.refusing(deadly), 0)
	f.crash("c", "c/1", 4, 6, deadly)
	is.Equal(f.refusing(deadly), 3)
	for innocent := range catkinrun.Fingerprint(7) {
		is.Equal(f.refusing(innocent), 0)
	}
}

// TestFrequentRequestIsNotRefused has a request that runs all the time be there at each end of a server.
func TestFrequentRequestIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	const frequent = catkinrun.Fingerprint(1)
	for i, host := range []string{"a", "b", "c", "a", "b"} {
		for _, other := range []string{"a", "b", "c"} {
			f.complete(other, other+"/0", frequent)
		}
		f.crash(host, host+"/"+string(rune('1'+i)), frequent, deadly)
	}
	is.Equal(f.refusing(frequent), 0)
	is.Equal(f.refusing(deadly), 3)
}

// TestInnocentRequestIsLetThroughLater refuses a request that ran on three servers as they ended by
// themselves, and lets it complete later.
func TestInnocentRequestIsLetThroughLater(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	f.crash("a", "a/1", 1)
	f.crash("b", "b/1", 1)
	f.crash("b", "b/2", 1)
	is.Equal(f.refusing(1), 2)
	f.clock.Advance(10 * time.Minute)
	is.Equal(f.refusing(1), 0)
	f.complete("a", "a/2", 1)
	f.crash("a", "a/2", 1) // counted anew
	is.Equal(f.refusing(1), 0)
}

// TestEndCountsOnce delivers the same reports for hours, as when another row changes and nobody has written
// the rows of two hosts that are gone.
func TestEndCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	f.crash("a", "a/1", 1)
	f.crash("b", "b/1", 1)
	f.crash("c", "c/1", 1)
	is.Equal(f.refusing(1), 3)
	delete(f.hosts, "b")
	delete(f.hosts, "c")
	f.clock.Advance(10 * time.Minute)
	for range 200 {
		f.deliver()
		is.Equal(f.refusing(1), 0)
		f.clock.Advance(time.Minute)
	}
	f.crash("a", "a/2", 1) // the fourth end
	is.Equal(f.refusing(1), 1)
}

// TestEndsOfManyServersCountOnce ends the servers of more hosts than a daemon remembers ends, three each while
// they run the same request.
func TestEndsOfManyServersCountOnce(t *testing.T) {
	is := is.New(t)
	const servers = 600
	f := newFleet("a")
	for i := range servers {
		host := fmt.Sprintf("host-%03d", i)
		request := catkinrun.Fingerprint(i/3 + 1)
		f.reports[host] = catkinrun.CrashReport{Crashes: []catkinrun.Crash{{Server: host + "/1", Requests: catkinrun.Fingerprints{request}}}}
	}
	for range 20 {
		f.deliver()
		refused, ends := f.hosts["a"].Counts()
		is.Equal(refused, servers/3)
		is.Equal(ends, 256)
		f.clock.Advance(time.Second)
	}
	f.clock.Advance(10 * time.Minute)
	refused, _ := f.hosts["a"].Counts()
	is.Equal(refused, 0)
}

// TestRefusalTimeGrowsWithEachEnd lets a deadly request through after ten minutes, and then once a day.
func TestRefusalTimeGrowsWithEachEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	f.crash("a", "a/1", deadly)
	f.crash("b", "b/1", deadly)
	f.crash("b", "b/2", deadly)
	for i, refusal := range []time.Duration{10 * time.Minute, 24 * time.Hour, 24 * time.Hour} {
		f.clock.Advance(refusal - time.Second)
		is.Equal(f.refusing(deadly), 2)
		f.clock.Advance(time.Second)
		is.Equal(f.refusing(deadly), 0)
		f.crash("a", "a/"+string(rune('2'+i)), deadly)
		is.Equal(f.refusing(deadly), 2)
	}
}

// TestCompletedRequestIsNotRefusedByOldReports refuses a request for a day, which then completes. One of the
// hosts that have reported it is gone, so that its row stays.
func TestCompletedRequestIsNotRefusedByOldReports(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b", "c")
	for _, server := range []string{"1", "2"} {
		f.crash("a", "a/"+server, 1)
		f.crash("b", "b/"+server, 1)
	}
	is.Equal(f.reports["b"].Refused, catkinrun.Fingerprints{1})
	delete(f.hosts, "b")
	f.clock.Advance(24 * time.Hour)
	is.Equal(f.refusing(1), 0)
	f.complete("a", "a/3", 1)
	f.complete("c", "c/1", 1)
	for range 3 {
		f.deliver()
		is.Equal(f.refusing(1), 0)
		is.Equal(len(f.reports["a"].Refused), 0) // daemons that start later are not told
		f.clock.Advance(time.Minute)
	}
}

// TestRestartedDaemonKnowsWhatIsRefused restarts the daemons one after the other, and later long after
// the last end of a server.
func TestRestartedDaemonKnowsWhatIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet("a", "b")
	for _, server := range []string{"1", "2"} {
		f.crash("a", "a/"+server, deadly)
		f.crash("b", "b/"+server, deadly)
	}
	for range 2 {
		for _, host := range []string{"a", "b"} {
			f.start(host)
			is.Equal(f.refusing(deadly), 2)
		}
		f.clock.Advance(3 * time.Hour)
	}
}

// TestBrokenResponsesAreNoEndOfAServer has a server break off responses and go on.
func TestBrokenResponsesAreNoEndOfAServer(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	for range 5 {
		f.hosts["a"].Begin("a/1", 7).Break()
		f.clock.Advance(time.Millisecond)
		f.complete("a", "a/1", 8)
	}
	f.hosts["a"].ServerEnded("a/1")
	f.crash("a", "a/2", 7)
	is.Equal(f.refusing(7), 0)
}

// TestNewStartShowsTheEndOfAServer has no connection be refused: the server is back before the next request.
func TestNewStartShowsTheEndOfAServer(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	for _, server := range []string{"a/1", "a/2", "a/3", "a/4"} {
		f.hosts["a"].Begin(server, deadly).Break()
		f.clock.Advance(3 * time.Second)
	}
	is.Equal(f.refusing(deadly), 1)
}

// TestNewDeadlyRequestsDoNotFillTheMemory has a new request end a server every second for an hour.
func TestNewDeadlyRequestsDoNotFillTheMemory(t *testing.T) {
	is := is.New(t)
	f := newFleet("a")
	for i := range 3600 {
		f.crash("a", "a/"+time.Duration(i).String(), catkinrun.Fingerprint(i+1))
		f.clock.Advance(time.Second)
	}
	_, ends := f.hosts["a"].Counts()
	is.True(ends <= 256)
	is.Equal(len(f.reports["a"].Crashes), 4)
}
