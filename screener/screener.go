// Package screener finds requests that crash the servers that run them, and refuses them.
//
// When a server ends, all requests on it end alike, so that one end proves little. The daemon beside the
// server reports the fingerprints of all of them, and every daemon counts in how many ends a
// fingerprint occurs. Requests that have been completed since, anywhere this daemon has seen it, are
// cleared, which separates frequent requests from deadly ones. After three ends a request is refused for
// some minutes, and after each further end for a day: a request that was there by accident is soon
// let through, and completes. Two ends prove too little: requests that are retried after one end are
// on the next server as it ends, beside the deadly one.
//
// It answers this load pattern: one request that its callers send again and again, at any host, and
// that ends one server after the other, beside requests that happen to run there.
package screener

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

const (
	// minCrashes is the number of ends of servers after which a request is refused.
	minCrashes = 3
	// crashMemory is how long an end of a server counts.
	crashMemory = 10 * time.Minute
	// maxReported bounds the ends that one host reports, and maxRequests the requests of each: the
	// last ones that were sent.
	maxReported = 4
	maxRequests = 128
	// maxEnds bounds the ends that a daemon remembers, over all hosts.
	maxEnds = 256
	// maxSuspects is the number of requests from which on those that are not refused are forgotten. The ends
	// that are remembered have half as many.
	maxSuspects = 2 * maxEnds * maxRequests
	// countedTime is how long after its last report an end is not counted again. Rows repeat it, those of a
	// host that is gone or of a backup for long. It is longer than the longest refusal.
	countedTime = 48 * time.Hour
	// maxCounted bounds the ends that are not counted again: all that 13,000 hosts report together.
	maxCounted = 13000 * maxReported
	// maxCompleted bounds the completed requests that are remembered.
	maxCompleted = 4096
	// completedTime is how long a completed request is not suspected. It is short, since a request may
	// become deadly with a release of the server.
	completedTime = 5 * time.Second
	// maxRefused bounds the requests that one host reports as refused for long.
	maxRefused = 64
)

// refusalTimes is how long a request is refused after minCrashes and after each further end of a server.
var refusalTimes = []time.Duration{10 * time.Minute, 24 * time.Hour}

// Screener remembers the ends of servers. It is safe for concurrent use.
type Screener struct {
	clock   catkinrun.Clock
	log     logrus.FieldLogger
	host    string
	publish func(catkinrun.CrashReport)

	mu        sync.Mutex
	broken    []*Run // on the server beside this daemon, not known to be an end of it
	ended     string // start of the server that ended last
	completed *recent[catkinrun.Fingerprint]
	counted   *recent[statement]
	published catkinrun.CrashReport
	ends      []end // oldest first
	suspects  map[catkinrun.Fingerprint]*suspect
}

// statement is what a host's report states: the end of a start of its server, or a refused request.
type statement struct {
	host, server string
	request      catkinrun.Fingerprint
}

// end is the end of a server.
type end struct {
	host string
	at   time.Time // when this daemon learned of it
	catkinrun.Crash
}

// suspect is a request that has been running on servers as they ended.
type suspect struct {
	crashes      int
	refusedUntil time.Time
	own          bool // one of the ends was that of the server beside this daemon
}

// New returns a screener for the daemon of a host. publish is called with what the other daemons should
// know of this host.
func New(clock catkinrun.Clock, log logrus.FieldLogger, host string, publish func(catkinrun.CrashReport)) *Screener {
	return &Screener{
		clock: clock, log: log, host: host, publish: publish,
		completed: newRecent[catkinrun.Fingerprint](maxCompleted, completedTime), counted: newRecent[statement](maxCounted, countedTime),
		suspects: make(map[catkinrun.Fingerprint]*suspect),
	}
}

// Refuses reports whether a request is refused, and after how many ends of servers.
func (s *Screener) Refuses(f catkinrun.Fingerprint) (crashes int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.suspects[f]
	if !ok || !s.clock.Now().Before(p.refusedUntil) {
		return 0, false
	}
	return p.crashes, true
}

// Clear records that a server has completed a request.
func (s *Screener) Clear(f catkinrun.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearLocked(f)
}

func (s *Screener) clearLocked(f catkinrun.Fingerprint) {
	s.completed.add(f, s.clock.Now())
	if p, ok := s.suspects[f]; ok {
		if p.crashes >= minCrashes {
			s.log.WithFields(logrus.Fields{"fingerprint": f.String(), "crashes": p.crashes}).Info("screener: request has been completed, refused no longer")
		}
		delete(s.suspects, f)
	}
}

// Counts returns the number of requests that are refused, and of ends of servers that are remembered.
func (s *Screener) Counts() (refused, ends int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, p := range s.suspects {
		if now.Before(p.refusedUntil) {
			refused++
		}
	}
	return refused, len(s.ends)
}

// Merge learns what other daemons report, and what an earlier start of this one has reported.
func (s *Screener) Merge(reports []catkinrun.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	for _, r := range reports {
		for _, c := range r.Crashes {
			s.addLocked(r.Host, c)
		}
		for _, f := range r.Refused {
			if !s.countLocked(statement{host: r.Host, request: f}) {
				s.refuseLocked(f, minCrashes+len(refusalTimes)-1, r.Host)
			}
		}
	}
	s.publishLocked()
}

