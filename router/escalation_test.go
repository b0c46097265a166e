package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestSmallAnswerIsKeptWithoutAPlaceForTheLargeModel has the only replica take one request a
// second. The router dropped the small model's answers, found no place for the large model,
// and answered 502.
func TestSmallAnswerIsKeptWithoutAPlaceForTheLargeModel(t *testing.T) {
	unsure := standin.ReplicaOptions{
		Events: 5, Gap: 20 * time.Millisecond, Delay: 20 * time.Millisecond,
		Confidence: map[string]string{testsite.SmallModel: "5", testsite.LargeModel: "95"},
	}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1, Engine: unsure}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{Limit: "1"})
		answered := 0
		for n := range 8 {
			id := fmt.Sprint("a", n)
			an := do(rs, request{id: id, path: testsite.EngineRoute + "x"})
			if len(runsOfRequest(rs, id)) > 0 {
				qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", id, an.body))
				answered++
			}
			time.Sleep(1500 * time.Millisecond)
		}
		qt.Check(t, answered >= 4, qt.IsTrue, qt.Commentf("%d answered", answered))
	})
}

// TestUnsafeRouteHasNoChoiceOfModels has requests that must not be run again answered by the small
// model with little confidence. Each counted as a choice to keep the small model's answer.
func TestUnsafeRouteHasNoChoiceOfModels(t *testing.T) {
	unsure := standin.ReplicaOptions{
		Events: 5, Gap: 20 * time.Millisecond, Delay: 20 * time.Millisecond,
		Confidence: map[string]string{testsite.SmallModel: "5", testsite.LargeModel: "95"},
	}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 2, Engine: unsure}, func(t *testing.T, rs *testsite.RouterSite) {
		choices := func(id string) []string {
			an := do(rs, request{id: id, path: testsite.EngineRoute + "x"})
			qt.Assert(t, an.status, qt.Equals, http.StatusOK)
			return metricLines(t, rs, "tanager_cascade_choices")
		}
		rs.Configure(func(co *testsite.Configuration) {
			co.Routes[0].Kind, co.Routes[0].StreamResume, co.Routes[0].TargetGapMS = "unsafe", false, 0
		})
		time.Sleep(3 * time.Second)
		qt.Assert(t, choices("unsafe"), qt.HasLen, 0)
		rs.Configure(func(co *testsite.Configuration) { co.Routes[0].Kind = "safe" })
		time.Sleep(3 * time.Second)
		qt.Assert(t, choices("safe"), qt.Not(qt.HasLen), 0)
	})
}
