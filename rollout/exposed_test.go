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
	const most = 0.1
	for _, tt := range []struct {
		endpoints int
		want      float64
	}{{0, most}, {9, most}, {23, most}, {24, most / 2}, {60, most / 4}, {112, most / 8}, {2200, most / 128}} {
		qt.Check(t, rollout.TrialShare(most, tt.endpoints), qt.Equals, tt.want, qt.Commentf("%d endpoints", tt.endpoints))
	}
}
