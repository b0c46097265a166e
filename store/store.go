// Package store accesses the platform's key-value service. The rest of the system
// uses the interface Store. Client implements it with the JSON gateway of the etcd
// v3 API over HTTP; package platform has another implementation.
package store

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Key is a key in the store.
type Key string

// LeaseID identifies a lease granted by the store. A restored store may give out a lease's
// number again, so that the era at the grant belongs to it. The zero value is no lease.
type LeaseID struct {
	Era    Era
	Number int64
}

// IsZero reports whether the ID is that of no lease.
func (li LeaseID) IsZero() bool { return li == LeaseID{} }

// KeyValue is one stored pair, with the revisions at which it was created and last
// changed.
type KeyValue struct {
	Key            Key
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
}

// ReadResult holds the pairs that a read found, and the store's revision. Where a
// read takes several calls, as in package platform, the revision is that of the
// first call, and the pairs may include later changes.
type ReadResult struct {
	Revision  Revision
	KeyValues []KeyValue
}

// Compare is a condition: the key was last changed at ModRevision, or, if
// ModRevision is 0, the key does not exist. A ModRevision of an earlier era never holds.
type Compare struct {
	Key         Key
	ModRevision Revision
}

// Put writes one pair. If Lease is not 0, the pair is deleted when the lease ends.
type Put struct {
	Key   Key
	Value []byte
	Lease LeaseID
}

// Commit is a transaction: if all compares hold, all puts and deletes take effect,
// otherwise none does.
type Commit struct {
	Compares []Compare
	Puts     []Put
	Deletes  []Key
}

// Outcome is the result of a commit. Applied is set if it took effect. If not, Found
// holds the current pairs of the compared keys. Revision is the store's revision
// after the call.
type Outcome struct {
	Applied  bool
	Revision Revision
	Found    []KeyValue
}

// Change is one change reported by a watch. A deleted pair has no value.
type Change struct {
	KeyValue KeyValue
	Deleted  bool
}

// WatchUpdate is one message of a watch: the changes up to Revision. A message
// without changes shows that the watch is alive, and that all changes up to Revision
// have been reported.
type WatchUpdate struct {
	Revision Revision
	Changes  []Change
	// AnsweredAt is when the message began to arrive.
	AnsweredAt time.Time
}

// ErrOutcomeUnknown is the error of a commit that may have reached the store, but
// whose outcome was not received. It may have taken effect.
var ErrOutcomeUnknown = eris.New("store: outcome unknown")

// ErrUnavailable is the error of a read, watch or lease call that failed, or of a
// commit that did not reach the store and so did not take effect.
var ErrUnavailable = eris.New("store: unavailable")

// ErrCompacted is the error of a watch from a revision that the store has
// compacted, or has lost when it came back from an older copy. All pairs must then be
// read again.
var ErrCompacted = eris.New("store: revision compacted")

// Store is the platform's key-value service. The error of a method wraps
// ErrUnavailable and its cause. Instead of ErrUnavailable, the error of Apply and
// ApplyEach may wrap ErrOutcomeUnknown, and that of Watch ErrCompacted.
type Store interface {
	// Range reads all pairs whose key has a prefix.
	Range(ctx context.Context, prefix Key) (ReadResult, error)
	// RangeStale is a cheaper Range whose pairs may be some seconds old. They are those of a
	// time at or after the result's revision.
	RangeStale(ctx context.Context, prefix Key) (ReadResult, error)
	// Get reads one pair. The result has no pairs if the key does not exist.
	Get(ctx context.Context, key Key) (ReadResult, error)
	// Apply applies one commit.
	Apply(ctx context.Context, co Commit) (Outcome, error)
	// ApplyEach applies independent commits in one call and returns the outcome of
	// each, in the same order.
	ApplyEach(ctx context.Context, cos []Commit) ([]Outcome, error)
	// Watch calls report with the changes under a prefix at revision from and
	// later. It blocks until ctx is done, or until the watch fails or receives
	// nothing for too long, and always returns an error.
	Watch(ctx context.Context, prefix Key, from Revision, report func(WatchUpdate)) error
	// Grant creates a lease with a time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns false if the lease has expired, or is of an
	// earlier era.
	KeepAlive(ctx context.Context, id LeaseID) (bool, error)
	// Revoke ends a lease and deletes its pairs.
	Revoke(ctx context.Context, id LeaseID) error
}
