package policy_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

// TestNoTimeOfAPolicyIsOver has records name the longest times. From 9.2e12 ms on they became
// negative, so that each deadline had passed before the request arrived.
func TestNoTimeOfAPolicyIsOver(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, ms := range []int64{1, math.MaxInt32, 9_300_000_000_000, 1 << 62, math.MaxInt64} {
		rt := policy.Route{Route: &rpc.Route{TimeoutMs: ms, TargetMs: ms, GapTargetMs: ms}}
		ra := policy.Rank{Rank: &rpc.Rank{DeadlineMs: ms, FirstTokenTargetMs: ms}}
		sv := policy.Service{Service: &rpc.Service{TimeoutMs: ms}}
		lm := policy.Limits{Limits: &rpc.Limits{IdleTimeoutMs: ms}}
		for name, length := range map[string]time.Duration{
			"route": rt.Deadline(now).Sub(now), "target": rt.LatencyTarget(), "gap": rt.GapTarget(), "rank": ra.Deadline(now).Sub(now),
			"first token": ra.FirstTokenDeadline(now).Sub(now), "service": sv.Deadline(now).Sub(now), "idle": lm.IdleTimeout(),
		} {
			qt.Check(t, length > 0, qt.IsTrue, qt.Commentf("%s of %d ms: %v", name, ms, length))
			// Waits are small multiples of these times.
			qt.Check(t, time.Duration(4*float64(length)) > 0, qt.IsTrue, qt.Commentf("%s of %d ms: %v", name, ms, length))
		}
	}
}

// TestWeightsOfASplitDoNotWrap divides a route by the largest weights. Their sum wrapped, and all
// requests went to the first service.
func TestWeightsOfASplitDoNotWrap(t *testing.T) {
	for _, weight := range []int64{1, math.MaxInt32, 1 << 53, 1 << 62, math.MaxInt64} {
		rt := policy.Route{Route: &rpc.Route{Splits: []*rpc.Split{{Service: "a", Weight: weight}, {Service: "b", Weight: weight}}}}
		picked := map[policy.ServiceID]int{}
		for n := range 100 {
			picked[rt.PickService((float64(n)+0.5)/100)]++
		}
		qt.Check(t, picked, qt.DeepEquals, map[policy.ServiceID]int{"a": 50, "b": 50}, qt.Commentf("%d", weight))
	}
}
