package registrar

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/messenger"
)

const (
	joinKeys  = "join/"
	joinLimit = 400 // rows per roster change
	// rejoinWait is the wait before an unanswered join is stored again.
	rejoinWait = 10 * time.Second
)

// wanted returns the roster entry that this host should have.
func (r *Registrar) wanted() (catkinrun.Host, bool) {
	identity := r.replica.Identity()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return catkinrun.Host{}, false
	}
	if r.heardAt.IsZero() && r.clock.Now().Sub(r.startedAt) < firstAnnouncementWait {
		return catkinrun.Host{}, false
	}
	return catkinrun.Host{
		Incarnation: identity.Incarnation,
		Zone:        identity.Zone,
		Peer:        r.peer,
		Service:     r.announced.Service,
		Slots:       r.announced.Slots,
	}, true
}

// join stores a wish for the roster if the entry there differs.
func (r *Registrar) join(ctx context.Context) error {
	host, ok := r.wanted()
	if !ok {
		return nil
	}
	name := r.replica.Identity().Host
	if entry, member := r.replica.Snapshot().Host(name); member && entry == host {
		return nil
	}
	if r.askedLately(host) {
		return nil
	}
	value, err := messenger.Encode(host)
	if err != nil {
		return err
	}
	err = r.table.Commit(ctx, catkinrun.Transaction{Writes: []catkinrun.Write{{Key: joinKeys + name, Value: value}}})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedFor = &host
	r.askedAt = r.clock.Now()
	return nil
}

func (r *Registrar) askedLately(host catkinrun.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askedFor != nil && *r.askedFor == host && r.clock.Now().Sub(r.askedAt) < rejoinWait
}

// updateRoster commits one change with the stored joins and the removal of hosts
// that have been silent for too long.
func (r *Registrar) updateRoster(ctx context.Context) error {
	rows, err := r.table.Scan(ctx, joinKeys, "", joinLimit)
	if err != nil {
		return err
	}
	if err := r.committer.CatchUp(ctx); err != nil {
		return err
	}
	snapshot := r.replica.Snapshot()
	mutations, deletes := r.joins(snapshot, rows)
	mutations = appendOthers(mutations, r.removals(snapshot))
	if len(mutations) == 0 {
		return r.deleteRows(ctx, deletes)
	}
	change := catkinrun.Change{
		ID:        r.newID(),
		Actor:     "host " + r.replica.Identity().Host,
		Time:      r.clock.Now().UTC(),
		Mutations: mutations,
	}
	committed, err := r.committer.Commit(ctx, change, deletes...)
	if err != nil {
		return err
	}
	for _, m := range mutations {
		r.log.WithFields(logrus.Fields{
			"host": m.Resource.Name, "removed": m.Delete, "version": committed.Version,
		}).Info("registrar: roster changed")
	}
	return nil
}

// joins turns stored wishes into mutations, and lists the rows to delete.
func (r *Registrar) joins(s *catkinrun.Snapshot, rows []catkinrun.Row) ([]catkinrun.Mutation, []catkinrun.Write) {
	var mutations []catkinrun.Mutation
	var deletes []catkinrun.Write
	for _, row := range rows {
		deletes = append(deletes, catkinrun.Write{Key: row.Key, Delete: true})
		name := row.Key[len(joinKeys):]
		var host catkinrun.Host
		if err := messenger.Decode(row.Value, &host); err != nil {
			r.log.WithError(err).WithField("host", name).Warn("registrar: join not readable")
			continue
		}
		current, _ := s.Get(catkinrun.KindHost, name)
		if current.Host != nil && *current.Host == host {
			continue
		}
		resource := catkinrun.Resource{Kind: catkinrun.KindHost, Name: name, Host: &host}
		if err := resource.Validate(); err != nil {
			r.log.WithError(err).WithField("host", name).Warn("registrar: join not valid")
			continue
		}
		mutations = append(mutations, catkinrun.Mutation{Replace: current.Version, Resource: resource})
	}
	return mutations, deletes
}

// appendOthers adds the mutations of hosts that are not named yet, so that a
// host which joins again is not removed by the same change.
func appendOthers(mutations, more []catkinrun.Mutation) []catkinrun.Mutation {
	named := make(map[string]bool)
	for _, m := range mutations {
		named[m.Resource.Name] = true
	}
	for _, m := range more {
		if !named[m.Resource.Name] {
			mutations = append(mutations, m)
		}
	}
	return mutations
}

func (r *Registrar) deleteRows(ctx context.Context, deletes []catkinrun.Write) error {
	if len(deletes) == 0 {
		return nil
	}
	return r.table.Commit(ctx, catkinrun.Transaction{Writes: deletes})
}

// removals lists the hosts that have been silent for too long. Only a daemon that
// hears a majority of the votes may name any, so a part that is cut off cannot
// vote the others off.
func (r *Registrar) removals(s *catkinrun.Snapshot) []catkinrun.Mutation {
	now := r.clock.Now()
	connected := r.replica.Connected()
	hosts := r.replica.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	var mutations []catkinrun.Mutation
	for name, status := range hosts {
		if status.Seen || !connected {
			delete(r.silent, name)
			continue
		}
		if r.silent[name].IsZero() {
			r.silent[name] = now
		}
		current, ok := s.Get(catkinrun.KindHost, name)
		if ok && now.Sub(r.silent[name]) > r.limits.Silence {
			mutations = append(mutations, catkinrun.Mutation{Replace: current.Version, Delete: true, Resource: current})
		}
	}
	return mutations
}

// Leave takes this host off the roster. Its vote ends with the change.
func (r *Registrar) Leave(ctx context.Context) error {
	if err := r.committer.CatchUp(ctx); err != nil {
		return err
	}
	current, ok := r.replica.Snapshot().Get(catkinrun.KindHost, r.replica.Identity().Host)
	if !ok || current.Host.Incarnation != r.replica.Identity().Incarnation {
		return nil
	}
	_, err := r.committer.Commit(ctx, catkinrun.Change{
		ID:        r.newID(),
		Actor:     "host " + r.replica.Identity().Host,
		Time:      r.clock.Now().UTC(),
		Mutations: []catkinrun.Mutation{{Replace: current.Version, Delete: true, Resource: current}},
	})
	return err
}
