package policy_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// TestWithdrawnReleasesAreBounded has many orders replace each other.
func TestWithdrawnReleasesAreBounded(t *testing.T) {
	previous := policy.Rollout{Rollout: &rpc.Rollout{}}
	for n := range 100 {
		next := policy.Rollout{Rollout: &rpc.Rollout{ToVersion: fmt.Sprint("v", n)}}
		next.Succeed(previous)
		previous = next
	}
	qt.Assert(t, previous.WithdrawnVersions, qt.DeepEquals, []string{"v91", "v92", "v93", "v94", "v95", "v96", "v97", "v98"})
}

// TestRecordOfWithdrawnReleasesIsReadByEarlierPrograms checks that such a record has a later
// schema version: programs that lack the field then ignore it, and otherwise refuse the record.
func TestRecordOfWithdrawnReleasesIsReadByEarlierPrograms(t *testing.T) {
	for _, withdrawn := range [][]string{nil, {"v2"}} {
		re, err := policy.NewRecord(policy.KindRollout, "desk", &rpc.Rollout{Service: "desk", ToVersion: "v3", DurationMs: 1, WithdrawnVersions: withdrawn})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, re.GetSchemaVersion() > policy.SchemaVersion, qt.Equals, len(withdrawn) > 0)
		qt.Assert(t, re.GetMinReader(), qt.Equals, int64(0))
	}
}
