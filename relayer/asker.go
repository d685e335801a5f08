package relayer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
)

// setAlone records whether this daemon watches the store itself for lack of a watcher, and logs a change.
func (r *Relayer) setAlone(name string, alone bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	if t.alone == alone {
		return
	}
	t.alone = alone
	fields := logrus.Fields{"table": name, "age_ms": r.clock.Now().Sub(t.asOf).Milliseconds()}
	if alone {
		r.log.WithError(cause).WithFields(fields).Info("relayer: no watcher has current rows, watching the store")
		return
	}
	r.log.WithFields(fields).Info("relayer: a watcher has current rows again")
}

// askLimits returns how long to wait for the current watcher and then for the next one, for a daemon whose rows have
// an age. One whose rows are too old already, after its start or an outage, has no watcher to wait for.
func askLimits(age time.Duration) []time.Duration {
	switch {
	case age < maxSilence:
		return []time.Duration{maxSilence - age, askTime}
	case age < maxAge:
		return []time.Duration{maxAge - age}
	}
	return []time.Duration{askTime, askTime}
}

// currentWatcher returns the watcher whose turn it is. After a while a daemon returns to the first one, which is of its
// own zone.
func (r *Relayer) currentWatcher(watchers []catkinrun.Member) catkinrun.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Now().Sub(r.turnAt) >= preferTime {
		r.turn = 0
	}
	return watchers[r.turn%len(watchers)]
}

// passOver makes it the next watcher's turn, unless a request for another table has done so.
func (r *Relayer) passOver(watcher catkinrun.Member, watchers []catkinrun.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if watchers[r.turn%len(watchers)].Host == watcher.Host {
		r.turn, r.turnAt = r.turn+1, r.clock.Now()
	}
}

// askWatcher asks a watcher for the changes of a table and records what it responds within limit.
func (r *Relayer) askWatcher(ctx context.Context, watcher catkinrun.Member, name string, after catkinrun.Revision, limit time.Duration) (catkinrun.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sentAt, age := r.clock.Now(), r.Age(name)
	response, err := r.ask(ctx, watcher, &Request{Table: name, After: after, Age: age})
	if err != nil {
		return catkinrun.Page{}, err
	}
	if !response.Usable {
		return catkinrun.Page{}, &UnusableError{Host: watcher.Host}
	}
	page := catkinrun.Page{Rows: response.Rows, Revision: response.Revision, Complete: response.Complete}
	asOf := sentAt.Add(min(response.Known, r.clock.Now().Sub(sentAt)))
	r.recordRelayed(name, page, asOf)
	return page, nil
}

// UnusableError reports that a daemon has no current rows from the store at the moment.
type UnusableError struct {
	Host string
}

func (e *UnusableError) Error() string { return e.Host + " has no current rows from the store" }

// recordRelayed adds what a watcher has responded.
func (r *Relayer) recordRelayed(name string, page catkinrun.Page, asOf time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	t.watched = false
	t.apply(page)
	t.confirm(asOf)
	t.notify() // daemons that wait here have to turn to another watcher
}
