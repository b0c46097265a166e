package rollout_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func plan() rollout.Plan {
	return rollout.Plan{StartedAt: start, TrialAt: start.Add(2 * time.Second), TrialShare: 0.1, DeadlineAt: start.Add(24 * time.Second)}
}

// reportOf returns a report of answers and failures on one route.
func reportOf(candidate, stable rollout.Tally) rollout.Report {
	return rollout.Report{Routes: map[policy.RouteID]rollout.RouteTallies{"desk": {Candidate: candidate, Stable: stable}}}
}

// cleanReport returns a report of a candidate that has not failed yet.
func cleanReport(answers int64) rollout.Report {
	return reportOf(rollout.Tally{Answers: answers}, rollout.Tally{Answers: 500, Failures: 1})
}

func rejectedReport(answers int64) rollout.Report {
	re := cleanReport(answers)
	re.RejectionReason = "errors"
	return re
}

func inFlightReport(answers, stableInFlight int64) rollout.Report {
	re := cleanReport(answers)
	re.StableInFlight = stableInFlight
	return re
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestShareRisesOnlyAfterTrial(t *testing.T) {
	pl := plan()
	qt.Assert(t, pl.Share(at(1)), qt.Equals, 0.0)
	qt.Assert(t, pl.Share(at(3)), qt.Equals, 0.1)
	qt.Assert(t, pl.Share(at(12)), qt.Equals, 0.1)
	// Elapsed time alone must not end the trial.
	qt.Assert(t, pl.Share(at(13)), qt.Equals, 0.1)
	qt.Assert(t, pl.Share(at(23)), qt.Equals, 0.1)
	pl.PromotedAt = at(14)
	qt.Assert(t, pl.Share(at(1)), qt.Equals, 0.0)
	qt.Assert(t, pl.Share(at(13.99)), qt.Equals, 0.1)
	qt.Assert(t, pl.Share(at(14)), qt.Equals, 1.0)
}

// TestPromotionIsAnnouncedAhead checks when all requests are to go to the candidate,
// depending on when that is decided: not in the first half of the roll-out, and late
// enough for all routers to learn of it.
func TestPromotionIsAnnouncedAhead(t *testing.T) {
	for _, tc := range []struct{ decided, promoted float64 }{{9.98, 12.48}, {11, 13.5}, {16, 18.5}, {22, 23}, {23.5, 23.75}} {
		pr := rollout.Progress{Plan: plan(), Started: true, Report: cleanReport(100)}
		qt.Check(t, pr.Next(at(tc.decided)), qt.Equals, rollout.ActionPromote, qt.Commentf("%v", tc.decided))
		next, _ := pr.Apply(at(tc.decided), rollout.ActionPromote, &rpc.Rollout{})
		qt.Check(t, next.GetPromotedAtMs(), qt.Equals, at(tc.promoted).UnixMilli(), qt.Commentf("%v", tc.decided))
	}
}

func TestActions(t *testing.T) {
	for _, tc := range []struct {
		name string
		now  float64
		// promoted is when all requests go to the candidate, 0 if not decided.
		promoted float64
		pr       rollout.Progress
		want     rollout.Action
	}{
		{"start not recorded", 1, 0, rollout.Progress{}, rollout.ActionStart},
		{"on trial", 5, 0, rollout.Progress{Started: true, Report: cleanReport(100)}, rollout.ActionNone},
		{"bad", 5, 0, rollout.Progress{Started: true, Report: rejectedReport(9)}, rollout.ActionAbort},
		{"bad before the start was recorded", 1, 0, rollout.Progress{Report: rollout.Report{RejectionReason: "errors"}}, rollout.ActionAbort},
		{"bad after the promotion", 13, 12.5, rollout.Progress{Started: true, Report: rejectedReport(100)}, rollout.ActionAbort},
		{"enough answers", 10, 0, rollout.Progress{Started: true, Report: cleanReport(100)}, rollout.ActionPromote},
		{"too few answers", 16, 0, rollout.Progress{Started: true, Report: cleanReport(10)}, rollout.ActionNone},
		{"too few answers after a restart", 16, 12.5, rollout.Progress{Started: true, Report: cleanReport(10)}, rollout.ActionNone},
		{"promoted, but not yet in force", 11, 12.5, rollout.Progress{Started: true, Report: cleanReport(100)}, rollout.ActionNone},
		{"trial has just ended", 13, 12.5, rollout.Progress{Started: true, Report: cleanReport(100)}, rollout.ActionNone},
		{"old release has requests in flight", 16, 12.5, rollout.Progress{Started: true, Report: inFlightReport(100, 1)}, rollout.ActionNone},
		{"enough answers and promoted", 16, 12.5, rollout.Progress{Started: true, Report: cleanReport(100)}, rollout.ActionComplete},
		{"few answers when the limit begins to rise", 19, 0, rollout.Progress{Started: true, Report: cleanReport(10)}, rollout.ActionNone},
		{"few answers shortly before the forced end", 21, 0, rollout.Progress{Started: true, Report: cleanReport(10)}, rollout.ActionPromote},
		{"few answers after the forced end, not promoted", 22, 0, rollout.Progress{Started: true, Report: inFlightReport(10, 3)}, rollout.ActionPromote},
		{"few answers after the forced end, just promoted", 22, 21.5, rollout.Progress{Started: true, Report: inFlightReport(10, 3)}, rollout.ActionNone},
		{"few answers after the forced end", 22.8, 21.5, rollout.Progress{Started: true, Report: inFlightReport(10, 3)}, rollout.ActionComplete},
		{"too few answers after the forced end", 22, 0, rollout.Progress{Started: true, Report: cleanReport(1)}, rollout.ActionNone},
		{"too few answers at the deadline", 25, 0, rollout.Progress{Started: true, Report: cleanReport(1)}, rollout.ActionAbort},
		{"enough answers, but no store until the deadline", 25, 0, rollout.Progress{Started: true, Report: cleanReport(100)}, rollout.ActionComplete},
	} {
		tc.pr.Plan = plan()
		if tc.promoted > 0 {
			tc.pr.PromotedAt = at(tc.promoted)
		}
		qt.Check(t, tc.pr.Next(at(tc.now)), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

func TestFailuresRejectACandidate(t *testing.T) {
	for _, tc := range []struct {
		candidate, stable rollout.Tally
		rejected          bool
	}{
		// A route that fails often on the release in use too.
		{rollout.Tally{Answers: 50, Failures: 10}, rollout.Tally{Answers: 500, Failures: 70}, false},
		{rollout.Tally{Answers: 50, Failures: 30}, rollout.Tally{Answers: 500, Failures: 70}, true},
		{rollout.Tally{Answers: 20, Failures: 6}, rollout.Tally{Answers: 500}, true},
		{rollout.Tally{Answers: 5, Failures: 5}, rollout.Tally{Answers: 500}, true},
		{rollout.Tally{Answers: 5, Failures: 1}, rollout.Tally{Answers: 500, Failures: 2}, false},
		// Nothing is known of the release in use, for example after a restart.
		{rollout.Tally{Answers: 30, Failures: 5}, rollout.Tally{}, false},
		{rollout.Tally{Answers: 5000, Failures: 2500}, rollout.Tally{Answers: 5000, Failures: 2500}, false},
		{rollout.Tally{Answers: 5000, Failures: 3000}, rollout.Tally{Answers: 5000, Failures: 2500}, true},
	} {
		qt.Check(t, reportOf(tc.candidate, tc.stable).Verdict() != "", qt.Equals, tc.rejected, qt.Commentf("%+v", tc))
	}
}

// TestLoadOnAGoodReleaseIsNoFailure guards against rolling back a good release
// because of time-outs under load, as happened in the benchmark run versehall
// quiet-1. When all requests move to the candidate, its caches are cold and one
// request in twelve times out waiting for the first token; the release in use has
// similar time-outs under the same load. Time-outs must not count as failures.
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
	qt.Assert(t, ht.Report().Total().Candidate.Failures, qt.Equals, int64(0))
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

// TestOddReportRollsNoReleaseBack has a router report odd numbers of a release. Evidence that is not a
// number stayed in the sum, so that a bad release could not be found any more.
func TestOddReportRollsNoReleaseBack(t *testing.T) {
	bad := rollout.ReportOf(&rpc.VersionHealth{Answers: 50, Failures: 40, StableAnswers: 500, SlowEvidence: []float64{9, 9, 9, 9}})
	qt.Assert(t, bad.Verdict(), qt.Not(qt.Equals), "")
	for _, whole := range []int64{-1, math.MinInt64, math.MaxInt64, 1 << 62} {
		for _, real := range []float64{math.NaN(), 0} {
			odd := rollout.ReportOf(&rpc.VersionHealth{StableAnswers: whole, StableFailures: whole, StableInFlight: whole, Answers: whole, SlowEvidence: []float64{real, real, real, real}})
			qt.Check(t, odd.Verdict(), qt.Equals, "", qt.Commentf("%d, %g", whole, real))
			sum := bad.Add(odd).Add(odd)
			qt.Check(t, sum.Verdict(), qt.Not(qt.Equals), "", qt.Commentf("%d, %g", whole, real))
			qt.Check(t, sum.Total().Candidate.Answers >= 50 && sum.Total().Stable.Answers >= 500 && sum.StableInFlight >= 0, qt.IsTrue, qt.Commentf("%d: %v", whole, sum))
		}
	}
}

// TestReportsOfManyEndpointsStaySmall guards against reports that grow with the routes and endpoints of a
// service: in large groups their sums took more bytes between failure domains than all else.
func TestReportsOfManyEndpointsStaySmall(t *testing.T) {
	const routes, maxBytes = 32, 4096
	for _, endpoints := range []int{1, 3, 12, 100} {
		re := rollout.Report{Routes: map[policy.RouteID]rollout.RouteTallies{}}
		for ro := range routes {
			rt := rollout.RouteTallies{Endpoints: map[policy.EndpointID]rollout.Tally{}}
			for en := range endpoints {
				ta := rollout.Tally{Answers: 50, Failures: 3, Timed: 40, Slow: 2, Whole: 47, WholeSeconds: 1.25}
				rt.Candidate, rt.Stable = rt.Candidate.Add(ta), rt.Stable.Add(ta)
				rt.Endpoints[policy.EndpointID(fmt.Sprint("endpoint-", en))] = ta
			}
			re.Routes[policy.RouteID(fmt.Sprint("route-", ro))] = rt
		}
		size := proto.Size(re.Message("v2"))
		qt.Check(t, size <= maxBytes, qt.IsTrue, qt.Commentf("%d endpoints: %d bytes", endpoints, size))
	}
}

// TestReportWithoutRoutesKeepsTheCounts checks what routers of a large group publish to each other:
// the counts alone, in few bytes.
func TestReportWithoutRoutesKeepsTheCounts(t *testing.T) {
	const maxBytes = 256
	re := rollout.Report{Sent: 70, Routes: map[policy.RouteID]rollout.RouteTallies{}}
	for ro := range 32 {
		re.Routes[policy.RouteID(fmt.Sprint("route-", ro))] = rollout.RouteTallies{
			Candidate: rollout.Tally{Answers: 10, Failures: 1}, Stable: rollout.Tally{Answers: 90, Failures: 2},
		}
	}
	ms := re.WithoutRoutes().Message("v2")
	qt.Assert(t, proto.Size(ms) <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(ms)))
	got := rollout.ReportOf(ms)
	qt.Assert(t, got.Total(), qt.DeepEquals, re.Total())
	qt.Assert(t, got.Sent, qt.Equals, re.Sent)
}
