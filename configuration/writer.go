package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

// maxApplyAttempts is how often Apply tries to commit a request while other changes
// are committed between its read and its commit.
const maxApplyAttempts = 16

// maxHistory is the number of states of a record that TrimHistory keeps.
const maxHistory = 50

// ErrFenced is returned for a change whose fence is a lease that is no longer
// held.
var ErrFenced = eris.New("configuration: fencing token is out of date")

// Conflict is the error for a change to a record that someone else has changed
// since its base revision. Mine and Theirs are the JSON of the two states.
type Conflict struct {
	Key    string
	Mine   string
	Theirs string
	// TheirBy is who wrote Theirs.
	TheirBy string
}

// Error returns a message with both states of the record.
func (co *Conflict) Error() string {
	return fmt.Sprintf("%s was changed by %s in the meantime\n  yours:  %s\n  theirs: %s", co.Key, co.TheirBy, co.Mine, co.Theirs)
}

// Fence is the condition that a lease is still held when a change is committed: Key
// must still be at revision Token, which is the lease's fencing token.
type Fence struct {
	Key   store.Key
	Token store.Revision
}

// Change is one record to write. Base is the revision of the record that the change
// was made from. If it is 0, Apply takes the revision that it finds on its first
// read.
type Change struct {
	Record policy.Record
	Base   store.Revision
}

// Request is a set of changes that is applied as a whole or not at all.
type Request struct {
	Changes   []Change
	ChangedBy string
	Fence     *Fence
	// Place returns where the record with a key was defined, to name it in
	// findings. It may be nil.
	Place func(key string) finding.Place
}

// Result is the outcome of a request. Changed lists the keys of the records
// written. Revision is 0 if nothing was written, as when no record differed from the
// stored one.
type Result struct {
	OperationID string
	Revision    store.Revision
	Changed     []string
}

// Writer changes policy records with a compare-and-swap on the revision of the
// head key.
type Writer struct {
	keys  Keys
	store store.Store
}

// NewWriter returns a writer.
func NewWriter(ke Keys, st store.Store) *Writer { return &Writer{keys: ke, store: st} }

// Load reads all records and returns them with the revision of the head key.
func (wr *Writer) Load(ctx context.Context) (*policy.Set, store.Revision, error) {
	pa, err := wr.store.Range(ctx, wr.keys.All())
	if err != nil {
		return nil, 0, eris.Wrap(err, "Writer.Load")
	}
	var changes []policy.StoredRecord
	head := store.Revision(0)
	for _, kv := range pa.KeyValues {
		if kv.Key == wr.keys.Head() {
			head = kv.ModRevision
			continue
		}
		key := strings.TrimPrefix(string(kv.Key), string(wr.keys.Records()))
		changes = append(changes, policy.StoredRecord{Key: key, Value: kv.Value, ModRevision: kv.ModRevision})
	}
	return policy.NewSet().WithChanges(head, changes), head, nil
}

// Apply writes the records of a request. The error is or wraps a finding.List if
// the request introduces findings, a *Conflict if a record has changed since its
// base, ErrFenced if the lease is no longer held, store.ErrUnavailable if nothing was
// written, or store.ErrOutcomeUnknown if it is not known whether the request was written.
func (wr *Writer) Apply(ctx context.Context, rq Request) (Result, error) {
	rs := Result{OperationID: ulid.Make().String()}
	var first *policy.Set
	for range maxApplyAttempts {
		se, head, err := wr.Load(ctx)
		if err != nil {
			return rs, eris.Wrap(err, "Writer.Apply")
		}
		if first == nil {
			first = se
		}
		if err := rq.checkConflict(first, se); err != nil {
			return rs, err
		}
		changed, err := rq.stampChanged(se, rs.OperationID)
		if err != nil {
			return rs, eris.Wrap(err, "Writer.Apply")
		}
		if len(changed) == 0 {
			return rs, nil
		}
		if err := newFindings(se, changed, rq.Place); err != nil {
			return rs, err
		}
		ou, err := wr.commit(ctx, rq, changed, head, rs.OperationID)
		if err != nil {
			return rs, eris.Wrap(err, "Writer.Apply")
		}
		if ou.Applied {
			return wr.result(rs, ou, changed), nil
		}
		if rq.Fence != nil && !fenceHeld(*rq.Fence, ou.Found) {
			return rs, eris.Wrap(ErrFenced, "Writer.Apply")
		}
	}
	return rs, eris.Wrap(store.ErrUnavailable, "Writer.Apply: other changes were committed first at every attempt")
}

func (wr *Writer) result(rs Result, ou store.Outcome, changed []policy.Record) Result {
	rs.Revision = ou.Revision
	for _, re := range changed {
		rs.Changed = append(rs.Changed, re.Key())
	}
	return rs
}

