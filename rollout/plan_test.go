package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/rollout"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func plan() rollout.Plan {
	return rollout.Plan{StartedAt: start, TrialAt: start.Add(2 * time.Second), DeadlineAt: start.Add(24 * time.Second)}
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestShareRisesOnlyAfterTrial(t *testing.T) {
	pl := plan()
	qt.Assert(t, pl.Share(at(1), 0.1, 1000), qt.Equals, 0.0)
	qt.Assert(t, pl.Share(at(3), 0.1, 1000), qt.Equals, 0.1)
	qt.Assert(t, pl.Share(at(12), 0.1, 1000), qt.Equals, 0.1)
	qt.Assert(t, pl.Share(at(13), 0.1, 1000), qt.Equals, 1.0)
	// A router that has just started has seen nothing: time alone proves nothing.
	qt.Assert(t, pl.Share(at(23), 0.1, 3), qt.Equals, 0.1)
}

func TestActions(t *testing.T) {
	for _, tc := range []struct {
		name string
		now  float64
		pr   rollout.Progress
		want rollout.Action
	}{
		{"not noted yet", 1, rollout.Progress{}, rollout.ActionStart},
		{"on trial", 5, rollout.Progress{Started: true, Answers: 100}, rollout.ActionNone},
		{"bad", 5, rollout.Progress{Started: true, RejectionReason: "errors", Answers: 9}, rollout.ActionAbort},
		{"bad before it was noted", 1, rollout.Progress{RejectionReason: "errors"}, rollout.ActionAbort},
		{"requests just moved", 13, rollout.Progress{Started: true, Answers: 100}, rollout.ActionNone},
		{"old release still serves", 16, rollout.Progress{Started: true, Answers: 100, StableInFlight: 1}, rollout.ActionNone},
		{"proved", 16, rollout.Progress{Started: true, Answers: 100}, rollout.ActionComplete},
		{"too few answers", 16, rollout.Progress{Started: true, Answers: 10}, rollout.ActionNone},
		{"time runs out", 22, rollout.Progress{Started: true, Answers: 10, StableInFlight: 3}, rollout.ActionComplete},
		{"nothing seen", 22, rollout.Progress{Started: true, Answers: 1}, rollout.ActionNone},
		{"nobody proved it", 25, rollout.Progress{Started: true, Answers: 1}, rollout.ActionAbort},
		{"proved, but the store was away", 25, rollout.Progress{Started: true, Answers: 100}, rollout.ActionComplete},
	} {
		tc.pr.Plan = plan()
		qt.Check(t, tc.pr.Next(at(tc.now)), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

func TestSignificantlyWorse(t *testing.T) {
	stable := rollout.Counts{Answers: 500, Failures: 70} // a service whose requests often fail
	qt.Assert(t, rollout.Counts{Answers: 50, Failures: 10}.SignificantlyWorse(stable), qt.IsFalse)
	qt.Assert(t, rollout.Counts{Answers: 50, Failures: 30}.SignificantlyWorse(stable), qt.IsTrue)
	qt.Assert(t, rollout.Counts{Answers: 5, Failures: 5}.SignificantlyWorse(rollout.Counts{Answers: 500}), qt.IsFalse)
	qt.Assert(t, rollout.Counts{Answers: 20, Failures: 6}.SignificantlyWorse(rollout.Counts{Answers: 500}), qt.IsTrue)
}

// TestLoadOnAGoodReleaseIsNoFailure replays the move of all requests to a good
// release: its caches are cold, and one wait in twelve is given up, as with the
// release in use under the same load. It was rolled back on versehall quiet-1.
func TestLoadOnAGoodReleaseIsNoFailure(t *testing.T) {
	var ht rollout.HealthTest
	for i := range 400 {
		ht.Stable(rollout.Outcome{FirstToken: 1 + float64(i%5)/2, TimedOut: i%20 == 0})
	}
	for i := range 300 {
		ou := rollout.Outcome{FirstToken: 1 + float64(i%5)/2}
		if i%12 == 0 {
			ou = rollout.Outcome{TimedOut: true}
		}
		ht.Candidate(ou)
	}
	qt.Assert(t, ht.RejectionReason(), qt.Equals, "")
	qt.Assert(t, ht.Failures, qt.Equals, int64(0))
}

func TestHangingReleaseIsRejected(t *testing.T) {
	var ht rollout.HealthTest
	for range 100 {
		ht.Stable(rollout.Outcome{FirstToken: 1})
	}
	for i := range 40 {
		ht.Candidate(rollout.Outcome{FirstToken: 1, TimedOut: i%3 == 0})
	}
	qt.Assert(t, ht.RejectionReason(), qt.Equals, "slow first token")
}
