package measure_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/measure"
)

// TestMeasuresMeetTheirTargets checks that the decision code meets its targets. It
// runs in virtual time from a fixed seed, so its figures are the same in every run.
func TestMeasuresMeetTheirTargets(t *testing.T) {
	for _, ro := range measure.All(1) {
		qt.Check(t, ro.Met, qt.IsTrue, qt.Commentf("%s: %s, target %s", ro.Measure, ro.Figure, ro.Target))
	}
}

func TestPlacementMeetsItsTarget(t *testing.T) {
	ro := measure.Placement(1)
	qt.Check(t, ro.Met, qt.IsTrue, qt.Commentf("%s: %s, target %s", ro.Measure, ro.Figure, ro.Target))
}