// Reports returns what this daemon knows of all hosts, for one that cannot read it from the store.
func (s *Screener) Reports() []catkinrun.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	var hosts []string
	for _, e := range s.ends {
		if !slices.Contains(hosts, e.host) {
			hosts = append(hosts, e.host)
		}
	}
	reports := make([]catkinrun.CrashReport, 0, len(hosts))
	for _, host := range hosts {
		reports = append(reports, s.reportLocked(host))
	}
	return reports
}

// publishLocked publishes what this daemon states of its server, if it is not what it has stated last.
func (s *Screener) publishLocked() {
	report := s.reportLocked(s.host)
	if !report.SameReport(s.published) {
		s.published = report
		s.publish(report)
	}
}

// reportLocked returns the last ends of the server beside a host's daemon.
func (s *Screener) reportLocked(host string) catkinrun.CrashReport {
	report := catkinrun.CrashReport{Host: host}
	for _, e := range s.ends {
		if e.host == host {
			report.Crashes = append(report.Crashes, e.Crash)
		}
	}
	report.Crashes = report.Crashes[max(0, len(report.Crashes)-maxReported):]
	if host != s.host {
		return report
	}
	now := s.clock.Now()
	for f, p := range s.suspects {
		if p.own && p.crashes >= minCrashes+len(refusalTimes)-1 && now.Before(p.refusedUntil) {
			report.Refused = append(report.Refused, f)
		}
	}
	slices.Sort(report.Refused)
	report.Refused = report.Refused[:min(len(report.Refused), maxRefused)]
	return report
}

// countLocked reports whether a statement has been counted before, and records it.
func (s *Screener) countLocked(t statement) bool {
	now := s.clock.Now()
	counted := s.counted.has(t, now)
	s.counted.add(t, now)
	return counted
}

// findLocked returns the index of the end of a server, -1 if it is not known.
func (s *Screener) findLocked(host, server string) int {
	return slices.IndexFunc(s.ends, func(e end) bool { return e.host == host && e.Server == server })
}

// addLocked adds the end of a server, unless it has been counted and forgotten since. Requests that were
// found later to have run there count, too.
func (s *Screener) addLocked(host string, c catkinrun.Crash) {
	now := s.clock.Now()
	counted := s.countLocked(statement{host: host, server: c.Server})
	i := s.findLocked(host, c.Server)
	if i < 0 {
		if counted {
			return
		}
		s.ends = append(s.ends, end{host: host, at: now, Crash: catkinrun.Crash{Server: c.Server}})
		s.forgetLocked(max(0, len(s.ends)-maxEnds))
		i = len(s.ends) - 1
	}
	e := &s.ends[i]
	if slices.Equal(c.Requests, e.Requests) {
		return // the usual case: a row states it again
	}
	for _, f := range c.Requests {
		if slices.Contains(e.Requests, f) || len(e.Requests) >= maxRequests {
			continue
		}
		e.Requests = append(slices.Clip(e.Requests), f)
		if s.completed.has(f, now) {
			continue
		}
		crashes := 1
		if p, ok := s.suspects[f]; ok {
			crashes += p.crashes
		}
		s.refuseLocked(f, crashes, host)
	}
}

// refuseLocked records that a request has been running on servers as they ended.
func (s *Screener) refuseLocked(f catkinrun.Fingerprint, crashes int, host string) {
	p, ok := s.suspects[f]
	if !ok {
		p = &suspect{}
		s.suspects[f] = p
	}
	p.own = p.own || host == s.host
	if crashes <= p.crashes {
		return
	}
	p.crashes = crashes
	if crashes < minCrashes {
		return
	}
	duration := refusalTimes[min(crashes-minCrashes, len(refusalTimes)-1)]
	p.refusedUntil = s.clock.Now().Add(duration)
	s.log.WithFields(logrus.Fields{"fingerprint": f.String(), "crashes": crashes, "host": host, "for": duration.String()}).
		Warn("screener: request ran on servers as they ended, refused")
}

// expireLocked forgets ends that no longer count.
func (s *Screener) expireLocked() {
	now := s.clock.Now()
	expired := slices.IndexFunc(s.ends, func(e end) bool { return now.Sub(e.at) < crashMemory })
	if expired < 0 {
		expired = len(s.ends)
	}
	s.forgetLocked(expired)
}

// forgetLocked forgets the oldest ends, and the requests that they concern and that are not refused.
func (s *Screener) forgetLocked(count int) {
	if count == 0 {
		return
	}
	now := s.clock.Now()
	for _, e := range s.ends[:count] {
		for _, f := range e.Requests {
			if p, ok := s.suspects[f]; ok && (p.crashes < minCrashes || now.Sub(p.refusedUntil) >= crashMemory) {
				delete(s.suspects, f)
			}
		}
	}
	s.ends = slices.Clone(s.ends[count:])
	if len(s.suspects) > maxSuspects {
		maps.DeleteFunc(s.suspects, func(_ catkinrun.Fingerprint, p *suspect) bool { return !now.Before(p.refusedUntil) })
	}
}
