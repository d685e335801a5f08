package filterer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/deduplicator"
)

type deduplicate struct {
	deduplicator *deduplicator.Deduplicator
}

func newDeduplicate(p *Parts) catkinrun.Filter {
	return &deduplicate{deduplicator: p.Deduplicator}
}

// Process claims the idempotency key before the request runs, and keeps the answer
// for its repetitions.
func (f *deduplicate) Process(ctx context.Context, c *catkinrun.Call, next catkinrun.Handler) error {
	if !deduplicated(c.Envelope) {
		return next(ctx, c)
	}
	key, request := c.Envelope.DedupeKey, c.Envelope.Request
	record, err := f.deduplicator.Begin(ctx, key, request, digest(c))
	if err != nil {
		return err
	}
	if record != nil {
		c.Answer = &catkinrun.Answer{Status: record.Status, Header: record.Header.Clone(), Body: record.Body}
		return nil
	}
	err = next(ctx, c)
	if err != nil {
		f.failed(ctx, key, request, err)
		return err
	}
	answer := c.Answer
	answer.OnEnd(func(bool) {
		status := answer.Status
		if answer.Stream != nil {
			status = 0 // too large to keep
		}
		f.deduplicator.Finish(ctx, key, request, status, answer.Header.Clone(), answer.Body)
	})
	return nil
}

// failed drops the claim of a request that is proven not to have run.
func (f *deduplicate) failed(ctx context.Context, key, request string, err error) {
	var refusal *catkinrun.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == catkinrun.NotRun {
		f.deduplicator.Drop(ctx, key, request)
		return
	}
	f.deduplicator.Finish(ctx, key, request, 0, nil, nil)
}

// digest tells a repetition from another request with the same key.
func digest(c *catkinrun.Call) string {
	h := sha256.New()
	_, _ = h.Write([]byte(c.Method + " " + c.URL.RequestURI() + "\n"))
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}
