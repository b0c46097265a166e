package cascade_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/cascade"
	"tanagerpoint.example/tanager/policy"
)

// addRequests adds requests of a route of the service s.
func addRequests(ra *cascade.Ranks, route policy.RouteID, urgency int64, prompt policy.Tokens, n int) {
	for range n {
		ra.Add(cascade.Task{Service: "s", Route: route, RouteUrgency: urgency, Prompt: prompt})
	}
}

// TestRanksDisagreeWhereTheUrgentPromptsAreLonger has services whose long prompts are the most, the
// least or in between urgent, and one with a single route.
func TestRanksDisagreeWhereTheUrgentPromptsAreLonger(t *testing.T) {
	for _, te := range []struct {
		name               string
		long, middle, tiny int64
		want               bool
	}{
		{"long prompts least urgent", 2, 1, 0, false},
		{"long prompts most urgent", 0, 1, 2, true},
		{"long prompts before the middle ones", 1, 2, 0, true},
		{"all alike", 1, 1, 1, false},
	} {
		ra := cascade.NewRanks()
		addRequests(ra, "long", te.long, 12_000, 30)
		addRequests(ra, "middle", te.middle, 2_400, 30)
		addRequests(ra, "tiny", te.tiny, 800, 30)
		qt.Check(t, ra.Disagree("s"), qt.Equals, te.want, qt.Commentf("%s", te.name))
		qt.Check(t, ra.Disagree("other"), qt.IsFalse)
	}
	// One of a hundred routers gets a few requests of each route in ten seconds.
	early := cascade.NewRanks()
	addRequests(early, "long", 0, 12_000, 5)
	addRequests(early, "tiny", 1, 800, 5)
	qt.Check(t, early.Disagree("s"), qt.IsTrue)
	few := cascade.NewRanks()
	addRequests(few, "long", 0, 12_000, 30)
	addRequests(few, "tiny", 1, 800, 3)
	qt.Check(t, few.Disagree("s"), qt.IsFalse)
}

// TestThresholdGoesToTheLargestModelOrNone compares the step with Escalation.
func TestThresholdGoesToTheLargestModelOrNone(t *testing.T) {
	ta := cascade.Task{Options: []cascade.Option{{Model: "a", Work: 0.02}, {Model: "b", Work: 0.04}, {Model: "c", Work: 0.1}}, Left: 2, Target: 2, Repeatable: true}
	for _, co := range []float64{10, 50, 70, 79, 81, 95} {
		want := 0
		if (cascade.Escalation{Confidence: co, Work: 0.1, TimeLeft: 2}).ShouldEscalate() {
			want = 2
		}
		qt.Check(t, ta.ByThreshold(0, cascade.Confidence(co/100)).Index, qt.Equals, want, qt.Commentf("confidence %g", co))
		qt.Check(t, ta.ByThreshold(2, cascade.Confidence(co/100)).Index, qt.Equals, 2)
	}
	ta.Repeatable = false
	qt.Check(t, ta.ByThreshold(0, 0.1).Index, qt.Equals, 0)
}
