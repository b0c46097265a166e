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
