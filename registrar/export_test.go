package registrar

// MaxEndedServers limits the ended servers that a registrar keeps.
const MaxEndedServers = maxEndedServers

// EndedCount returns the number of ended servers that the registrar keeps.
func (r *Registrar) EndedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ended)
}
