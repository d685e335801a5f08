package catkinrun

import (
	"context"
	"time"
)

// Revision is a position in the store's order of transactions: the era, and the count of
// transactions in it. The store's count goes back when it is restored from a backup, and then the era
// rises, so that a later revision is always the greater one. An absent row has revision 0, or the count 0 if
// the era in which it was absent matters.
type Revision uint64

// revisionCountBits is the number of bits of a revision that hold the count.
const revisionCountBits = 48

// MaxRevisionCount is the greatest count of transactions, and MaxEra the greatest era.
const (
	MaxRevisionCount = 1<<revisionCountBits - 1
	MaxEra           = 1<<(64-revisionCountBits) - 1
)

// NewRevision returns the revision of a count in an era. Neither may exceed its maximum.
func NewRevision(era, count uint64) Revision { return Revision(era<<revisionCountBits | count) }

// Era returns how often the store had been restored from a backup.
func (r Revision) Era() uint64 { return uint64(r) >> revisionCountBits }

// Count returns the store's count of transactions.
func (r Revision) Count() uint64 { return uint64(r) & MaxRevisionCount }

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
	Complete bool     // in a result of Watch: these are all rows, not the changed ones
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
	// List returns all rows of a table. It fails with *StoreError and *EraError.
	List(ctx context.Context, table string) (Page, error)
	// Watch waits until a row of the table has changed after a revision, or until wait
	// is over, and returns the changed rows. It fails with *HistoryError if the store no
	// longer has the changes after that revision or has been restored since, and with *StoreError
	// and *EraError.
	Watch(ctx context.Context, table string, after Revision, wait time.Duration) (Page, error)
	// Commit applies the transaction and returns its revision. It fails with *PreconditionError
	// if a precondition fails, with *StoreError if the result is unknown, and with *EraError if a
	// precondition names a row of a former era; the transaction may then have been applied.
	Commit(ctx context.Context, t Transaction) (Page, error)
}
