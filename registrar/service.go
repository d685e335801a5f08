package registrar

// SetService records the service of the server beside this daemon by the settings.
func (r *Registrar) SetService(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service = service
}
