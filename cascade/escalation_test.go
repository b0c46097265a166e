package cascade_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/cascade"
)

// TestBacklogKeepsLongPromptsOnSmallModel checks that a growing backlog stops the
// escalation of long prompts before that of short ones. With the same low
// confidence, both escalate while the endpoints are idle, but only the short one at
// a backlog of 0.4 s.
func TestBacklogKeepsLongPromptsOnSmallModel(t *testing.T) {
	long := cascade.Escalation{Confidence: 40, Work: 0.6, TimeLeft: 6}
	short := cascade.Escalation{Confidence: 40, Work: 0.05, TimeLeft: 1}
	qt.Assert(t, long.ShouldEscalate(), qt.IsTrue)
	qt.Assert(t, short.ShouldEscalate(), qt.IsTrue)
	long.Backlog, short.Backlog = 0.4, 0.4
	qt.Assert(t, long.ShouldEscalate(), qt.IsFalse)
	qt.Assert(t, short.ShouldEscalate(), qt.IsTrue)
}

func TestNoEscalationBeyondTimeLeft(t *testing.T) {
	es := cascade.Escalation{Confidence: 1, Work: 0.5, Backlog: 0.6, TimeLeft: 1}
	qt.Assert(t, es.ShouldEscalate(), qt.IsFalse)
}

func TestConfidenceThreshold(t *testing.T) {
	qt.Assert(t, cascade.Escalation{Confidence: 90, TimeLeft: 5}.ShouldEscalate(), qt.IsFalse)
	qt.Assert(t, cascade.Escalation{Confidence: 10, Work: 0.1, TimeLeft: 5}.ShouldEscalate(), qt.IsTrue)
}
