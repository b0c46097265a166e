// Package store reaches the platform's key-value service. Client speaks the
// JSON form of the etcd v3 API over HTTP; the rest of the system sees Store.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Key is a key in the store.
type Key string

// Revision counts the store's changes; it only rises.
type Revision int64

// LeaseID names a lease that the store granted.
type LeaseID int64

// KeyValue is one pair as stored.
type KeyValue struct {
	Key            Key
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
}

// ReadResult is what a read found at one revision.
type ReadResult struct {
	Revision  Revision
	KeyValues []KeyValue
}

// Compare holds when the key's last change is at ModRevision. 0: no such key.
type Compare struct {
	Key         Key
	ModRevision Revision
}

// Put writes one pair, bound to a lease unless Lease is 0.
type Put struct {
	Key   Key
	Value []byte
	Lease LeaseID
}

// Commit is a compare-and-swap: every put takes effect or none does.
type Commit struct {
	Compares []Compare
	Puts     []Put
	Deletes  []Key
}

// Outcome tells whether a commit took effect. Found holds the current pairs of
// the compared keys when it did not.
type Outcome struct {
	Applied  bool
	Revision Revision
	Found    []KeyValue
}

// Change is one watched change. Deleted pairs have no value.
type Change struct {
	KeyValue KeyValue
	Deleted  bool
}

// WatchUpdate is what a watch reports: changes up to Revision, or only that it is
// alive when Changes is empty.
type WatchUpdate struct {
	Revision Revision
	Changes  []Change
}

// ErrOutcomeUnknown marks a commit whose answer was lost: it may have taken effect.
var ErrOutcomeUnknown = eris.New("store: outcome unknown")

// ErrUnavailable marks a call that did not take effect.
var ErrUnavailable = eris.New("store: unavailable")

// ErrCompacted marks a watch from a revision that the store no longer has.
var ErrCompacted = eris.New("store: revision compacted")

// Store is the platform's key-value service. Errors are ErrUnavailable or, for
// commits, ErrUnknown, wrapped with their cause.
type Store interface {
	// Range reads all pairs under a prefix.
	Range(ctx context.Context, prefix Key) (ReadResult, error)
	// Get reads one pair; the page is empty when there is none.
	Get(ctx context.Context, key Key) (ReadResult, error)
	// Apply makes one commit.
	Apply(ctx context.Context, co Commit) (Outcome, error)
	// ApplyEach makes independent commits in one call.
	ApplyEach(ctx context.Context, cos []Commit) ([]Outcome, error)
	// Watch reports changes under a prefix from a revision on, until the
	// connection ends, stays silent for too long, or ctx ends.
	Watch(ctx context.Context, prefix Key, from Revision, report func(WatchUpdate)) error
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; false when it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (bool, error)
	// Revoke ends a lease and deletes its pairs.
	Revoke(ctx context.Context, id LeaseID) error
}
