package catkinrun

import (
	"fmt"
	"time"
)

// StoreError reports that the platform's store did not answer. Whether a write
// took effect is unknown.
type StoreError struct {
	Operation string
	Cause     error
}

func (e *StoreError) Error() string { return fmt.Sprintf("store: %s: %v", e.Operation, e.Cause) }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// CheckError reports that a transaction's check did not hold and nothing was written.
type CheckError struct {
	Key string
}

func (e *CheckError) Error() string { return "store: row changed: " + e.Key }

// NotFoundError reports a resource or an object that does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// ConflictError reports a write that names a resource version which is no
// longer the current one.
type ConflictError struct {
	Kind    Kind
	Name    string
	Replace Version // version that the write wanted to replace
	Current Version // version in force
	Actor   string  // who made the current version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %q is at version %d, made by %s; the change replaces version %d: read it again and repeat the change",
		e.Kind, e.Name, e.Current, e.Actor, e.Replace)
}

// InvalidError reports a value that breaks a rule of its field.
type InvalidError struct {
	Where  string // resource, file and line, or message
	Field  string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Where, e.Field, e.Reason)
}

// UnknownResultError reports a change whose commit could neither be confirmed nor ruled out.
type UnknownResultError struct {
	ChangeID string
	Cause    error
}

func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("change %s: result unknown, look it up by its id before repeating it: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// Refusal ends a request without a backend server's answer. Outcome says
// whether the request can have run.
type Refusal struct {
	Status     int           // HTTP status
	Reason     Reason        // machine-readable cause
	Outcome    Outcome       // not-run or unknown
	RetryAfter time.Duration // least wait before the caller tries again; 0 for none
	Detail     string        // one sentence for the caller
	Level      int           // admission level of the server that shed; 0 if none did
}

func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail) }

// WithLevel returns a copy with the admission level replaced.
func (r *Refusal) WithLevel(level int) *Refusal {
	next := *r
	next.Level = level
	return &next
}
