package registrar

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// Service returns the service of this host, and since when the settings name it. Requests that begin here bear it: unlike an
// announcement, the settings come from the platform alone.
func (r *Registrar) Service() (service string, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service, r.serviceAt
}

// SetService records that the settings name another service. The recorded server, which is of the former one, is no
// longer the server of this host.
func (r *Registrar) SetService(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if service == r.service {
		return
	}
	r.log.WithFields(logrus.Fields{"service": service, "former": r.service}).Info("registrar: the settings name another service")
	r.service, r.serviceAt, r.foreignAt = service, r.clock.Now(), time.Time{}
	r.rival, r.candidate = rival{}, nil
	if previous := r.self.Server; previous != nil {
		r.removeServerLocked(*previous)
	}
}

// Doubted receives a value once a server of another service has announced itself: the settings may have changed.
func (r *Registrar) Doubted() <-chan struct{} { return r.doubted }

// Displaced reports whether a server of another service announces itself here and the host's own has fallen silent. A host
// of that service uses the address now, if this daemon is leaving.
func (r *Registrar) Displaced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	return r.foreignAt.After(r.announcedAt) && now.Sub(r.announcedAt) >= replaceTimeout && now.Sub(r.foreignAt) < replaceTimeout
}

// removeServerLocked records that no server is known. One that is leaving does not return, even if the settings
// name its service again.
func (r *Registrar) removeServerLocked(s catkinrun.Server) {
	if s.Draining {
		r.endLocked(s)
	}
	r.replaceLocked(s)
	r.unannounced, r.unconfirmed, r.down = false, false, false
	r.self = r.self.WithServer(nil)
	r.publishLocked()
}
