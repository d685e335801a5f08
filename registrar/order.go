package registrar

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// rival is a server that announces itself in order although a recorded one seems to be newer: its
// announcements are late, its host's time of day was set back, or the recorded server is not beside this
// daemon at all.
type rival struct {
	start    string
	sequence uint64
	since    time.Time // of the first of its announcements in order
}

// endedServer identifies a backend server process that has deregistered.
type endedServer struct {
	id             string
	startUnixMilli int64
}

// refusals counts announcements that name no server, to bound the log.
type refusals struct {
	reportAt   time.Time // of the next log line at the earliest
	unreported int
}

// checkLocked fails with *catkinrun.InvalidError if an announcement or a row names a server of another service than the
// settings do. Such a server is not beside this daemon: the address or the name of a host may be used again by one of
// another service.
func (r *Registrar) checkLocked(s catkinrun.Server) error {
	if s.Service == r.service {
		return nil
	}
	return &catkinrun.InvalidError{Where: "server " + s.ID, Field: "service", Reason: "the settings name " + r.service + ", not " + s.Service}
}

// reportRefusalLocked logs an announcement that names no server, at most one in each refusalInterval.
func (r *Registrar) reportRefusalLocked(id string, cause error) {
	now := r.clock.Now()
	if now.Before(r.refusals.reportAt) {
		r.refusals.unreported++
		return
	}
	r.log.WithError(cause).WithFields(logrus.Fields{"server": id, "unreported": r.refusals.unreported}).Warn("registrar: announcement names no server, refused")
	r.refusals = refusals{reportAt: now.Add(refusalInterval)}
}

// acceptsLocked reports whether an announcement describes the server that is now beside this daemon.
func (r *Registrar) acceptsLocked(s catkinrun.Server) bool {
	current := r.self.Server
	replacedAt, wasReplaced := r.replacedSequenceLocked(s)
	switch {
	case r.endedLocked(s):
		return false
	case current != nil && current.Start() == s.Start():
		return !r.announced || s.Sequence > current.Sequence || s.Draining || r.outlastsLocked(s, silenceTimeout)
	case wasReplaced:
		return s.Sequence > replacedAt && r.outlastsLocked(s, returnTimeout)
	case current != nil && s.StartUnixMilli < current.StartUnixMilli:
		if r.down {
			return r.outlastsLocked(s, returnTimeout)
		}
		return r.outlastsLocked(s, silenceTimeout)
	case r.holdsLocked():
		r.keepCandidateLocked(s)
		return false
	}
	return true
}

// holdsLocked reports whether the recorded server stays in use although a later start has been announced, since it
// may still announce itself.
func (r *Registrar) holdsLocked() bool {
	current := r.self.Server
	return current != nil && r.announced && !current.Draining && !r.down && r.clock.Now().Sub(r.announcedAt) < replaceTimeout
}

// keepCandidateLocked keeps a server, to use it once the recorded one is unreachable.
func (r *Registrar) keepCandidateLocked(s catkinrun.Server) {
	if r.candidate != nil && r.candidate.Start() == s.Start() {
		s.Draining = s.Draining || r.candidate.Draining
		s.Sequence = max(s.Sequence, r.candidate.Sequence)
	}
	r.candidate = &s
}

// outlastsLocked reports whether a server has announced itself in order for timeout, and the recorded one has not.
// An accepted announcement begins this time anew.
func (r *Registrar) outlastsLocked(s catkinrun.Server, timeout time.Duration) bool {
	now := r.clock.Now()
	if r.rival.start != s.Start() || s.Sequence <= r.rival.sequence {
		r.rival = rival{start: s.Start(), since: now}
	}
	r.rival.sequence = s.Sequence
	return now.Sub(r.rival.since) >= timeout
}

// endedLocked reports whether a server has deregistered.
func (r *Registrar) endedLocked(s catkinrun.Server) bool {
	return slices.ContainsFunc(r.ended, func(e endedServer) bool { return e.id == s.ID && s.StartUnixMilli <= e.startUnixMilli })
}

// endLocked records that a server has deregistered; it is no longer a candidate.
func (r *Registrar) endLocked(s catkinrun.Server) {
	r.ended = appendBounded(r.ended, endedServer{id: s.ID, startUnixMilli: s.StartUnixMilli})
	if r.candidate != nil && r.endedLocked(*r.candidate) {
		r.candidate = nil
	}
}

// endedUnknownLocked reports whether a server has deregistered without its start, which was not known.
func (r *Registrar) endedUnknownLocked(id string) bool {
	return slices.Contains(r.ended, endedServer{id: id})
}

// endOthersLocked records the deregistration of a server that is not the recorded one.
func (r *Registrar) endOthersLocked(id string, startUnixMilli int64) {
	ended := catkinrun.Server{ID: id, StartUnixMilli: startUnixMilli}
	if startUnixMilli == 0 {
		for _, s := range r.replaced {
			if s.ID == id {
				ended.StartUnixMilli = max(ended.StartUnixMilli, s.StartUnixMilli)
			}
		}
		if r.candidate != nil && r.candidate.ID == id {
			ended.StartUnixMilli = max(ended.StartUnixMilli, r.candidate.StartUnixMilli)
		}
	}
	r.endLocked(ended)
}

// appendBounded appends an entry, and drops the oldest one beyond maxEndedServers.
func appendBounded[E any](list []E, entry E) []E {
	list = append(list, entry)
	return list[max(0, len(list)-maxEndedServers):]
}

// replaceLocked records that a server is no longer the recorded one, without its deregistration.
func (r *Registrar) replaceLocked(s catkinrun.Server) {
	r.replaced = appendBounded(r.replaced, s)
}

// replacedSequenceLocked returns the number of the last announcement of a server that another one has replaced.
func (r *Registrar) replacedSequenceLocked(s catkinrun.Server) (sequence uint64, ok bool) {
	for _, former := range r.replaced {
		if former.Start() == s.Start() {
			return former.Sequence, true
		}
	}
	return 0, false
}
