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

// recoveryLimit is how long routers may take to serve again once they run and the
// store answers.
const recoveryLimit = 3 * time.Second

// newKeyOnly replaces all tenants by one whose only key is "new-key".
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

// TestConfigurationSurvivesTheLossOfAllRouters kills every router as soon as one
// of them acts by a new configuration. The restarted processes must not act by the
// previous one.
func TestConfigurationSurvivesTheLossOfAllRouters(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(newKeyOnly)
		rs.Eventually(applyLimit, "one router acts by it", func() bool {
			return do(rs, request{id: "first", path: testsite.SafeRoute, key: "new-key"}).status == http.StatusOK
		})
		restartAll(rs, routers)
		rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
		for n := 1; n <= routers; n++ {
			qt.Assert(t, do(rs, request{router: n, id: fmt.Sprint("new", n), path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
			qt.Assert(t, do(rs, request{router: n, id: fmt.Sprint("old", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusUnauthorized)
		}
	})
}

// TestAllRoutersRestartDuringStoreOutage restarts all routers while the store is
// down. A router without a configuration must answer 503 with Retry-After, not
// deny the request, and all routers must serve within recoveryLimit of the
// store's return.
func TestAllRoutersRestartDuringStoreOutage(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.SetFaults(standin.Faults{Down: true})
		restartAll(rs, routers)
		for n := range 9 {
			an := do(rs, request{router: 1 + n%routers, id: fmt.Sprint("away", n), path: testsite.SafeRoute})
			qt.Assert(t, an.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			time.Sleep(500 * time.Millisecond)
		}
		rs.Store.SetFaults(standin.Faults{})
		rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
		for n := 1; n <= routers; n++ {
			qt.Assert(t, do(rs, request{router: n, id: fmt.Sprint("back", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
	})
}

// TestRouterWithoutOutboundPathsLearnsFromPeers cuts a router's connections to the
// store and to its only peer (port 83); the peer can still connect to it. The
// router cannot fetch a newer policy, so the peer has to offer it.
func TestRouterWithoutOutboundPathsLearnsFromPeers(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		ho := testsite.Host(testsite.RouterName(2))
		rs.Net.Cut(ho, testsite.KVAddress)
		rs.Net.Cut(ho, testsite.RouterAddress(1, 83))
		time.Sleep(time.Second)
		rs.Configure(newKeyOnly)
		time.Sleep(recoveryLimit)
		qt.Assert(t, do(rs, request{router: 2, id: "old", path: testsite.SafeRoute}).status, qt.Equals, http.StatusUnauthorized)
		qt.Assert(t, do(rs, request{router: 2, id: "new", path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
	})
}

// TestLateWritesDoNotUndoARollback has the store fail writes and carry them out
// seconds later. A late write of the state "running" must not overwrite
// "rolled_back".
func TestLateWritesDoNotUndoARollback(t *testing.T) {
	for _, late := range []int{1, 2, 3, 4} {
		t.Run(fmt.Sprint(late, " late writes"), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
				rs.Store.SetFaults(standin.Faults{LateWrites: late, LateMS: 6000, LateAbout: "status/rollout/"})
				addRelease(rs, standin.ReplicaFaults{Status: 500})
				ordered := time.Now()
				for rs.RolloutState(testsite.PlainService) != "rolled_back" && time.Since(ordered) < 8*time.Second {
					sendLoad(rs, 50*time.Millisecond, 3)
				}
				qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "rolled_back")
				sendLoad(rs, applyLimit, 3)
				before := countRuns(rs, "v2")
				for time.Since(ordered) < 14*time.Second {
					sendLoad(rs, 50*time.Millisecond, 3)
					qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "rolled_back")
				}
				qt.Assert(t, countRuns(rs, "v2"), qt.Equals, before)
			})
		})
	}
}

// TestBrokenPooledConnectionsLoseNoRequests resets or stalls all connections to the
// replicas after each request. On a broken pooled connection the router could not
// tell whether an unsafe request had run, and must not repeat it; so unsafe
// requests go over new connections.
func TestBrokenPooledConnectionsLoseNoRequests(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		ho := testsite.Host(testsite.RouterName(1))
		for n := range 40 {
			id := fmt.Sprint("u", n)
			qt.Assert(t, do(rs, request{id: id, path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusOK)
			qt.Assert(t, runsOfRequest(rs, id), qt.HasLen, 1)
			for k := 1; k <= 2; k++ {
				address := testsite.ReplicaAddress(testsite.PlainService, k, "v1")
				if n%2 == 0 {
					rs.Net.Blackhole(ho, address)
					continue
				}
				rs.Net.Cut(ho, address)
				rs.Net.Restore(ho, address)
			}
		}
	})
}
