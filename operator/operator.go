// Package operator serves the operators' API of a daemon.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/admitter"
	"github.com/catkinrun/catkinrun/authenticator"
	"github.com/catkinrun/catkinrun/broker"
	"github.com/catkinrun/catkinrun/committer"
	"github.com/catkinrun/catkinrun/deduplicator"
	"github.com/catkinrun/catkinrun/leveler"
	"github.com/catkinrun/catkinrun/limiter"
	"github.com/catkinrun/catkinrun/loader"
	"github.com/catkinrun/catkinrun/replicator"
	"github.com/catkinrun/catkinrun/tracker"
)

const (
	// maxBody bounds an operator's request, in bytes.
	maxBody = 8 << 20
	// commitTimeout is the longest wait for a commit.
	commitTimeout = 15 * time.Second
	// historyLimit bounds one answer of history, in changes.
	historyLimit = 500
	changeBytes  = 16
)

// Parts are what the API shows and changes.
type Parts struct {
	Replica      *replicator.Replica
	Committer    *committer.Committer
	Limiter      *limiter.Limiter
	Broker       *broker.Broker
	Leveler      *leveler.Leveler
	Admitter     *admitter.Admitter
	Tracker      *tracker.Tracker
	Deduplicator *deduplicator.Deduplicator
	Operators    []loader.Operator
	Metrics      *metrics.Set
	Clock        catkinrun.Clock
	Log          logrus.FieldLogger
}

// API serves the operators' calls.
type API struct {
	Parts
}

// New returns the API.
func New(parts Parts) *API { return &API{parts} }

// NewChangeID returns a unique id for a change.
func NewChangeID() string {
	raw := make([]byte, changeBytes)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// Handler returns the API's routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/resources", a.allow(loader.Reader, a.resources))
	mux.HandleFunc("POST /v1/changes", a.allow(loader.Editor, a.change))
	mux.HandleFunc("GET /v1/changes", a.allow(loader.Reader, a.history))
	mux.HandleFunc("POST /v1/keys", a.allow(loader.Editor, a.issueKey))
	mux.HandleFunc("GET /v1/watch", a.allow(loader.Reader, a.watch))
	mux.HandleFunc("GET /v1/status", a.allow(loader.Reader, a.status))
	mux.HandleFunc("GET /v1/explain", a.allow(loader.Reader, a.explain))
	mux.HandleFunc("GET /metrics", a.showMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.ready)
	return mux
}

// handler answers an operator's call with a value for the body, or fails.
type handler func(r *http.Request, actor string) (any, error)

