package catkinrun

import "time"

// Server is the backend server beside a daemon, as it announced itself.
type Server struct {
	ID             string        `json:"id"` // instance ID of this start of the server
	Service        string        `json:"service"`
	Slots          int           `json:"slots"`
	Draining       bool          `json:"draining,omitempty"`
	StartUnixMilli int64         `json:"born,omitempty"`
	Sequence       uint64        `json:"-"` // number of its announcement
	ColdLeft       time.Duration `json:"-"` // remaining time of its cold start
}

// Member is one daemon and the backend server beside it.
type Member struct {
	Host        string  `json:"host"`
	Zone        string  `json:"zone"`
	Peer        string  `json:"peer"`        // IP and port for other daemons
	Operator    string  `json:"operator"`    // IP and port for operators' queries
	Incarnation string  `json:"incarnation"` // of the daemon
	Leaving     bool    `json:"leaving,omitempty"`
	Server      *Server `json:"server,omitempty"` // nil if none has announced itself
	Era         uint64  `json:"era,omitempty"`    // of the store when the row was written
	CrashReport
}

// Serves reports whether the member's server accepts new requests for a service.
func (m Member) Serves(service string) bool {
	return !m.Leaving && m.Server != nil && !m.Server.Draining && m.Server.Service == service
}

// WithServer returns a copy with another server.
func (m Member) WithServer(s *Server) Member {
	m.Server = s
	return m
}

// WithLeaving returns a copy that is marked as leaving.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// WithCrashReport returns a copy with another report of crashes.
func (m Member) WithCrashReport(r CrashReport) Member {
	r.Host = m.Host
	m.CrashReport = r
	return m
}

// WithEra returns a copy that is written in an era of the store.
func (m Member) WithEra(era uint64) Member {
	m.Era = era
	return m
}

// Validate checks a decoded member; it fails with *InvalidError.
func (m Member) Validate() error {
	if m.Host == "" || m.Peer == "" {
		return &InvalidError{Where: "member", Field: "host", Reason: "host and peer are required"}
	}
	if m.Server != nil && (m.Server.ID == "" || m.Server.Service == "" || m.Server.Slots < 1) {
		return &InvalidError{Where: "member " + m.Host, Field: "server", Reason: "id, service and slots are required"}
	}
	return nil
}
