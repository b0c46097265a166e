package router_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestLoadsAreAddedUpInALargeGroup has routers of three failure domains hold requests at one
// replica. All others must know of them, also after a relay was killed; before, routers of
// large groups knew no loads but their own.
func TestLoadsAreAddedUpInALargeGroup(t *testing.T) {
	const routers, requests = 30, 12
	opt := testsite.RouterOptions{Routers: routers, Domains: 3, Plains: 1, Plain: standin.ReplicaOptions{Delay: 8 * time.Second}}
	withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			for n := range co.Routes {
				co.Routes[n].TimeoutMS = 20_000
			}
		})
		time.Sleep(10 * time.Second)
		wg := worker.NewGroup()
		defer wg.Wait()
		for n := 1; n <= requests; n++ {
			wg.Go(func(context.Context) {
				do(rs, request{router: n, id: fmt.Sprint("r", n), path: testsite.UnsafeRoute + "x"})
			})
		}
		time.Sleep(1500 * time.Millisecond)
		checkOthers(t, rs, requests)
		// Those that watch the store are the first relays of their domains.
		relays := slices.DeleteFunc(watchers(rs), func(n int) bool { return n <= requests })
		qt.Assert(t, len(relays) > 0, qt.IsTrue)
		rs.KillRouter(relays[0])
		time.Sleep(3 * time.Second)
		checkOthers(t, rs, requests)
	})
}

// checkOthers checks that each router knows all requests in flight, its own ones included.
func checkOthers(t *testing.T, rs *testsite.RouterSite, requests int) {
	t.Helper()
	for n, da := range rs.Routers {
		st := da.Dump().(router.State).Relay
		known := 0
		for _, lo := range st.Others {
			known += lo.Running
		}
		for _, lo := range st.Endpoints {
			known += lo.Running
		}
		qt.Check(t, known, qt.Equals, requests, qt.Commentf("router %d", n))
	}
}

// TestFailingReleaseIsStoppedSoonInALargeGroup has a release fail all requests that ninety
// routers send it: none of them sees enough failures by itself. Before, each heard of the
// others' failures some ten seconds later.
func TestFailingReleaseIsStoppedSoonInALargeGroup(t *testing.T) {
	const routers, exposed = 90, 30
	withSite(t, testsite.RouterOptions{Routers: routers, Domains: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		time.Sleep(5 * time.Second)
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		addRelease(rs, standin.ReplicaFaults{Status: http.StatusInternalServerError})
		sendLoad(rs, 9*time.Second, routers)
		bad := countRuns(rs, "v2")
		qt.Check(t, bad > 0, qt.IsTrue, qt.Commentf("the release was not tried"))
		qt.Check(t, bad <= exposed, qt.IsTrue, qt.Commentf("%d bad answers", bad))
		qt.Check(t, rs.RolloutState(testsite.PlainService), qt.Equals, "rolled_back")
	})
}
