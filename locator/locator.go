// Package locator knows the daemons, and the backend servers beside them, from the
// members' table of the store or from other daemons that have read it.
package locator

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// Table is the store's table of members.
const Table = "members"

// memberPrefix begins the keys of the members' rows.
const memberPrefix = "host/"

// Key returns the key of a member's row.
func Key(host string) string { return memberPrefix + host }

// Locator finds members. It is safe for concurrent use.
type Locator struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	rows     map[string]catkinrun.Row
	members  map[string]catkinrun.Member // by host
	services map[string][]catkinrun.Member
	leaving  map[string][]catkinrun.Member // by service, those that or whose servers are about to leave
	revision catkinrun.Revision
}

// New returns a locator that knows nobody.
func New(log logrus.FieldLogger) *Locator {
	l := &Locator{log: log, rows: make(map[string]catkinrun.Row)}
	l.indexLocked()
	return l
}

// Apply takes rows of the table. A row that cannot be read names nobody.
func (l *Locator) Apply(page catkinrun.Page, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole {
		l.forgetLocked(page)
	}
	for _, row := range page.Rows {
		if strings.HasPrefix(row.Key, memberPrefix) && row.Revision >= l.rows[row.Key].Revision {
			l.rows[row.Key] = row
		}
	}
	l.revision = max(l.revision, page.Revision)
	l.indexLocked()
}

// forgetLocked drops the rows that a whole listing no longer has.
func (l *Locator) forgetLocked(page catkinrun.Page) {
	for key, row := range l.rows {
		listed := slices.ContainsFunc(page.Rows, func(r catkinrun.Row) bool { return r.Key == key })
		if !listed && row.Revision <= page.Revision {
			delete(l.rows, key)
		}
	}
}

func (l *Locator) indexLocked() {
	l.members = make(map[string]catkinrun.Member, len(l.rows))
	l.services = make(map[string][]catkinrun.Member)
	l.leaving = make(map[string][]catkinrun.Member)
	for key, row := range l.rows {
		if row.Deleted {
			continue
		}
		member, err := decode(row)
		if err != nil {
			l.log.WithError(err).WithField("key", key).Warn("locator: member's row cannot be read")
			continue
		}
		l.members[member.Host] = member
		l.indexServerLocked(member)
	}
	for _, services := range []map[string][]catkinrun.Member{l.services, l.leaving} {
		for _, list := range services {
			slices.SortFunc(list, func(a, b catkinrun.Member) int { return strings.Compare(a.Host, b.Host) })
		}
	}
}

func (l *Locator) indexServerLocked(m catkinrun.Member) {
	if m.Server == nil {
		return
	}
	list := l.leaving
	if m.Serves(m.Server.Service) {
		list = l.services
	}
	list[m.Server.Service] = append(list[m.Server.Service], m)
}

func decode(row catkinrun.Row) (catkinrun.Member, error) {
	var member catkinrun.Member
	if err := json.Unmarshal(row.Value, &member); err != nil {
		return member, err
	}
	return member, member.Validate()
}

// Serving returns the members whose servers take new work of a service, sorted by host;
// if there is none, those that are about to leave. The caller must not change the list.
func (l *Locator) Serving(service string) []catkinrun.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list := l.services[service]; len(list) > 0 {
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

// Count returns the number of members.
func (l *Locator) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members)
}

// Row returns the row of a host; an absent one has revision 0.
func (l *Locator) Row(host string) catkinrun.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[Key(host)]
	if row.Deleted {
		return catkinrun.Row{}
	}
	return row
}

// Page returns everything known, for another daemon that cannot reach the store.
func (l *Locator) Page() catkinrun.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := catkinrun.Page{Revision: l.revision}
	for _, row := range l.rows {
		page.Rows = append(page.Rows, row)
	}
	return page
}

// Revision returns the newest revision of the store that is known.
func (l *Locator) Revision() catkinrun.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}
