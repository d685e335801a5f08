package catkinrun

import "context"

// Revision counts the writes to one table row. The absent row has revision 0.
type Revision uint64

// Row is one row of the platform's table.
type Row struct {
	Key      string   `cbor:"key" json:"key"`
	Value    []byte   `cbor:"value" json:"value"`
	Revision Revision `cbor:"revision" json:"revision"`
}

// Check is a condition of a transaction: the row still has this revision.
type Check struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write sets a row, or deletes it if Delete is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if every check holds, else none.
type Transaction struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns the row; an absent row has revision 0 and no error.
	// It fails with *StoreError when the platform does not answer.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with the prefix and a key above after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction. It fails with *CheckError if a check did
	// not hold, and with *StoreError if the result is unknown.
	Commit(ctx context.Context, t Transaction) error
}

// ObjectStore is the platform's store of whole objects.
type ObjectStore interface {
	// PutObject stores body under name, replacing what was there.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the object, or *NotFoundError.
	GetObject(ctx context.Context, name string) ([]byte, error)
}
