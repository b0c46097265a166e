package policy_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

func rank(id string, order int, revision store.Revision) policy.StoredRecord {
	return policy.StoredRecord{
		Key: "rank/" + id, ModRevision: revision,
		Value: fmt.Appendf(nil, `{"schema_version":2,"kind":"rank","id":%q,"spec":{"order":%d}}`, id, order),
	}
}

// TestSnapshotRemovesMissingRecords checks that a complete read removes the records
// that it lacks, but does not overwrite a record changed after the read's revision.
func TestSnapshotRemovesMissingRecords(t *testing.T) {
	se := policy.NewSet().WithChanges(20, []policy.StoredRecord{rank("gone", 1, 5), rank("kept", 2, 6), rank("newer", 3, 19)})
	next := se.WithSnapshot(15, []policy.StoredRecord{rank("kept", 2, 6), rank("newer", 4, 12), rank("added", 5, 14)})
	qt.Assert(t, next.Revision, qt.Equals, store.Revision(15))
	qt.Assert(t, next.SnapshotRevision, qt.Equals, store.Revision(15))
	_, ok := next.Ranks.ByID("gone")
	qt.Assert(t, ok, qt.IsFalse)
	for id, order := range map[policy.RankID]int64{"kept": 2, "newer": 3, "added": 5} {
		ra, ok := next.Ranks.ByID(id)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, ra.Order, qt.Equals, order)
	}
	qt.Assert(t, next.Live(), qt.HasLen, 3)
}
