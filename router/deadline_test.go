package router_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestStreamsThatReachTheirDeadlineDoNotSuspend has streams last longer than their callers, or
// their route, allow. Two of them suspended the replica, and other callers were refused.
func TestStreamsThatReachTheirDeadlineDoNotSuspend(t *testing.T) {
	const deadline, streams = 1500 * time.Millisecond, 6
	for _, byRoute := range []bool{false, true} {
		t.Run(fmt.Sprintf("route's own %t", byRoute), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
				header := map[string]string{"Deadline-Remaining": fmt.Sprint(deadline.Milliseconds())}
				if byRoute {
					header = nil
					rs.Configure(func(co *testsite.Configuration) { co.Routes[0].TimeoutMS = deadline.Milliseconds() })
					time.Sleep(2 * time.Second)
				}
				gr := worker.NewGroup()
				for n := range streams {
					gr.Go(func(context.Context) {
						an := do(rs, request{id: fmt.Sprint("short", n), path: testsite.EngineRoute + "x", header: header})
						qt.Check(t, an.err, qt.IsNotNil)
					})
				}
				time.Sleep(deadline + 100*time.Millisecond)
				an := do(rs, request{id: "late", path: testsite.EngineRoute + "x"})
				qt.Check(t, an.status, qt.Equals, http.StatusOK)
				gr.Close()
			})
		})
	}
}