// checkConflict returns a *Conflict if a record that the request writes has changed
// since its base revision or, without one, since the first read.
func (rq Request) checkConflict(first, current *policy.Set) error {
	for _, ch := range rq.Changes {
		ki, id := policy.Kind(ch.Record.GetKind()), ch.Record.GetId()
		theirs, revision, _ := current.Record(ki, id)
		base := ch.Base
		if base == 0 {
			_, base, _ = first.Record(ki, id)
		}
		if revision != base {
			co := &Conflict{Key: ch.Record.Key(), Mine: string(ch.Record.JSON), Theirs: string(theirs.JSON), TheirBy: theirs.GetChangedBy()}
			if theirs.Record == nil {
				co.Theirs = "deleted"
			}
			return co
		}
	}
	return nil
}

// stampChanged returns the request's records that differ from the stored ones,
// each stamped with who changed it, when, and under which operation and fence.
func (rq Request) stampChanged(se *policy.Set, operation string) ([]policy.Record, error) {
	st := policy.Stamp{ChangedBy: rq.ChangedBy, OperationID: operation, ChangedAtMS: time.Now().UnixMilli()}
	if rq.Fence != nil {
		st.FencingToken = int64(rq.Fence.Token)
	}
	var out []policy.Record
	for _, ch := range rq.Changes {
		old, _, ok := se.Record(policy.Kind(ch.Record.GetKind()), ch.Record.GetId())
		if ok && old.SameContent(ch.Record) || !ok && ch.Record.GetDeleted() {
			continue
		}
		re, err := ch.Record.WithStamp(st)
		if err != nil {
			return nil, err
		}
		out = append(out, re)
	}
	return out, nil
}

// newFindings returns an error with the findings that the changed records introduce,
// or nil. Findings that the set has already do not block an unrelated change.
func newFindings(se *policy.Set, changed []policy.Record, place func(string) finding.Place) error {
	if place == nil {
		place = func(key string) finding.Place { return finding.Place{Section: key} }
	}
	old := se.Validate(place)
	var li finding.List
	for _, fi := range se.WithRecords(changed).Validate(place) {
		if !slices.Contains(old, fi) {
			li = append(li, fi)
		}
	}
	return li.Err()
}

// commit writes the changed records if the head is still at the given revision and
// the request's fence holds.
func (wr *Writer) commit(ctx context.Context, rq Request, changed []policy.Record, head store.Revision, operation string) (store.Outcome, error) {
	// The operation's history key shows whether an attempt whose answer was lost
	// has been applied.
	historyKey := wr.keys.History(changed[0].Key()) + store.Key(operation)
	co := store.Commit{
		Compares: []store.Compare{{Key: wr.keys.Head(), ModRevision: head}, {Key: historyKey}},
		Puts:     []store.Put{{Key: wr.keys.Head(), Value: []byte(operation)}},
	}
	if rq.Fence != nil {
		co.Compares = append(co.Compares, store.Compare{Key: rq.Fence.Key, ModRevision: rq.Fence.Token})
	}
	for _, re := range changed {
		co.Puts = append(co.Puts,
			store.Put{Key: wr.keys.Record(re.Key()), Value: re.JSON},
			store.Put{Key: wr.keys.History(re.Key()) + store.Key(operation), Value: re.JSON})
	}
	return store.ApplyResolved(ctx, wr.store, co, func(found []store.KeyValue) bool {
		return slices.ContainsFunc(found, func(kv store.KeyValue) bool { return kv.Key == historyKey })
	})
}

func fenceHeld(fe Fence, found []store.KeyValue) bool {
	return slices.ContainsFunc(found, func(kv store.KeyValue) bool {
		return kv.Key == fe.Key && kv.ModRevision == fe.Token
	})
}

// History returns the kept states of the record whose own key, of the form kind/id,
// is given, oldest first: their keys in the store end in the ULIDs of the operations
// that wrote them.
func (wr *Writer) History(ctx context.Context, key string) ([]policy.Record, error) {
	pa, err := wr.store.Range(ctx, wr.keys.History(key))
	if err != nil {
		return nil, eris.Wrap(err, "Writer.History")
	}
	var out []policy.Record
	for _, kv := range pa.KeyValues {
		re, err := policy.ParseRecord(kv.Value)
		if err != nil {
			return nil, eris.Wrapf(err, "Writer.History: %s", kv.Key)
		}
		out = append(out, re)
	}
	return out, nil
}

// TrimHistory deletes the oldest states of a record from its history, so that at
// most maxHistory remain.
func (wr *Writer) TrimHistory(ctx context.Context, key string) error {
	pa, err := wr.store.Range(ctx, wr.keys.History(key))
	if err != nil {
		return eris.Wrap(err, "Writer.TrimHistory")
	}
	var co store.Commit
	for i := range max(0, len(pa.KeyValues)-maxHistory) {
		co.Deletes = append(co.Deletes, pa.KeyValues[i].Key)
	}
	if len(co.Deletes) == 0 {
		return nil
	}
	_, err = wr.store.Apply(ctx, co)
	return eris.Wrap(err, "Writer.TrimHistory")
}

func isCompacted(err error) bool { return errors.Is(err, store.ErrCompacted) }
