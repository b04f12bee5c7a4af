package keyvalue

import (
	"context"
	"time"
)

// KeyValue is a stored pair.
type KeyValue struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the global revisions of the service at which
	// the key was created and last modified.
	CreateRevision, ModRevision Revision
	// Version is the number of changes of the key since it was created, including that one.
	Version int64
	// Lease is the lease that the key is attached to, zero for none.
	Lease int64
}

// Compare is a condition of a transaction: the key's ModRevision must equal the given one,
// where zero means that the key must be absent.
type Compare struct {
	Key         string
	ModRevision Revision
}

// Operation is a write of a transaction: it puts the pair, or with Delete deletes the key.
type Operation struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Transaction applies Operations if all Compares hold. Otherwise it reads the keys in Reads.
type Transaction struct {
	Compares   []Compare
	Operations []Operation
	Reads      []string
}

// TransactionResult is the result of a Transaction.
type TransactionResult struct {
	Succeeded bool
	// Revision is the global revision after the transaction.
	Revision Revision
	// Found holds the existing pairs of Reads if the transaction did not succeed.
	Found []KeyValue
}

// Event is a change of a pair reported by a watch.
type Event struct {
	KeyValue KeyValue
	Deleted  bool
}

// WatchBatch holds the changes of one or more revisions, in order of revision.
type WatchBatch struct {
	// Revision is the revision up to which the watch has reported all changes.
	Revision Revision
	Events   []Event
	// Compacted is true when the requested start revision has been compacted. The watch
	// has ended, and the reader must read the whole range again.
	Compacted bool
	// EraEnded is true with Compacted if the store is in a later era than the requested revision.
	EraEnded bool
	// TooLong is true when the changes had more bytes than were asked for.
	TooLong bool
}

// Store is the key-value service. Its errors are of type *verdict.Error: NotRun if the
// service refused the request or was not reached, MayHaveRun if the answer was lost, so that
// the change may have taken effect.
type Store interface {
	// Range returns the pairs whose keys begin with prefix, sorted by key, and the global
	// revision at which they were read.
	Range(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Txn carries out a transaction.
	Txn(ctx context.Context, transaction Transaction) (TransactionResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease and returns its TTL. If the lease has expired, the error's
	// cause is ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease int64) (ttl time.Duration, err error)
	// Revoke ends a lease and deletes the keys that are attached to it.
	Revoke(ctx context.Context, lease int64) error
	// Watch calls handle with each batch of changes of keys that begin with prefix, from
	// startRevision on, until ctx ends or the stream breaks.
	Watch(ctx context.Context, prefix string, startRevision Revision, handle func(WatchBatch)) error
}
