package catkinrun

import (
	"context"
	"time"
)

// Revision is a position in the store's order of transactions. An absent row has
// revision 0.
type Revision uint64

// Row is one row of a table of the platform's store. Daemons exchange rows in CBOR with the
// field names as keys, so the fields must not be renamed.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool // only in results of Watch
}

// Page holds rows of a table as of one revision.
type Page struct {
	Rows     []Row
	Revision Revision // of the store when it responded
}

// Precondition is a condition of a transaction: the row must have this revision.
type Precondition struct {
	Table, Key string
	Revision   Revision
}

// Write sets a row, or deletes it if Delete is set.
type Write struct {
	Table, Key string
	Value      []byte
	Delete     bool
}

// Transaction applies all writes if every precondition holds, else none.
type Transaction struct {
	Preconditions []Precondition
	Writes        []Write
}

// Store is the platform's transactional table service.
type Store interface {
	// List returns all rows of a table. It fails with *StoreError.
	List(ctx context.Context, table string) (Page, error)
	// Watch waits until a row of the table has changed after a revision, or until wait
	// is over, and returns the changed rows. It fails with *HistoryError if the store no
	// longer has the changes after that revision, and with *StoreError.
	Watch(ctx context.Context, table string, after Revision, wait time.Duration) (Page, error)
	// Commit applies the transaction and returns its revision. It fails with *PreconditionError
	// if a precondition fails, and with *StoreError if the result is unknown.
	Commit(ctx context.Context, t Transaction) (Page, error)
}
