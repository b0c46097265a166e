package policy_test

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/finding"
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

// TestRecordWithWhatIsNoNumberIsRefused has an operator write NaN, which JSON records of floats may
// hold as a text and which no comparison with a bound finds.
func TestRecordWithWhatIsNoNumberIsRefused(t *testing.T) {
	for _, tc := range []struct{ kind, spec string }{
		{"organisation", `{"share":X}`}, {"rank", `{"floor":X}`}, {"rank", `{"headroom":X}`}, {"version", `{"quality":X}`},
		{"cascade", `{"quality_target":X}`}, {"cascade", `{"rated_share":X}`}, {"rollout", `{"share":X}`}, {"rollout", `{"steps":[X]}`},
	} {
		for _, text := range []string{`"NaN"`, `"Infinity"`, `"-Infinity"`, "-1", "1e308"} {
			if tc.kind == "organisation" && text == "1e308" {
				continue // a share has no largest value
			}
			re, err := policy.ParseRecord([]byte(`{"schema_version":2,"kind":"` + tc.kind + `","id":"x","spec":` + strings.ReplaceAll(tc.spec, "X", text) + `}`))
			qt.Assert(t, err, qt.IsNil)
			field := tc.spec[2 : 2+strings.Index(tc.spec[2:], `"`)]
			found := false
			for _, fi := range policy.NewSet().WithRecords([]policy.Record{re}).Validate(func(string) finding.Place { return finding.Place{} }) {
				found = found || strings.Contains(fi.Place.Key, field)
			}
			qt.Check(t, found, qt.IsTrue, qt.Commentf("%s %s with %s", tc.kind, field, text))
		}
	}
}

// TestCostsDoNotWrap has prices and numbers of tokens whose products and sums are beyond 64 bits.
func TestCostsDoNotWrap(t *testing.T) {
	for _, tc := range []struct {
		price, tokens int64
		want          policy.MicroCredits
	}{{2, 3, 12}, {math.MaxInt64, 1, math.MaxInt64}, {1 << 40, 1 << 40, math.MaxInt64}, {math.MaxInt64, math.MaxInt64, math.MaxInt64}, {2, -5, 0}, {-2, 5, 0}, {math.MaxInt64, 0, 0}} {
		ve := policy.Version{Version: &rpc.Version{Cost: &rpc.Cost{Input: tc.price, Output: tc.price}}}
		qt.Check(t, ve.Cost(policy.Tokens(tc.tokens), policy.Tokens(tc.tokens)), qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}