// allow checks the operator's token and role.
func (a *API) allow(role loader.Role, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := a.operator(r)
		if !ok {
			writeProblem(w, http.StatusUnauthorized, "the operator's token is missing or unknown")
			return
		}
		if role == loader.Editor && operator.Role != loader.Editor {
			writeProblem(w, http.StatusForbidden, operator.Name+" may read but not change")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		body, err := next(r, operator.Name)
		if err != nil {
			a.fail(w, r, err)
			return
		}
		if stream, ok := body.(func(http.ResponseWriter)); ok {
			stream(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (a *API) operator(r *http.Request) (loader.Operator, bool) {
	_, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	sum := sha256.Sum256([]byte(token))
	given := []byte(hex.EncodeToString(sum[:]))
	for _, o := range a.Operators {
		if subtle.ConstantTimeCompare(given, []byte(o.Token)) == 1 {
			return o, true
		}
	}
	return loader.Operator{}, false
}

func (a *API) fail(w http.ResponseWriter, r *http.Request, err error) {
	a.Log.WithError(err).WithField("call", r.Method+" "+r.URL.Path).Info("operator: call failed")
	writeProblem(w, statusOf(err), err.Error())
}

func statusOf(err error) int {
	var conflict *catkinrun.ConflictError
	var invalid *catkinrun.InvalidError
	var missing *catkinrun.NotFoundError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	case errors.As(err, &missing):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{Title: http.StatusText(status), Status: status, Detail: detail})
}

func (a *API) resources(r *http.Request, _ string) (any, error) {
	snapshot := a.Replica.Snapshot()
	kind, name := catkinrun.Kind(r.URL.Query().Get("kind")), r.URL.Query().Get("name")
	if kind != "" && !slices.Contains(catkinrun.Kinds, kind) {
		return nil, &catkinrun.InvalidError{Where: "query", Field: "kind", Reason: "expected team, key, route or host"}
	}
	list := make([]catkinrun.Resource, 0)
	for _, k := range catkinrun.Kinds {
		if kind == "" || kind == k {
			list = append(list, snapshot.List(k)...)
		}
	}
	if name == "" {
		return list, nil
	}
	list = slices.DeleteFunc(list, func(r catkinrun.Resource) bool { return r.Name != name })
	if len(list) == 0 {
		return nil, &catkinrun.NotFoundError{Kind: string(kind), Name: name}
	}
	return list, nil
}

func (a *API) change(r *http.Request, actor string) (any, error) {
	var request ChangeRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	if slices.ContainsFunc(request.Mutations, func(m catkinrun.Mutation) bool { return m.Resource.Kind == catkinrun.KindHost }) {
		return nil, &catkinrun.InvalidError{Where: "change", Field: "kind", Reason: "hosts join and leave by themselves"}
	}
	change := a.newChange(request.ID, actor, request.Mutations)
	if r.URL.Query().Get("dry-run") == "true" {
		return change, a.dryRun(r.Context(), change)
	}
	return a.commit(r.Context(), change)
}

func (a *API) newChange(id, actor string, mutations []catkinrun.Mutation) catkinrun.Change {
	if id == "" {
		id = NewChangeID()
	}
	return catkinrun.Change{ID: id, Actor: actor, Time: a.Clock.Now().UTC(), Mutations: mutations}
}

// dryRun checks a change against the newest configuration that can be read.
func (a *API) dryRun(ctx context.Context, change catkinrun.Change) error {
	if err := a.Committer.CatchUp(ctx); err != nil {
		return err
	}
	if err := change.Validate(); err != nil {
		return err
	}
	return a.Replica.Snapshot().Check(change)
}

func (a *API) commit(ctx context.Context, change catkinrun.Change) (catkinrun.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	committed, err := a.Committer.Commit(ctx, change)
	if err == nil {
		a.Log.WithFields(logrus.Fields{
			"version": committed.Version, "actor": committed.Actor, "mutations": len(committed.Mutations),
		}).Info("operator: change committed")
	}
	return committed, err
}

func (a *API) history(r *http.Request, _ string) (any, error) {
	after, err := version(r, "after")
	if err != nil {
		return nil, err
	}
	return a.Committer.History(r.Context(), after, historyLimit)
}

func (a *API) issueKey(r *http.Request, actor string) (any, error) {
	var request KeyRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	secret, hash := authenticator.Issue()
	key := catkinrun.Resource{
		Kind: catkinrun.KindKey, Name: request.Name,
		Key: &catkinrun.Key{Team: request.Team, Hash: hash},
	}
	committed, err := a.commit(r.Context(), a.newChange("", actor, []catkinrun.Mutation{{Resource: key}}))
	if err != nil {
		return nil, err
	}
	return KeyAnswer{Name: request.Name, Team: request.Team, Secret: secret, Version: committed.Version}, nil
}

func decode(r *http.Request, target any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &catkinrun.InvalidError{Where: "body", Field: "json", Reason: err.Error()}
	}
	return nil
}

func version(r *http.Request, name string) (catkinrun.Version, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &catkinrun.InvalidError{Where: "query", Field: name, Reason: "expected a version number"}
	}
	return catkinrun.Version(n), nil
}

func (a *API) showMetrics(w http.ResponseWriter, _ *http.Request) {
	a.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if _, current := a.Replica.Current(); !current {
		writeProblem(w, http.StatusServiceUnavailable, "no current proof of the configuration")
		return
	}
	w.WriteHeader(http.StatusOK)
}
