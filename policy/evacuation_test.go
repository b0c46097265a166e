package policy_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// TestEvacuationIsRetainedUntilItIsInTheStoreAgain restores the store from a copy that lacks an
// evacuation: it stays in force until the operator has written it again and then removed it.
func TestEvacuationIsRetainedUntilItIsInTheStoreAgain(t *testing.T) {
	evacuated := written(t, policy.KindEvacuation, "zone-a", &rpc.Evacuation{}, 0, at(t, 1, 20))
	known := policy.NewSet().WithSnapshot(at(t, 1, 20), []policy.StoredRecord{evacuated})
	se := known.WithSnapshot(at(t, 2, 15), nil)
	qt.Assert(t, se.Evacuated("zone-a"), qt.IsTrue)
	qt.Assert(t, se.Retained != 0, qt.IsTrue)
	se = se.WithChanges(0, []policy.StoredRecord{written(t, policy.KindEvacuation, "zone-a", &rpc.Evacuation{}, 0, at(t, 2, 16))})
	qt.Assert(t, se.Evacuated("zone-a"), qt.IsTrue)
	for _, removed := range []*policy.Set{
		se.WithSnapshot(at(t, 2, 17), nil),
		se.WithChanges(0, []policy.StoredRecord{written(t, policy.KindEvacuation, "zone-a", nil, 0, at(t, 2, 17))}),
	} {
		qt.Assert(t, removed.Evacuated("zone-a"), qt.IsFalse)
		qt.Assert(t, removed.Retained, qt.Equals, policy.RetainedDigest(0))
	}
}

// TestEvacuationInTheRestoredStoreIsInForce restores the store from a copy with an evacuation that
// was taken back since, or that was ordered anew after the restore: which of them it is cannot be
// told, and the key is there.
func TestEvacuationInTheRestoredStoreIsInForce(t *testing.T) {
	known := policy.NewSet().WithChanges(0, []policy.StoredRecord{
		written(t, policy.KindEvacuation, "zone-a", &rpc.Evacuation{}, 0, at(t, 1, 10)),
		written(t, policy.KindEvacuation, "zone-a", nil, 0, at(t, 1, 20)),
	})
	qt.Assert(t, known.Evacuated("zone-a"), qt.IsFalse)
	se := known.WithSnapshot(at(t, 2, 15), []policy.StoredRecord{written(t, policy.KindEvacuation, "zone-a", &rpc.Evacuation{}, 0, at(t, 2, 12))})
	qt.Assert(t, se.Evacuated("zone-a"), qt.IsTrue)
}

// TestEvacuationOfALowerFormIsNotUsed has a peer whose build does not know evacuations pass on one
// that may have been taken back long ago.
func TestEvacuationOfALowerFormIsNotUsed(t *testing.T) {
	records := []policy.StoredRecord{written(t, policy.KindEvacuation, "zone-a", &rpc.Evacuation{}, 0, at(t, 1, 20))}
	se := policy.NewSet().WithBridge(policy.NewestForm-1, at(t, 1, 21), records)
	qt.Assert(t, se.Evacuated("zone-a"), qt.IsFalse)
}
