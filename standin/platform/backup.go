package platform

import (
	"maps"
	"net/http"
	"slices"
)

// eraHeader carries, in every response, how often the store has been restored from a backup.
const eraHeader = "Store-Era"

// Backup is a copy of the rows and of the count of transactions.
type Backup struct {
	rows           map[rowID]Row
	history        []Row
	droppedVersion uint64
	version        uint64
}

// Backup returns a copy of the store as it is.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{rows: maps.Clone(s.rows), history: slices.Clone(s.history), droppedVersion: s.droppedVersion, version: s.version}
}

// Restore replaces the store by a backup. All that was written since is lost, its versions are used
// again, and a new era begins.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = maps.Clone(b.rows), slices.Clone(b.history)
	s.droppedVersion, s.version = b.droppedVersion, b.version
	s.era++
	s.notifyLocked()
}

// serveBackup keeps a backup for the next restore.
func (s *Store) serveBackup(http.ResponseWriter, *http.Request) {
	b := s.Backup()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = &b
}

// serveRestore restores the backup that was kept.
func (s *Store) serveRestore(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	b := s.backup
	s.mu.Unlock()
	if b == nil {
		http.Error(w, "no backup has been taken", http.StatusConflict)
		return
	}
	s.Restore(*b)
}
