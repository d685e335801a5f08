package relayer

import (
	"time"

	"github.com/catkinrun/catkinrun"
)

// usualAgeWeight is the number of confirmations over which the usual age falls.
const usualAgeWeight = 4

// table is a copy of a table of the store.
type table struct {
	rows     map[string]catkinrun.Row // newest row of each key, deleted ones included
	listedAt catkinrun.Revision       // deletions before this revision are unknown
	revision catkinrun.Revision
	watched  bool          // the last call was to the store itself and succeeded
	failed   bool          // the last call was to the store itself and failed
	changed  chan struct{} // closed and replaced at each change
	alone    bool          // the daemon watches the store itself, since no watcher has current rows
	asOf     time.Time     // clock reading up to which all changes are known
	usualAge time.Duration // that the rows have reached lately when they were confirmed
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

// observeAge records the age that the rows have when they are confirmed. A greater one counts at once, since a daemon
// that takes a slow store for a failed watcher costs a call to the store.
func (t *table) observeAge(age time.Duration) {
	if age < t.usualAge {
		age = t.usualAge - (t.usualAge-age)/usualAgeWeight
	}
	t.usualAge = min(age, maxSilence)
}

// listed reports whether the daemon has ever had the rows.
func (t *table) listed() bool { return !t.asOf.IsZero() }

// patience returns the age of the rows from which a daemon turns to another watcher.
func (t *table) patience() time.Duration { return min(t.usualAge+lateMargin, maxSilence) }

func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
