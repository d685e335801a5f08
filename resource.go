package catkinrun

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// Version is a position in the change log. A resource's version is that of the
// change which last wrote it.
type Version uint64

// Kind names a kind of declared resource.
type Kind string

// The kinds of resources.
const (
	KindTeam  Kind = "team"
	KindKey   Kind = "key"
	KindRoute Kind = "route"
	KindHost  Kind = "host"
)

// Kinds lists the kinds in the order in which they are shown and applied.
var Kinds = []Kind{KindTeam, KindKey, KindRoute, KindHost}

// Team is a tenant with a rate and a burst over the whole fleet.
type Team struct {
	Rate  float64 `cbor:"rate" json:"rate" yaml:"rate"`    // requests per second
	Burst float64 `cbor:"burst" json:"burst" yaml:"burst"` // requests
}

// Key belongs to one team. Only the hash of its secret is kept.
type Key struct {
	Team      string `cbor:"team" json:"team" yaml:"team"`
	Hash      string `cbor:"hash" json:"hash" yaml:"hash"` // SHA-256 in hex
	Withdrawn bool   `cbor:"withdrawn" json:"withdrawn" yaml:"withdrawn,omitempty"`
}

// Route maps requests to a service. Path matches as a prefix of whole segments.
type Route struct {
	Service    string   `cbor:"service" json:"service" yaml:"service"`
	Method     string   `cbor:"method" json:"method" yaml:"method"`
	Path       string   `cbor:"path" json:"path" yaml:"path"`
	Priority   Priority `cbor:"priority" json:"priority" yaml:"priority"`
	Open       bool     `cbor:"open" json:"open" yaml:"open,omitempty"`
	Idempotent bool     `cbor:"idempotent" json:"idempotent" yaml:"idempotent,omitempty"`
	Timeout    Duration `cbor:"timeout" json:"timeout" yaml:"timeout"`
}

// Host is a roster entry: one daemon incarnation and the backend server beside it.
type Host struct {
	Incarnation string `cbor:"incarnation" json:"incarnation" yaml:"incarnation"`
	Zone        string `cbor:"zone" json:"zone" yaml:"zone"`
	Peer        string `cbor:"peer" json:"peer" yaml:"peer"`          // IP and port of the peer listener
	Service     string `cbor:"service" json:"service" yaml:"service"` // empty until the server announces itself
	Slots       int    `cbor:"slots" json:"slots" yaml:"slots"`
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

// UnmarshalYAML reads a duration and names the line of a bad one.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	return atLine(node, d.UnmarshalText([]byte(node.Value)))
}

// atLine puts the line into an InvalidError.
func atLine(node *yaml.Node, err error) error {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		invalid.Where = "line " + strconv.Itoa(node.Line)
	}
	return err
}

// Resource is one declared resource; exactly the field of its kind is set.
type Resource struct {
	Kind    Kind    `cbor:"kind" json:"kind" yaml:"kind"`
	Name    string  `cbor:"name" json:"name" yaml:"name"`
	Version Version `cbor:"version" json:"version" yaml:"version,omitempty"`
	Actor   string  `cbor:"actor" json:"actor,omitempty" yaml:"actor,omitempty"`
	Team    *Team   `cbor:"team,omitempty" json:"team,omitempty" yaml:"team,omitempty"`
	Key     *Key    `cbor:"key,omitempty" json:"key,omitempty" yaml:"key,omitempty"`
	Route   *Route  `cbor:"route,omitempty" json:"route,omitempty" yaml:"route,omitempty"`
	Host    *Host   `cbor:"host,omitempty" json:"host,omitempty" yaml:"host,omitempty"`
}

const (
	maxNameLength = 128
	maxRate       = 1e7 // requests per second
	maxSlots      = 100000
	maxTimeout    = 10 * time.Minute
	hashLength    = 64 // hex digits of SHA-256
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Validate checks the resource by itself; it fails with *InvalidError.
func (r Resource) Validate() error {
	if len(r.Name) > maxNameLength || !namePattern.MatchString(r.Name) {
		return r.invalid("name", "expected lower-case letters, digits, dots and hyphens, at most 128")
	}
	if r.countSpecs() != 1 {
		return r.invalid(string(r.Kind), "expected exactly the fields of its kind")
	}
	switch {
	case r.Kind == KindTeam && r.Team != nil:
		return r.validateTeam()
	case r.Kind == KindKey && r.Key != nil:
		return r.validateKey()
	case r.Kind == KindRoute && r.Route != nil:
		return r.validateRoute()
	case r.Kind == KindHost && r.Host != nil:
		return r.validateHost()
	}
	return r.invalid("kind", "expected team, key, route or host with the fields of that kind")
}

func (r Resource) countSpecs() int {
	count := 0
	for _, set := range []bool{r.Team != nil, r.Key != nil, r.Route != nil, r.Host != nil} {
		if set {
			count++
		}
	}
	return count
}

func (r Resource) validateTeam() error {
	if !(r.Team.Rate > 0 && r.Team.Rate <= maxRate) {
		return r.invalid("rate", "expected requests per second above 0 and at most 1e7")
	}
	if !(r.Team.Burst >= 1 && r.Team.Burst <= maxRate) {
		return r.invalid("burst", "expected at least 1 and at most 1e7 requests")
	}
	return nil
}

func (r Resource) validateKey() error {
	if len(r.Key.Hash) != hashLength {
		return r.invalid("hash", "expected SHA-256 in hex")
	}
	if r.Key.Team == "" {
		return r.invalid("team", "missing")
	}
	return nil
}

func (r Resource) validateRoute() error {
	route := r.Route
	switch {
	case !namePattern.MatchString(route.Service):
		return r.invalid("service", "missing or malformed")
	case route.Method == "" || route.Method != strings.ToUpper(route.Method):
		return r.invalid("method", "expected an upper-case HTTP method")
	case !strings.HasPrefix(route.Path, "/"):
		return r.invalid("path", "expected a path that starts with /")
	case route.Priority < 0 || route.Priority >= priorityCount:
		return r.invalid("priority", "expected deferrable, normal or important")
	case route.Timeout <= 0 || time.Duration(route.Timeout) > maxTimeout:
		return r.invalid("timeout", "expected a duration above 0 and at most 10m")
	}
	return nil
}

func (r Resource) validateHost() error {
	if _, err := netip.ParseAddrPort(r.Host.Peer); err != nil {
		return r.invalid("peer", "expected IP:port")
	}
	if r.Host.Incarnation == "" || r.Host.Zone == "" {
		return r.invalid("incarnation", "incarnation and zone are needed")
	}
	if r.Host.Slots < 0 || r.Host.Slots > maxSlots {
		return r.invalid("slots", "expected 0 to "+strconv.Itoa(maxSlots))
	}
	return nil
}

func (r Resource) invalid(field, reason string) error {
	return &InvalidError{Where: string(r.Kind) + " " + r.Name, Field: field, Reason: reason}
}
