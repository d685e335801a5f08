package catkinrun

import "time"

// Mutation writes or deletes one resource. Replace is the resource version that
// it supersedes, 0 for a resource that must not exist.
type Mutation struct {
	Replace  Version  `cbor:"replace" json:"replace"`
	Delete   bool     `cbor:"delete" json:"delete,omitempty"`
	Resource Resource `cbor:"resource" json:"resource"`
}

// Change is one entry of the change log: mutations that apply together.
type Change struct {
	Version   Version    `cbor:"version" json:"version"`
	ID        string     `cbor:"id" json:"id"`
	Actor     string     `cbor:"actor" json:"actor"`
	Time      time.Time  `cbor:"time" json:"time"` // for people; never compared
	Mutations []Mutation `cbor:"mutations" json:"mutations"`
}

// MaxMutations bounds the mutations of one change.
const MaxMutations = 1000

// WithVersion returns a copy at a position in the log.
func (c Change) WithVersion(v Version) Change {
	c.Version = v
	return c
}

// Validate checks a decoded change; it fails with *InvalidError.
func (c Change) Validate() error {
	if c.ID == "" || len(c.ID) > maxNameLength {
		return &InvalidError{Where: "change", Field: "id", Reason: "missing or too long"}
	}
	if len(c.Mutations) == 0 || len(c.Mutations) > MaxMutations {
		return &InvalidError{Where: "change " + c.ID, Field: "mutations", Reason: "expected 1 to 1000"}
	}
	for _, m := range c.Mutations {
		if m.Delete {
			continue
		}
		if err := m.Resource.Validate(); err != nil {
			return err
		}
	}
	return nil
}
