// Package committer reads and writes the change log in the platform's table.
// Table rows:
//
//	head            version of the last change
//	change/VERSION  one change
//	snapshot        version of the newest snapshot in the object store
//	join/HOST       a host that asks to be put on the roster
package committer

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/messenger"
)

const (
	headKey     = "head"
	snapshotKey = "snapshot"
	changeKeys  = "change/"
	scanLimit   = 500 // rows
)

// position is the value of the head and snapshot rows.
type position struct {
	Version catkinrun.Version `cbor:"version"`
}

// head is the head row as read.
type head struct {
	version  catkinrun.Version
	revision catkinrun.Revision
}

func changeKey(v catkinrun.Version) string { return fmt.Sprintf("%s%016x", changeKeys, uint64(v)) }

func objectName(v catkinrun.Version) string { return fmt.Sprintf("snapshot-%016x", uint64(v)) }

func (c *Committer) readHead(ctx context.Context) (head, error) {
	row, err := c.table.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	var p position
	if row.Revision > 0 {
		if err := messenger.Decode(row.Value, &p); err != nil {
			return head{}, &catkinrun.StoreError{Operation: "decode head", Cause: err}
		}
	}
	return head{version: p.Version, revision: row.Revision}, nil
}

// CatchUp reads the store's head and what the replica lacks up to it, and
// records the proof that the read gives. It fails with *catkinrun.StoreError.
func (c *Committer) CatchUp(ctx context.Context) error {
	_, err := c.catchUp(ctx)
	return err
}

func (c *Committer) catchUp(ctx context.Context) (head, error) {
	sentAt := c.clock.Now()
	h, err := c.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	if h.version > c.replica.Snapshot().Version()+snapshotEvery {
		c.loadSnapshot(ctx)
	}
	for c.replica.Snapshot().Version() < h.version {
		if err := c.readChanges(ctx); err != nil {
			return head{}, err
		}
	}
	c.replica.ProveByStore(sentAt, h.version)
	return h, nil
}

func (c *Committer) readChanges(ctx context.Context) error {
	after := changeKey(c.replica.Snapshot().Version())
	rows, err := c.table.Scan(ctx, changeKeys, after, scanLimit)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return &catkinrun.StoreError{Operation: "read changes", Cause: &catkinrun.NotFoundError{Kind: "change after", Name: after}}
	}
	for _, row := range rows {
		var change catkinrun.Change
		if err := messenger.Decode(row.Value, &change); err != nil {
			return &catkinrun.StoreError{Operation: "decode " + row.Key, Cause: err}
		}
		c.replica.Apply(change)
	}
	return nil
}

// loadSnapshot shortens the reading of the log; without a snapshot the changes do.
func (c *Committer) loadSnapshot(ctx context.Context) {
	row, err := c.table.Get(ctx, snapshotKey)
	if err != nil || row.Revision == 0 {
		return
	}
	var p position
	if err := messenger.Decode(row.Value, &p); err != nil {
		return
	}
	body, err := c.objects.GetObject(ctx, objectName(p.Version))
	if err != nil {
		return
	}
	var data catkinrun.SnapshotData
	if err := messenger.Decode(body, &data); err != nil {
		return
	}
	snapshot, err := catkinrun.LoadSnapshot(data)
	if err != nil {
		return
	}
	c.replica.Load(snapshot)
}

// saveSnapshot stores the replica's snapshot from time to time. A failure costs
// only a longer start of other daemons.
func (c *Committer) saveSnapshot(ctx context.Context, s *catkinrun.Snapshot) {
	if s.Version()%snapshotEvery != 0 {
		return
	}
	body, err := messenger.Encode(s.Data())
	if err != nil {
		return
	}
	if err := c.objects.PutObject(ctx, objectName(s.Version()), body); err != nil {
		return
	}
	row, err := c.table.Get(ctx, snapshotKey)
	if err != nil {
		return
	}
	value, err := messenger.Encode(position{Version: s.Version()})
	if err != nil {
		return
	}
	_ = c.table.Commit(ctx, catkinrun.Transaction{
		Checks: []catkinrun.Check{{Key: snapshotKey, Revision: row.Revision}},
		Writes: []catkinrun.Write{{Key: snapshotKey, Value: value}},
	})
}

// History returns up to limit changes after a version, from the table.
func (c *Committer) History(ctx context.Context, after catkinrun.Version, limit int) ([]catkinrun.Change, error) {
	rows, err := c.table.Scan(ctx, changeKeys, changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]catkinrun.Change, 0, len(rows))
	for _, row := range rows {
		var change catkinrun.Change
		if err := messenger.Decode(row.Value, &change); err != nil {
			return nil, &catkinrun.StoreError{Operation: "decode " + row.Key, Cause: err}
		}
		changes = append(changes, change)
	}
	return changes, nil
}

const (
	// snapshotEvery is the number of changes between snapshots.
	snapshotEvery = 128
	// raceWait is the wait before a commit that lost a race is tried again.
	raceWait = 20 * time.Millisecond
)
