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

// back is how long routers may take to serve again once they run and the
// store answers.
const back = 3 * time.Second

// newKeyOnly leaves one tenant, with another key.
func newKeyOnly(co *testsite.Configuration) {
	co.Tenants = []testsite.TenantConfiguration{{Name: "new", APIKeys: []string{"new-key"}}}
}

func restartAll(rs *testsite.RouterSite, routers int) {
	for n := 1; n <= routers; n++ {
		rs.KillRouter(n)
	}
	for n := 1; n <= routers; n++ {
		rs.StartRouter(n)
	}
}

// TestConfigurationSurvivesTheLossOfAllRouters kills every router as soon as
// one of them acts by a new configuration: the new processes must not act by
// the one before.
func TestConfigurationSurvivesTheLossOfAllRouters(t *testing.T) {
	const routers = 3
	site(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(newKeyOnly)
		rs.Eventually(inForce, "one router acts by it", func() bool {
			return do(rs, ask{id: "first", path: testsite.SafeRoute, key: "new-key"}).status == http.StatusOK
		})
		restartAll(rs, routers)
		rs.Eventually(back, "all serve again", rs.AllReady)
		for n := 1; n <= routers; n++ {
			qt.Assert(t, do(rs, ask{router: n, id: fmt.Sprint("new", n), path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
			qt.Assert(t, do(rs, ask{router: n, id: fmt.Sprint("old", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusUnauthorized)
		}
	})
}

// TestAllRoutersComeBackToAStoreThatIsAway restarts all while the store is
// down. Nobody is denied by a configuration that is not known, and all serve
// soon after the store is back.
func TestAllRoutersComeBackToAStoreThatIsAway(t *testing.T) {
	const routers = 3
	site(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.Set(standin.Faults{Down: true})
		restartAll(rs, routers)
		for n := range 9 {
			an := do(rs, ask{router: 1 + n%routers, id: fmt.Sprint("away", n), path: testsite.SafeRoute})
			qt.Assert(t, an.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			time.Sleep(500 * time.Millisecond)
		}
		rs.Store.Set(standin.Faults{})
		rs.Eventually(back, "all serve again", rs.AllReady)
		for n := 1; n <= routers; n++ {
			qt.Assert(t, do(rs, ask{router: n, id: fmt.Sprint("back", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
	})
}

// TestRouterThatReachesNobodyLearnsFromThoseWhoReachIt cuts a router off the
// store and the way from it to its only peer; the way back stands.
func TestRouterThatReachesNobodyLearnsFromThoseWhoReachIt(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 2, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		ho := testsite.Host(testsite.RouterName(2))
		rs.Net.Cut(ho, testsite.KVAddress)
		rs.Net.Cut(ho, testsite.RouterAddress(1, 83))
		time.Sleep(time.Second)
		rs.Configure(newKeyOnly)
		time.Sleep(back)
		qt.Assert(t, do(rs, ask{router: 2, id: "old", path: testsite.SafeRoute}).status, qt.Equals, http.StatusUnauthorized)
		qt.Assert(t, do(rs, ask{router: 2, id: "new", path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
	})
}

// TestLateWritesDoNotUndoARollback has the store carry writes out seconds
// after it broke them off: one that says "running" must not come to stand
// over the roll-back.
func TestLateWritesDoNotUndoARollback(t *testing.T) {
	for _, late := range []int{1, 2, 3, 4} {
		t.Run(fmt.Sprint(late, " late writes"), func(t *testing.T) {
			site(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.OrderRollout(testsite.PlainGroup, "v2", rolloutLimit)
				rs.Store.Set(standin.Faults{LateWrites: late, LateMS: 6000, LateAbout: "status/rollout/"})
				addRelease(rs, standin.ReplicaFaults{Status: 500})
				ordered := time.Now()
				for rs.RolloutState(testsite.PlainGroup) != "rolled_back" && time.Since(ordered) < 8*time.Second {
					load(rs, 50*time.Millisecond, 3)
				}
				qt.Assert(t, rs.RolloutState(testsite.PlainGroup), qt.Equals, "rolled_back")
				load(rs, inForce, 3)
				before := runsOn(rs, "v2")
				for time.Since(ordered) < 14*time.Second {
					load(rs, 50*time.Millisecond, 3)
					qt.Assert(t, rs.RolloutState(testsite.PlainGroup), qt.Equals, "rolled_back")
				}
				qt.Assert(t, runsOn(rs, "v2"), qt.Equals, before)
			})
		})
	}
}

// TestKeptConnectionsThatResetLoseNothing breaks all connections to the
// replicas after each request, or makes them carry nothing more. What cannot
// run twice is not put at risk on a connection that was kept.
func TestKeptConnectionsThatResetLoseNothing(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		ho := testsite.Host(testsite.RouterName(1))
		for n := range 40 {
			id := fmt.Sprint("u", n)
			qt.Assert(t, do(rs, ask{id: id, path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusOK)
			qt.Assert(t, runsOf(rs, id), qt.HasLen, 1)
			for k := 1; k <= 2; k++ {
				address := testsite.ReplicaAddress(testsite.PlainGroup, k, "v1")
				if n%2 == 0 {
					rs.Net.Silence(ho, address)
					continue
				}
				rs.Net.Cut(ho, address)
				rs.Net.Mend(ho, address)
			}
		}
	})
}
