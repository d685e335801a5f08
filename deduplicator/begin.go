package deduplicator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
)

// maxKeptBody bounds the body of an answer that is kept, in bytes.
const maxKeptBody = 64 << 10

// syncRetryAfter is the wait told to callers while records are being fetched.
const syncRetryAfter = time.Second

// Begin claims a key for a request. It returns the record of an earlier request
// with that key if it is done, and nil if this request shall run; then the caller
// must Finish or Drop it. It fails with *catkinrun.Refusal.
func (d *Deduplicator) Begin(ctx context.Context, key, request, digest string) (*Record, error) {
	claim, others, done, err := d.openWhenKnown(ctx, key, request, digest)
	if err != nil || done != nil {
		return done, err
	}
	held := 1 + d.spread(ctx, claim, others, claimQuorum(len(others)+1)-1)
	d.mu.Lock()
	defer d.mu.Unlock()
	inView := d.fence == claim.View && d.view.Version == claim.View
	if inView && held >= claimQuorum(len(others)+1) {
		return nil, nil
	}
	claim.Record = claim.Record.withState(Dropped)
	d.storeLocked(claim.Record)
	d.tell(ctx, others, claim)
	return nil, unavailable(catkinrun.NotRun, catkinrun.ReasonNotOwner, "too few holders of the idempotency key can be reached")
}

const (
	// syncPatience is the longest wait of a request for the records of its key.
	syncPatience = 2 * time.Second
	// syncStep is the time between two looks for them.
	syncStep = 20 * time.Millisecond
)

// openWhenKnown makes the claim, and waits a while for the records of earlier views.
func (d *Deduplicator) openWhenKnown(ctx context.Context, key, request, digest string) (*Claim, []string, *Record, error) {
	deadline := d.clock.Now().Add(syncPatience)
	for {
		claim, others, done, err := d.open(key, request, digest)
		var refusal *catkinrun.Refusal
		waits := errors.As(err, &refusal) && refusal.Reason == catkinrun.ReasonIncomplete
		if !waits || d.clock.Now().After(deadline) || d.clock.Wait(ctx, syncStep) != nil {
			return claim, others, done, err
		}
	}
}

// open makes the claim in the own records.
func (d *Deduplicator) open(key, request, digest string) (claim *Claim, others []string, done *Record, _ error) {
	_, current := d.replica.Current()
	member := d.replica.Member()
	d.mu.Lock()
	defer d.mu.Unlock()
	holders := Holders(key, d.view.Hosts)
	if !current {
		return nil, nil, nil, unavailable(catkinrun.NotRun, catkinrun.ReasonStale, "this host has no current proof of its configuration")
	}
	if !member || len(holders) == 0 || holders[0] != d.replica.Identity().Host || d.fence > d.view.Version {
		return nil, nil, nil, unavailable(catkinrun.NotRun, catkinrun.ReasonNotOwner, "another host owns the idempotency key")
	}
	if e, ok := d.records[key]; ok {
		record, err := replay(e.Record, digest)
		return nil, nil, record, err
	}
	if !d.knownLocked(key) {
		return nil, nil, nil, unavailable(catkinrun.Unknown, catkinrun.ReasonIncomplete, "records of the idempotency key are not complete here yet")
	}
	record := Record{Key: key, Request: request, Digest: digest, State: Claimed}
	d.records[key] = &entry{Record: record, madeAt: d.clock.Now()}
	return &Claim{Service: d.service, View: d.view.Version, Record: record}, holders[1:], nil, nil
}

// replay returns what is known of an earlier request with the key.
func replay(r Record, digest string) (*Record, error) {
	switch {
	case r.Digest != digest:
		return nil, &catkinrun.Refusal{
			Status: http.StatusUnprocessableEntity, Reason: catkinrun.ReasonDuplicate, Outcome: catkinrun.NotRun,
			Detail: "the idempotency key was used for another request",
		}
	case r.State == Done && r.Status != 0:
		return &r, nil
	}
	return nil, &catkinrun.Refusal{
		Status: http.StatusConflict, Reason: catkinrun.ReasonDuplicate, Outcome: catkinrun.Unknown,
		RetryAfter: syncRetryAfter, Detail: "a request with the idempotency key is running, or its answer is not known",
	}
}

func unavailable(outcome catkinrun.Outcome, reason catkinrun.Reason, detail string) error {
	return &catkinrun.Refusal{
		Status: http.StatusServiceUnavailable, Reason: reason, Outcome: outcome,
		RetryAfter: syncRetryAfter, Detail: detail,
	}
}

func (r Record) withState(s State) Record {
	r.State = s
	return r
}

// spread sends a claim to the other holders and returns how many took it, as soon
// as enough did. The rest are sent all the same.
func (d *Deduplicator) spread(ctx context.Context, c *Claim, hosts []string, enough int) int {
	if enough == 0 {
		return 0
	}
	answers := make(chan bool, len(hosts))
	for _, host := range hosts {
		d.sends.Go(func() error {
			answers <- d.send(ctx, host, c)
			return nil
		})
	}
	held := 0
	for range hosts {
		if <-answers {
			held++
		}
		if held >= enough {
			break
		}
	}
	return held
}

// send reports whether a holder took the record. It goes on when the request ends.
func (d *Deduplicator) send(ctx context.Context, host string, c *Claim) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.limits.Claim)
	defer cancel()
	answer, err := d.peers.Claim(ctx, host, c)
	if err != nil {
		d.log.WithError(err).WithField("host", host).Debug("deduplicator: holder does not answer")
		return false
	}
	return answer.Held
}

// Finish keeps the answer of a request that ran, here and at the other holders.
// A status of 0 says that it ran but its answer is not known.
func (d *Deduplicator) Finish(ctx context.Context, key, request string, status int, header http.Header, body []byte) {
	if len(body) > maxKeptBody {
		status, header, body = 0, nil, nil
	}
	d.conclude(ctx, key, request, func(r Record) Record {
		r.State = Done
		r.Status = status
		r.Header = header
		r.Body = body
		return r
	})
}

// Drop forgets a claim whose request is proven not to have run.
func (d *Deduplicator) Drop(ctx context.Context, key, request string) {
	d.conclude(ctx, key, request, func(r Record) Record { return r.withState(Dropped) })
}

func (d *Deduplicator) conclude(ctx context.Context, key, request string, change func(Record) Record) {
	d.mu.Lock()
	e, ok := d.records[key]
	if !ok || e.Request != request || e.State != Claimed {
		d.mu.Unlock()
		return
	}
	record := change(e.Record)
	d.storeLocked(record)
	claim := &Claim{Service: d.service, View: d.view.Version, Record: record}
	others := slices.DeleteFunc(Holders(key, d.view.Hosts), func(h string) bool { return h == d.replica.Identity().Host })
	d.mu.Unlock()
	d.tell(ctx, others, claim)
}

// tell sends a conclusion. A lost one leaves a claim, which answers unknown.
func (d *Deduplicator) tell(ctx context.Context, hosts []string, c *Claim) {
	for _, host := range hosts {
		d.sends.Go(func() error {
			d.send(ctx, host, c)
			return nil
		})
	}
}

// Flush waits until the messages under way to other holders have ended.
func (d *Deduplicator) Flush() { _ = d.sends.Wait() }
