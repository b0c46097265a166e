package router_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestPlannedStopAnswersEachRequest stops a router while replicas take longer to answer than the
// grace lasts. The router closed the callers' connections without an answer.
func TestPlannedStopAnswersEachRequest(t *testing.T) {
	const grace = 5 * time.Second
	slow := standin.ReplicaOptions{Events: 5, Gap: 20 * time.Millisecond, Delay: 2 * grace}
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 2, Engine: slow}, func(t *testing.T, rs *testsite.RouterSite) {
		answers := startRequests(rs, "early", testsite.EngineRoute, http.MethodPost, 8)
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		rs.Routers[1].Drain(ctx)
		rs.Routers[1].Close(context.Background())
		delete(rs.Routers, 1)
		for n, an := range answers() {
			qt.Check(t, an.err, qt.IsNil, qt.Commentf("request %d", n))
		}
	})
}
