package limiter

import "context"

// RequestTokens sends one token request to each owner, as the sessions do periodically.
func (l *Limiter) RequestTokens(ctx context.Context) {
	l.updateSessions(func(*session) {})
	for _, owner := range l.assignment.Owners {
		l.sessions[owner].requestTokens(ctx)
	}
}
