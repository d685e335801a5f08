package registrar

import (
	"slices"
	"time"

	"github.com/catkinrun/catkinrun"
)

// rival is a server with an earlier start than the recorded one that announces itself nevertheless:
// either the announcements are late, or it started after the time of day was set back.
type rival struct {
	start    string
	sequence uint64
	since    time.Time // of the first of its announcements in order
}

// endedServer identifies a backend server process that has ended.
type endedServer struct {
	id             string
	startUnixMilli int64
}

// outdatedLocked reports whether an announcement is older than the recorded state.
func (r *Registrar) outdatedLocked(s catkinrun.Server) bool {
	if r.endedLocked(s) {
		return true
	}
	current := r.self.Server
	if current == nil || !r.announced {
		return current != nil && s.StartUnixMilli < current.StartUnixMilli
	}
	if s.StartUnixMilli != current.StartUnixMilli {
		return s.StartUnixMilli < current.StartUnixMilli
	}
	return s.ID == current.ID && s.Sequence <= current.Sequence
}

// replacesSilentLocked reports whether a server with an earlier start than the recorded one is in use
// nevertheless: it has announced itself in order for silenceTimeout, and the recorded one has not.
func (r *Registrar) replacesSilentLocked(s catkinrun.Server) bool {
	current := r.self.Server
	if current == nil || current.ID == s.ID || r.endedLocked(s) {
		return false
	}
	now := r.clock.Now()
	if r.rival.start != s.Start() || s.Sequence <= r.rival.sequence {
		r.rival = rival{start: s.Start(), since: now}
	}
	r.rival.sequence = s.Sequence
	return now.Sub(r.announcedAt) >= silenceTimeout && now.Sub(r.rival.since) >= silenceTimeout
}

// endedLocked reports whether a server is known to have ended.
func (r *Registrar) endedLocked(s catkinrun.Server) bool {
	return slices.ContainsFunc(r.ended, func(e endedServer) bool { return e.id == s.ID && s.StartUnixMilli <= e.startUnixMilli })
}

func (r *Registrar) endLocked(s catkinrun.Server) {
	r.ended = append(r.ended, endedServer{id: s.ID, startUnixMilli: s.StartUnixMilli})
	if len(r.ended) > maxEndedServers {
		r.ended = r.ended[1:]
	}
}
