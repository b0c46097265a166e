package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/rollout"
)

// TestTrialTakesFewerSessionsOfManyEndpoints guards against sessions that switch
// releases as a trial begins. At 112 endpoints and a trial share of a tenth, 6 to
// 15 sessions switched, because they continued at routers that did not yet know
// which release they ran on. At most three may (rule PINNED of the benchmark). It
// was seen at both of its enlarged sites.
func TestTrialTakesFewerSessionsOfManyEndpoints(t *testing.T) {
	const maxShare = 0.1
	for _, tt := range []struct {
		endpoints int
		want      float64
	}{{0, maxShare}, {9, maxShare}, {23, maxShare}, {24, maxShare / 2}, {60, maxShare / 4}, {112, maxShare / 8}, {2200, maxShare / 128}} {
		qt.Check(t, rollout.TrialShare(maxShare, tt.endpoints), qt.Equals, tt.want, qt.Commentf("%d endpoints", tt.endpoints))
	}
}
