package catkinrun

import (
	"fmt"
	"time"
)

// StoreError reports that the platform's store did not answer a call as asked.
// Whether a write took effect is unknown.
type StoreError struct {
	Operation string
	Status    int // HTTP status, 0 if there was no answer
	Cause     error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("store: %s: status %d: %v", e.Operation, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// HistoryError reports that the store has discarded the changes that a watch asked for.
type HistoryError struct {
	Table string
	After Revision
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: the changes of table %s after revision %d are gone", e.Table, e.After)
}

// CheckError reports that a transaction's check did not hold and nothing was written.
type CheckError struct {
	Table, Key string
	Current    Row // as it is now; revision 0 if absent
}

func (e *CheckError) Error() string { return "store: row changed: " + e.Table + "/" + e.Key }

// NotFoundError reports a resource that does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// ConflictError reports a configuration that another operator has replaced meanwhile.
type ConflictError struct {
	Replace Version // version that the change wanted to replace
	Current Version // version in force
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at version %d and the change was made for version %d: read it again and repeat the change",
		e.Current, e.Replace)
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

// Refusal ends a request without a backend server's answer. Outcome says
// whether the request can have run.
type Refusal struct {
	Status     int           // HTTP status
	Reason     Reason        // machine-readable cause
	Outcome    Outcome       // not-run or unknown
	RetryAfter time.Duration // least wait before the caller tries again; 0 for none
	Detail     string        // one sentence for the caller
	Reached    bool          // bytes of the request went to a backend server
	Load       float64       // of the server that refused, 0 if none did
	Pressure   *Pressure     // at the servers on the route's way, nil if unknown
}

func (r *Refusal) Error() string { return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail) }

// WithReached returns a copy that says that a server was sent the request.
func (r *Refusal) WithReached() *Refusal {
	next := *r
	next.Reached = true
	return &next
}
