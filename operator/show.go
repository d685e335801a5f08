package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/catkinrun/catkinrun"
)

// progress says how far a version has come.
func (a *API) progress(v catkinrun.Version) Progress {
	p := Progress{Version: v, Stage: Committed}
	for name, host := range a.Replica.Hosts() {
		switch {
		case !host.Seen:
			p.Silent = append(p.Silent, name)
		case host.Held < v:
			p.Lagging = append(p.Lagging, name)
		}
	}
	slices.Sort(p.Lagging)
	slices.Sort(p.Silent)
	if a.Replica.Accepted() < v {
		return p
	}
	p.Stage = Accepted
	if len(p.Lagging) == 0 {
		p.Stage = InForce
	}
	return p
}

// watch writes a line at each step of a change until it is in force, or the
// operator goes away.
func (a *API) watch(r *http.Request, _ string) (any, error) {
	v, err := version(r, "version")
	if err != nil {
		return nil, err
	}
	if v == 0 {
		v = a.Replica.Snapshot().Version()
	}
	return func(w http.ResponseWriter) { a.follow(w, r, v) }, nil
}

func (a *API) follow(w http.ResponseWriter, r *http.Request, v catkinrun.Version) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	last := ""
	for {
		p := a.progress(v)
		line := fmt.Sprint(p)
		if line != last {
			if encoder.Encode(p) != nil || flush.Flush() != nil {
				return
			}
			last = line
		}
		if p.Stage == InForce || a.Clock.Wait(r.Context(), watchStep) != nil {
			return
		}
	}
}

func (a *API) status(_ *http.Request, _ string) (any, error) {
	identity := a.Replica.Identity()
	snapshot, current := a.Replica.Current()
	state := a.Admitter.State()
	hosts := a.Replica.Hosts()
	s := Status{
		Host: identity.Host, Zone: identity.Zone, Incarnation: identity.Incarnation,
		Version: snapshot.Version(), Accepted: a.Replica.Accepted(), Current: current, ProofAge: "none",
		Level: state.Level, Load: state.Load, Running: a.Tracker.Count(), Records: a.Deduplicator.Size(),
		Shares: a.Limiter.Shares(), Outstanding: a.Broker.Outstanding(),
	}
	if age, ok := a.Replica.ProofAge(); ok {
		s.ProofAge = age.String()
	}
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		s.Hosts = append(s.Hosts, hosts[name])
	}
	return s, nil
}

// explain follows a request through the steps without running it.
func (a *API) explain(r *http.Request, _ string) (any, error) {
	query := r.URL.Query()
	snapshot, current := a.Replica.Current()
	route, ok := snapshot.Match(query.Get("method"), query.Get("path"))
	if !ok {
		return nil, &catkinrun.NotFoundError{Kind: "route", Name: query.Get("method") + " " + query.Get("path")}
	}
	e := Explanation{
		Route: route.Name, Service: route.Route.Service, Priority: route.Route.Priority.String(),
		Level: a.Leveler.Level(route.Name), Verdict: "run",
	}
	for name, host := range a.Replica.Hosts() {
		if host.Ready && host.Host.Service == route.Route.Service {
			e.Ready = append(e.Ready, name)
		}
	}
	slices.Sort(e.Ready)
	e.explainTeam(a, snapshot, route, query.Get("team"), current)
	e.explainServers(route)
	return e, nil
}

func (e *Explanation) refuse(why string) {
	e.Verdict = "refuse"
	e.Why = append(e.Why, why)
}

func (e *Explanation) explainTeam(a *API, s *catkinrun.Snapshot, route catkinrun.Resource, team string, current bool) {
	if route.Route.Open {
		e.Why = append(e.Why, "the route is open: it needs no key")
		return
	}
	if !current {
		e.refuse("this host has no current proof of its configuration")
	}
	declared, ok := s.Get(catkinrun.KindTeam, team)
	if !ok {
		e.refuse(fmt.Sprintf("team %q is not declared", team))
		return
	}
	owner := s.Owner(team)
	share := a.Limiter.Shares()[team]
	e.Why = append(e.Why,
		fmt.Sprintf("the team has %g requests a second and a burst of %g over all hosts; its broker is %s", declared.Team.Rate, declared.Team.Burst, owner.Host),
		fmt.Sprintf("this host holds %g requests a second of it", share.Rate))
}

func (e *Explanation) explainServers(route catkinrun.Resource) {
	if len(e.Ready) == 0 {
		e.refuse("no backend server of " + e.Service + " is ready")
	}
	if e.Level == 0 {
		return
	}
	lowest := catkinrun.Envelope{Priority: route.Route.Priority, Share: 9}.Rank()
	e.Why = append(e.Why, fmt.Sprintf("servers shed ranks below %d; this route's start at %d", e.Level, lowest))
	if e.Level > lowest+catkinrun.RanksPerPriority {
		e.refuse("all requests of this priority are shed now")
	}
}
