package relayer

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

// table is a copy of a table of the store.
type table struct {
	rows     map[string]catkinrun.Row // newest row of each key, deleted ones included
	listedAt catkinrun.Revision       // deletions before this revision are unknown
	revision catkinrun.Revision
	watched  bool          // the last call was to the store itself and succeeded
	changed  chan struct{} // closed and replaced at each change
	alone    bool          // the daemon watches the store itself, since no watcher has current rows
	asOf     time.Time     // clock reading up to which all changes are known
}

// replace replaces the copy by a complete page, which may be from before the last change: a read of the
// store may be stale.
func (t *table) replace(page catkinrun.Page) {
	t.rows = make(map[string]catkinrun.Row, len(page.Rows))
	t.listedAt, t.revision = page.Revision, page.Revision
	t.add(page)
}

func (t *table) add(page catkinrun.Page) {
	for _, row := range page.Rows {
		if row.Revision >= t.rows[row.Key].Revision {
			t.rows[row.Key] = row
		}
	}
	t.revision = max(t.revision, page.Revision)
	if len(page.Rows) > 0 {
		t.notify()
	}
}

// apply adds the result of a watch.
func (t *table) apply(page catkinrun.Page) {
	if page.Complete {
		t.replace(page)
		return
	}
	t.add(page)
}

// confirm records that all changes up to a clock reading are known.
func (t *table) confirm(asOf time.Time) {
	if asOf.After(t.asOf) {
		t.asOf = asOf
		t.notify()
	}
}

func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
