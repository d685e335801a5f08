package limiter

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun/broker"
)

const (
	// requestInterval is the time between two token requests to an owner. Grants follow a
	// change in demand within a second, and unused tokens return to the owner.
	requestInterval = 150 * time.Millisecond
	// intervalPerHost lengthens requestInterval in a larger fleet, so that an owner handles
	// 500 periodic token requests per second at most.
	intervalPerHost = 2 * time.Millisecond
	// maxVoterInterval is the longest time between two token requests of a voter. Several of
	// them fit into the lifetime of a vote.
	maxVoterInterval = 250 * time.Millisecond
	// waitingInterval is the time after which a team that got too few tokens requests more.
	waitingInterval = 40 * time.Millisecond
	// minRequestInterval is the minimum time between two token requests. Requests that arrive
	// meanwhile share the next one.
	minRequestInterval = 10 * time.Millisecond
	// requestTimeout bounds one token request.
	requestTimeout = 300 * time.Millisecond
)

// session is the exchange of token requests with one owner.
type session struct {
	limiter    *Limiter
	owner      broker.Owner
	requestNow chan struct{}
	end        context.CancelFunc

	isVoter    bool          // as of the last request
	echo       time.Duration // stamp of the owner's last response
	sendRepeat bool          // the owner lacks an echo of its first response, or the assignment
	outdated   bool          // the owner has an older assignment
}

func newSession(l *Limiter, owner broker.Owner) *session {
	return &session{limiter: l, owner: owner, requestNow: make(chan struct{}, 1), end: func() {}}
}

// wake makes the session send its next token request as soon as possible.
func (s *session) wake() {
	select {
	case s.requestNow <- struct{}{}:
	default:
	}
}

// run sends token requests until ctx ends, even if no team needs tokens, since a request is
// a vote for the owner and cedes the local shares.
func (s *session) run(ctx context.Context) {
	for {
		s.requestTokens(ctx)
		if s.limiter.clock.Wait(ctx, minRequestInterval) != nil {
			return
		}
		s.waitForNextRequest(ctx)
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *session) waitForNextRequest(ctx context.Context) {
	if s.sendRepeat {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.interval()-minRequestInterval)
	defer cancel()
	select {
	case <-s.requestNow:
	case <-ctx.Done():
	}
}

// interval returns the time until the next token request if no team lacks tokens.
func (s *session) interval() time.Duration {
	if s.limiter.hasWaiting(s.owner) {
		return waitingInterval
	}
	interval := max(requestInterval, time.Duration(s.limiter.members.Count())*intervalPerHost)
	if s.isVoter {
		interval = min(interval, maxVoterInterval)
	}
	return interval
}

// requestTokens sends one token request.
func (s *session) requestTokens(ctx context.Context) {
	l := s.limiter
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sentAt := l.clock.Now()
	request, assignment := l.buildRequest(s.owner, sentAt)
	standing := l.client.Standing()
	request.Votes, request.Incarnation, s.isVoter = standing.Votes, standing.Incarnation, standing.IsVoter
	request.Echo = s.echo
	if s.outdated {
		request.Assignment = &assignment
	}
	response, err := l.client.RequestTokens(ctx, s.owner, request)
	l.client.RecordResponse(s.owner, response, err)
	s.sendRepeat = false
	if err != nil {
		l.log.WithError(err).WithField("owner", s.owner.Host).Debug("limiter: token request to the owner failed")
	}
	if broker.ProcessEnded(s.owner, response, err) {
		l.reclaimShares(s.owner)
		return
	}
	if err != nil {
		return
	}
	s.outdated = response.Generation < request.Generation
	s.sendRepeat = s.echo == 0 || s.outdated && request.Assignment == nil
	s.echo = response.Stamp
	l.applyResponse(response, assignment, sentAt)
}
