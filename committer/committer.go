package committer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/messenger"
	"github.com/catkinrun/catkinrun/replicator"
)

// Committer appends changes to the log, each exactly once.
type Committer struct {
	table   catkinrun.Table
	objects catkinrun.ObjectStore
	replica *replicator.Replica
	clock   catkinrun.Clock
}

// New returns a committer that keeps replica up to date with the log.
func New(table catkinrun.Table, objects catkinrun.ObjectStore, replica *replicator.Replica, clock catkinrun.Clock) *Committer {
	return &Committer{table: table, objects: objects, replica: replica, clock: clock}
}

// RosterBusyError reports that the last roster change is not accepted yet. A
// roster change must wait for it, so that majorities of any two rosters in use
// have a member in common.
type RosterBusyError struct {
	Pending catkinrun.Version
}

func (e *RosterBusyError) Error() string {
	return "the roster change before this one is not accepted yet"
}

// Commit appends the change and returns it with its version. Extra writes, to
// rows outside the log, take effect with it or not at all. It fails with
// *catkinrun.ConflictError, *catkinrun.InvalidError, *RosterBusyError, or, if the
// store does not answer, *catkinrun.UnknownResultError. A change id that the log
// has already is not appended again.
func (c *Committer) Commit(ctx context.Context, change catkinrun.Change, extra ...catkinrun.Write) (catkinrun.Change, error) {
	if err := change.Validate(); err != nil {
		return change, err
	}
	var tried catkinrun.Version
	for {
		done, committed, err := c.attempt(ctx, change, extra, &tried)
		if done {
			return committed, err
		}
		if waitErr := c.clock.Wait(ctx, raceWait); waitErr != nil {
			return change, c.giveUp(change, tried, errors.CombineErrors(waitErr, err))
		}
	}
}

// giveUp tells a change that was never sent from one whose result is unknown.
func (c *Committer) giveUp(change catkinrun.Change, tried catkinrun.Version, cause error) error {
	if tried == 0 {
		return &catkinrun.StoreError{Operation: "read head", Cause: cause}
	}
	return &catkinrun.UnknownResultError{ChangeID: change.ID, Cause: cause}
}

// attempt tries once; done is false if another try may succeed. tried is the
// highest version at which the change may have been written.
func (c *Committer) attempt(ctx context.Context, change catkinrun.Change, extra []catkinrun.Write, tried *catkinrun.Version) (done bool, _ catkinrun.Change, _ error) {
	if committed, ok, err := c.find(ctx, change.ID, *tried); err != nil || ok {
		return ok, committed, err
	}
	h, err := c.catchUp(ctx)
	if err != nil {
		return false, change, err
	}
	snapshot := c.replica.Snapshot()
	if snapshot.Version() != h.version {
		return false, change, nil
	}
	if committed, ok := c.replica.FindChange(change.ID); ok {
		return true, committed, nil
	}
	if err := c.check(snapshot, change); err != nil {
		return true, change, err
	}
	change = change.WithVersion(h.version + 1)
	*tried = change.Version
	return c.write(ctx, h, change, extra)
}

// find looks for a change whose write got no answer.
func (c *Committer) find(ctx context.Context, id string, tried catkinrun.Version) (catkinrun.Change, bool, error) {
	var found catkinrun.Change
	if tried == 0 {
		return found, false, nil
	}
	row, err := c.table.Get(ctx, changeKey(tried))
	if err != nil || row.Revision == 0 {
		return found, false, err
	}
	if err := messenger.Decode(row.Value, &found); err != nil {
		return found, false, &catkinrun.StoreError{Operation: "decode change", Cause: err}
	}
	if found.ID != id {
		return found, false, nil
	}
	c.replica.Apply(found)
	return found, true, nil
}

func (c *Committer) check(s *catkinrun.Snapshot, change catkinrun.Change) error {
	if s.ChangesVotes(change) && c.replica.Accepted() < s.RosterVersion() {
		return &RosterBusyError{Pending: s.RosterVersion()}
	}
	return s.Check(change)
}

func (c *Committer) write(ctx context.Context, h head, change catkinrun.Change, extra []catkinrun.Write) (done bool, _ catkinrun.Change, _ error) {
	row, err := messenger.Encode(change)
	if err != nil {
		return true, change, errors.Wrap(err, "encode change")
	}
	newHead, err := messenger.Encode(position{Version: change.Version})
	if err != nil {
		return true, change, errors.Wrap(err, "encode head")
	}
	writes := []catkinrun.Write{
		{Key: headKey, Value: newHead},
		{Key: changeKey(change.Version), Value: row},
	}
	err = c.table.Commit(ctx, catkinrun.Transaction{
		Checks: []catkinrun.Check{{Key: headKey, Revision: h.revision}},
		Writes: append(writes, extra...),
	})
	if err != nil {
		return false, change, err
	}
	c.replica.Apply(change)
	c.saveSnapshot(ctx, c.replica.Snapshot())
	return true, change, nil
}
