package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/rollout"
)

// TestTrialTakesFewerSessionsOfManyEndpoints replays PINNED on both grown sites:
// at a tenth of the sessions of 112 endpoints, six to fifteen went on at routers
// that had not heard of them; more than three are too many.
func TestTrialTakesFewerSessionsOfManyEndpoints(t *testing.T) {
	const maxShare = 0.1
	for _, tt := range []struct {
		endpoints int
		want      float64
	}{{0, maxShare}, {9, maxShare}, {23, maxShare}, {24, maxShare / 2}, {60, maxShare / 4}, {112, maxShare / 8}, {2200, maxShare / 128}} {
		qt.Check(t, rollout.TrialShare(maxShare, tt.endpoints), qt.Equals, tt.want, qt.Commentf("%d endpoints", tt.endpoints))
	}
}
