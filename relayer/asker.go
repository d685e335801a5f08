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

// Watch implements catkinrun.Store.
func (r *Relayer) Watch(ctx context.Context, name string, after catkinrun.Revision, wait time.Duration) (catkinrun.Page, error) {
	view := r.currentRoles()
	if view.isWatcher || len(view.watchers) == 0 {
		return r.watchStore(ctx, name, after, wait)
	}
	tried := attempts{table: name}
	gain := followGain
	if view.isStandby {
		gain = minGain
	}
	for _, limit := range r.askLimits(name) {
		watcher := r.currentWatcher(view.watchers)
		page, err := r.tryWatcher(ctx, watcher, &Request{Table: name, After: after, Gain: gain}, limit, &tried)
		if err == nil || ctx.Err() != nil {
			return page, err
		}
		r.passOver(watcher, view.watchers)
		gain = turnGain
	}
	if limit := maxAge - r.Age(name); view.standby.Host != "" && limit > 0 {
		page, err := r.tryWatcher(ctx, view.standby, &Request{Table: name, After: after, Gain: turnGain, Relayed: true}, limit, &tried)
		if err == nil || ctx.Err() != nil {
			return page, err
		}
	}
	r.setAlone(name, true, tried.cause)
	f := newFallback(r, name, after)
	page, err := f.watch(ctx, min(wait, confirmInterval), view.standby)
	tried.add(f.source, f.startAge, err)
	r.logLate(&tried)
	return page, err
}

// askLimits returns how long to wait for the current watcher and then for the next one. A daemon whose rows are too old
// already, after its start or an outage, has no watcher to wait for.
func (r *Relayer) askLimits(name string) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	age := r.clock.Now().Sub(t.asOf)
	switch patience := t.patience(); {
	case age < patience:
		return []time.Duration{patience - age, askTime}
	case age < maxAge:
		return []time.Duration{askTime}
	}
	return []time.Duration{startAskTime, startAskTime}
}

// isLate reports whether the rows of a table are older than they usually become.
func (r *Relayer) isLate(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tableLocked(name)
	return r.clock.Now().Sub(t.asOf) >= t.patience()
}

// tryWatcher asks a watcher, and records the attempt and what came of it.
func (r *Relayer) tryWatcher(ctx context.Context, watcher catkinrun.Member, request *Request, limit time.Duration, tried *attempts) (catkinrun.Page, error) {
	request.Age = r.Age(request.Table)
	page, err := r.askWatcher(ctx, watcher, request, limit)
	tried.add(watcher.Host, request.Age, err)
	if err == nil {
		r.setAlone(request.Table, false, nil)
		r.logLate(tried)
	}
	return page, err
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

// exchange sends a request to another daemon. It returns the response, and the clock reading up to which that shows all
// changes. It fails if the daemon does not respond within limit or has nothing usable.
func (r *Relayer) exchange(ctx context.Context, member catkinrun.Member, request *Request, limit time.Duration) (response *Response, asOf time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sentAt := r.clock.Now()
	response, err = r.ask(ctx, member, request)
	if err != nil {
		return nil, time.Time{}, err
	}
	if !response.Usable {
		return nil, time.Time{}, &UnusableError{Host: member.Host}
	}
	return response, sentAt.Add(min(response.Known, r.clock.Now().Sub(sentAt))), nil
}

// askWatcher sends a request to a watcher and records what it responds within limit. It fails if that is no change and
// leaves the rows late.
func (r *Relayer) askWatcher(ctx context.Context, watcher catkinrun.Member, request *Request, limit time.Duration) (catkinrun.Page, error) {
	response, asOf, err := r.exchange(ctx, watcher, request, limit)
	if err != nil {
		return catkinrun.Page{}, err
	}
	page := catkinrun.Page{Rows: response.Rows, Revision: response.Revision, Complete: response.Complete}
	r.recordRelayed(request.Table, page, asOf)
	if len(page.Rows) == 0 && !page.Complete && r.isLate(request.Table) {
		return catkinrun.Page{}, &UnusableError{Host: watcher.Host}
	}
	return page, nil
}

// observeAgeLocked records the age that the rows of a table have reached when they are confirmed without a change.
func (r *Relayer) observeAgeLocked(t *table, page catkinrun.Page, asOf time.Time) {
	if len(page.Rows) == 0 && asOf.After(t.asOf) {
		t.observeAge(r.clock.Now().Sub(t.asOf))
	}
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
	t.watched, t.failed = false, false
	r.observeAgeLocked(t, page, asOf)
	t.apply(page)
	t.confirm(asOf)
	t.notify() // daemons that wait here have to turn to another watcher
}
