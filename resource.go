package catkinrun

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// Version is the version number of a configuration. A later version has a higher number,
// not always by one.
type Version uint64

// Kind names a kind of declared resource.
type Kind string

// The kinds of resources.
const (
	KindTeam    Kind = "team"
	KindRoute   Kind = "route"
	KindService Kind = "service"
	KindLimits  Kind = "limits"
)

// Kinds lists the kinds in the order in which they are shown and applied.
var Kinds = []Kind{KindTeam, KindService, KindRoute, KindLimits}

// Team is a group of callers with keys, and with a rate and a burst over all hosts together.
type Team struct {
	Rate     float64   `cbor:"rate" json:"rate" yaml:"rate"`    // requests per second, 0 for no limit
	Burst    float64   `cbor:"burst" json:"burst" yaml:"burst"` // requests
	Priority *Priority `cbor:"priority" json:"priority,omitempty" yaml:"priority,omitempty"`
	Keys     []string  `cbor:"keys" json:"keys,omitempty" yaml:"keys,omitempty"`
}

// Route maps the requests of a domain whose path begins with a prefix to a service,
// or to several by weight.
type Route struct {
	Domain     string   `cbor:"domain" json:"domain" yaml:"domain"`
	Prefix     string   `cbor:"prefix" json:"prefix" yaml:"prefix"`
	Targets    []Target `cbor:"targets" json:"targets" yaml:"targets"`
	Priority   Priority `cbor:"priority" json:"priority" yaml:"priority"`
	Open       bool     `cbor:"open" json:"open,omitempty" yaml:"open,omitempty"`
	Idempotent bool     `cbor:"idempotent" json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	Timeout    Duration `cbor:"timeout" json:"timeout" yaml:"timeout"`       // longest wait for a response
	Objective  Duration `cbor:"objective" json:"objective" yaml:"objective"` // latency objective
	Attempts   int      `cbor:"attempts" json:"attempts" yaml:"attempts"`    // maximum number of backend servers that one request is sent to
	// Upload marks requests with large bodies, which are not idempotent.
	Upload bool `cbor:"upload,omitempty" json:"upload,omitempty" yaml:"upload,omitempty"`
	// UnknownKind is the stored kind of the requests if it is none that this version knows. The
	// requests are then treated as not idempotent. It cannot be declared.
	UnknownKind string `cbor:"unknown-kind,omitempty" json:"unknown-kind,omitempty" yaml:"unknown-kind,omitempty"`
}

// Target is a service that a route's requests go to, with its weight.
type Target struct {
	Service string  `cbor:"service" json:"service" yaml:"service"`
	Weight  float64 `cbor:"weight" json:"weight" yaml:"weight"`
}

// HasTarget reports whether the service is a target of the route.
func (r Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Service holds the operator's settings for a service's backend servers.
type Service struct {
	Health         string `cbor:"health" json:"health" yaml:"health"` // path of the health check
	MaxConnections int    `cbor:"max-connections" json:"max-connections" yaml:"max-connections"`
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64    `cbor:"header-bytes" json:"header-bytes" yaml:"header-bytes"`
	BodyBytes     int64    `cbor:"body-bytes" json:"body-bytes" yaml:"body-bytes"`
	HeaderTimeout Duration `cbor:"header-timeout" json:"header-timeout" yaml:"header-timeout"`
	IdleTimeout   Duration `cbor:"idle-timeout" json:"idle-timeout" yaml:"idle-timeout"`
}

// Duration is a time.Duration written like "2s".
type Duration time.Duration

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration; it fails with *InvalidError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &InvalidError{Where: "duration", Field: string(text), Reason: `expected a number with a unit, like "2s"`}
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalYAML reads a duration; the error for an invalid one names its line.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	return atLine(node, d.UnmarshalText([]byte(node.Value)))
}

// atLine sets the location of an InvalidError to the node's line.
func atLine(node *yaml.Node, err error) error {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		invalid.Where = "line " + strconv.Itoa(node.Line)
	}
	return err
}

// Resource is one declared resource; exactly the field of its kind is set.
type Resource struct {
	Kind    Kind     `cbor:"kind" json:"kind" yaml:"kind"`
	Name    string   `cbor:"name" json:"name" yaml:"name"`
	Team    *Team    `cbor:"team,omitempty" json:"team,omitempty" yaml:"team,omitempty"`
	Route   *Route   `cbor:"route,omitempty" json:"route,omitempty" yaml:"route,omitempty"`
	Service *Service `cbor:"service,omitempty" json:"service,omitempty" yaml:"service,omitempty"`
	Limits  *Limits  `cbor:"limits,omitempty" json:"limits,omitempty" yaml:"limits,omitempty"`
}

const (
	maxNameLength = 200 // bytes, as for the store's keys
	maxRate       = 1e7 // requests per second
	maxTimeout    = 10 * time.Minute
)

// Validate checks the resource without regard to others; it fails with *InvalidError.
func (r Resource) Validate() error {
	if r.Name == "" || len(r.Name) > maxNameLength {
		return r.invalid("name", "expected 1 to 200 bytes")
	}
	if r.countSpecs() != 1 {
		return r.invalid(string(r.Kind), "expected exactly the fields of its kind")
	}
	switch {
	case r.Kind == KindTeam && r.Team != nil:
		return r.validateTeam()
	case r.Kind == KindRoute && r.Route != nil:
		return r.validateRoute()
	case r.Kind == KindService && r.Service != nil:
		return r.validateService()
	case r.Kind == KindLimits && r.Limits != nil:
		return r.validateLimits()
	}
	return r.invalid("kind", "expected team, service, route or limits with the fields of that kind")
}

func (r Resource) countSpecs() int {
	count := 0
	for _, set := range []bool{r.Team != nil, r.Route != nil, r.Service != nil, r.Limits != nil} {
		if set {
			count++
		}
	}
	return count
}

func (r Resource) validateTeam() error {
	if !(r.Team.Rate >= 0 && r.Team.Rate <= maxRate) {
		return r.invalid("rate", "expected requests per second of at least 0 and at most 1e7")
	}
	if !(r.Team.Burst >= 0 && r.Team.Burst <= maxRate) {
		return r.invalid("burst", "expected at least 0 and at most 1e7 requests")
	}
	return nil
}

func (r Resource) validateRoute() error {
	route := r.Route
	switch {
	case route.Domain == "":
		return r.invalid("domain", "missing")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return r.invalid("prefix", "expected a path that begins and ends with /")
	case route.Priority < 0:
		return r.invalid("priority", "expected at least 0, where 0 is the most urgent")
	case route.Timeout <= 0 || time.Duration(route.Timeout) > maxTimeout:
		return r.invalid("timeout", "expected a duration above 0 and at most 10m")
	case route.Objective < 0:
		return r.invalid("objective", "expected a duration of at least 0")
	case route.Attempts < 1:
		return r.invalid("attempts", "expected at least 1")
	case route.Upload && route.Idempotent:
		return r.invalid("upload", "uploads are not idempotent")
	case route.UnknownKind != "" && (route.Upload || route.Idempotent):
		return r.invalid("unknown-kind", "requests of an unknown kind are neither idempotent nor uploads")
	}
	return r.validateTargets()
}

func (r Resource) validateTargets() error {
	sum := 0.0
	for _, t := range r.Route.Targets {
		if t.Service == "" || !(t.Weight >= 0) {
			return r.invalid("targets", "expected services with weights of at least 0")
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return r.invalid("targets", "expected a service with a weight above 0")
	}
	return nil
}

func (r Resource) validateService() error {
	if r.Service.MaxConnections < 0 {
		return r.invalid("max-connections", "expected at least 0")
	}
	return nil
}

func (r Resource) validateLimits() error {
	l := r.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return r.invalid("limits", "expected no negative values")
	}
	return nil
}

func (r Resource) invalid(field, reason string) error {
	return &InvalidError{Where: string(r.Kind) + " " + r.Name, Field: field, Reason: reason}
}
