// Package locator keeps the members: the daemons and the backend servers beside them. Their
// rows come from the members table of the store, or from other daemons that have read it.
package locator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// Table is the store's members table.
const Table = "members"

// keyPrefix is the prefix of the keys of member rows.
const keyPrefix = "host/"

// Key returns the key of the member row of a host.
func Key(host string) string { return keyPrefix + host }

// Locator indexes members by host and by service. It is safe for concurrent use.
type Locator struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	rows     map[string]catkinrun.Row      // as in the store
	held     map[string]catkinrun.Row      // rows of the former era that are used in place of those in the store
	era      uint64                        // of the last complete listing
	listed   bool                          // there was one
	members  map[string]catkinrun.Member   // by host
	serving  map[string][]catkinrun.Member // by service, members that accept new requests
	leaving  map[string][]catkinrun.Member // by service, members that are leaving or whose server is draining
	revision catkinrun.Revision
	reported map[string]catkinrun.Revision // rows that cannot be decoded, by key, as they were logged
}

// New returns a locator without members.
func New(log logrus.FieldLogger) *Locator {
	l := &Locator{log: log, rows: make(map[string]catkinrun.Row), held: make(map[string]catkinrun.Row), reported: make(map[string]catkinrun.Revision)}
	l.indexLocked()
	return l
}

// Apply merges rows that the store has returned; an older row never replaces a newer one. If
// complete is true, page has all rows of the table, and rows that page lacks are removed
// unless they are newer than page. A host whose row cannot be decoded is not a member.
//
// The first listing of a new era is that of a backup: a row that it lacks, or has in an earlier state, stays in
// use until the host has written it again, or the table is listed once more.
func (l *Locator) Apply(page catkinrun.Page, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if complete && page.Revision.Era() == l.era {
		clear(l.held)
	}
	l.mergeLocked(page, complete)
}

// Merge merges all rows that another daemon has, like a complete listing.
func (l *Locator) Merge(page catkinrun.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLocked(page, true)
}

func (l *Locator) mergeLocked(page catkinrun.Page, complete bool) {
	if complete && page.Revision.Era() < l.era {
		return // from before a restore
	}
	if complete {
		l.listed = true
		l.removeUnlistedLocked(page)
	}
	for _, row := range page.Rows {
		if strings.HasPrefix(row.Key, keyPrefix) && row.Revision >= l.rows[row.Key].Revision {
			l.rows[row.Key] = row
			if !complete {
				delete(l.held, row.Key)
			}
		}
	}
	l.revision = max(l.revision, page.Revision)
	l.indexLocked()
}

// removeUnlistedLocked removes the rows that a complete listing lacks, except newer ones.
func (l *Locator) removeUnlistedLocked(page catkinrun.Page) {
	listed := make(map[string]catkinrun.Row, len(page.Rows))
	for _, row := range page.Rows {
		listed[row.Key] = row
	}
	restored := page.Revision.Era() > l.era
	l.era = page.Revision.Era()
	for key, row := range l.rows {
		present, found := listed[key]
		if restored && row.Revision.Era() < l.era && row.Revision.Count() > present.Revision.Count() && !writtenIn(l.era, present) {
			l.held[key] = row
		}
		if !found && row.Revision <= page.Revision {
			delete(l.rows, key)
		}
	}
	if restored && len(l.held) > 0 {
		l.log.WithFields(logrus.Fields{"era": l.era, "rows": len(l.held)}).Info("locator: the store was restored, newer rows stay in use until they are written again")
	}
}

// writtenIn reports whether a row was written in an era, and is not from a backup.
func writtenIn(era uint64, row catkinrun.Row) bool {
	member, err := DecodeMember(row)
	return err == nil && member.Era == era
}

// usedLocked returns the rows that describe the members.
func (l *Locator) usedLocked() map[string]catkinrun.Row {
	if len(l.held) == 0 {
		return l.rows
	}
	used := maps.Clone(l.rows)
	maps.Copy(used, l.held)
	return used
}

func (l *Locator) indexLocked() {
	l.members = make(map[string]catkinrun.Member, len(l.rows))
	l.serving = make(map[string][]catkinrun.Member)
	l.leaving = make(map[string][]catkinrun.Member)
	for key, row := range l.usedLocked() {
		if row.Deleted {
			continue
		}
		row.Key = key
		member, err := DecodeMember(row)
		if err != nil {
			l.reportLocked(row, err)
			continue
		}
		l.members[member.Host] = member
		l.indexServerLocked(member)
	}
	for _, byService := range []map[string][]catkinrun.Member{l.serving, l.leaving} {
		for _, list := range byService {
			slices.SortFunc(list, func(a, b catkinrun.Member) int { return strings.Compare(a.Host, b.Host) })
		}
	}
}

// reportLocked logs once that a state of a row names no member; the index is built anew at each change.
func (l *Locator) reportLocked(row catkinrun.Row, cause error) {
	if l.reported[row.Key] == row.Revision {
		return
	}
	l.reported[row.Key] = row.Revision
	l.log.WithError(cause).WithField("key", row.Key).Warn("locator: cannot decode member row")
}

func (l *Locator) indexServerLocked(m catkinrun.Member) {
	if m.Server == nil {
		return
	}
	list := l.leaving
	if m.Serves(m.Server.Service) {
		list = l.serving
	}
	list[m.Server.Service] = append(list[m.Server.Service], m)
}

// DecodeMember returns the member that a row describes. It fails if that is not the host which the key names: the row
// would displace that of another host.
func DecodeMember(row catkinrun.Row) (catkinrun.Member, error) {
	var member catkinrun.Member
	if err := json.Unmarshal(row.Value, &member); err != nil {
		return member, err
	}
	if Key(member.Host) != row.Key {
		return member, &catkinrun.InvalidError{Where: "member " + member.Host, Field: "host", Reason: "the row has the key " + row.Key}
	}
	return member, member.Validate()
}

// Serving returns the members that accept new requests of a service, sorted by host. If
// there are none, it returns those that are leaving or whose server is draining. The caller
// must not modify the list.
func (l *Locator) Serving(service string) []catkinrun.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list := l.serving[service]; len(list) > 0 {
		return list
	}
	return l.leaving[service]
}

// Members returns all members, sorted by host.
func (l *Locator) Members() []catkinrun.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]catkinrun.Member, 0, len(l.members))
	for _, m := range l.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b catkinrun.Member) int { return strings.Compare(a.Host, b.Host) })
	return list
}

// CrashReports returns the reports of the hosts that have made one.
func (l *Locator) CrashReports() []catkinrun.CrashReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []catkinrun.CrashReport
	for host, m := range l.members {
		if len(m.Crashes) > 0 || len(m.Refused) > 0 {
			m.CrashReport.Host = host
			reports = append(reports, m.CrashReport)
		}
	}
	return reports
}

// Count returns the number of members, 0 as long as the table has not been read: the rows that are known then, like this
// host's own, do not tell how many there are.
func (l *Locator) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed {
		return 0
	}
	return len(l.members)
}

// Row returns the row of a host as it is in the store, or a row with revision 0 if there is none.
func (l *Locator) Row(host string) catkinrun.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[Key(host)]
	if row.Deleted {
		return catkinrun.Row{}
	}
	return row
}

// Page returns all rows, for another daemon that cannot reach the store.
func (l *Locator) Page() catkinrun.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := catkinrun.Page{Revision: l.revision}
	for _, row := range l.rows {
		page.Rows = append(page.Rows, row)
	}
	return page
}

// Revision returns the newest known revision of the store.
func (l *Locator) Revision() catkinrun.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}
