package router_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// applyLimit is how long a change of configuration or registrations may take
// until every router acts by it.
const applyLimit = 2 * time.Second

func TestConfigurationIsAppliedByAllRouters(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 3, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			co.Routes = co.Routes[:2] // without the route of SafeRoute
			newKeyOnly(co)
		})
		time.Sleep(applyLimit)
		for n := 1; n <= 3; n++ {
			qt.Assert(t, do(rs, request{router: n, id: fmt.Sprint("a", n), path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusNotFound)
			qt.Assert(t, do(rs, request{router: n, id: fmt.Sprint("b", n), path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusUnauthorized)
			qt.Assert(t, do(rs, request{router: n, id: fmt.Sprint("c", n), path: testsite.UnsafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
		}
	})
}

// TestRouterWithoutStoreLearnsFromPeers checks that a router that cannot reach
// the store still learns from its peers that a key was revoked and that a replica
// drains.
func TestRouterWithoutStoreLearnsFromPeers(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Net.Cut(testsite.Host(testsite.RouterName(2)), testsite.KVAddress)
		time.Sleep(time.Second)
		rs.Configure(newKeyOnly)
		rs.Register(testsite.PlainService, 1, "v1", "draining")
		time.Sleep(applyLimit)
		qt.Assert(t, do(rs, request{router: 2, id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusUnauthorized)
		for n := range 8 {
			qt.Assert(t, do(rs, request{router: 2, id: fmt.Sprint(n), path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs()), qt.Equals, 0)
	})
}

// TestRouterStartsWithoutStore checks that a router that starts during a store
// outage gets its whole configuration from its peers.
func TestRouterStartsWithoutStore(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.KillRouter(2)
		rs.Store.SetFaults(standin.Faults{Down: true})
		rs.StartRouter(2)
		rs.Eventually(3*time.Second, "the restarted router is ready", func() bool { return rs.Ready(2) })
		qt.Assert(t, do(rs, request{router: 2, id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
	})
}

// TestStalledWatchIsReopened makes all open connections to the store drop data
// without closing. Before, after a failed call the store's client reused another
// pooled connection that had stalled as well, and the change was not seen in time.
// The change removes all tenants, after which every key is accepted.
func TestStalledWatchIsReopened(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Net.Blackhole(testsite.Host(testsite.RouterName(1)), testsite.KVAddress)
		rs.Configure(func(co *testsite.Configuration) { co.Tenants = nil })
		rs.Eventually(3*time.Second, "the change is in force", func() bool {
			return do(rs, request{id: "x", path: testsite.SafeRoute, key: "any"}).status == http.StatusOK
		})
	})
}

// TestRemovalIsSeenAfterCompaction removes a registration while the watch is
// stalled and compacts the store, so that the watch can never report the removal:
// the router has to read everything again, and must drop the replica.
func TestRemovalIsSeenAfterCompaction(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Net.Blackhole(testsite.Host(testsite.RouterName(1)), testsite.KVAddress)
		rs.Unregister(testsite.PlainService, 1, "v1")
		rs.Store.Compact()
		time.Sleep(5 * time.Second)
		for n := range 8 {
			qt.Assert(t, do(rs, request{id: fmt.Sprint(n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs()), qt.Equals, 0)
	})
}

// TestDepartedReplicaGetsNoRequests checks that a replica that announces that it
// drains, or whose registration is removed, gets no requests later than
// applyLimit afterwards from a router that was cut off from the store shortly
// before. Before, such a router took its own outage for one of the store and kept
// the removed replica in use for the grace period of lapsed registrations, which
// it counted from its next request instead of from the removal.
func TestDepartedReplicaGetsNoRequests(t *testing.T) {
	for name, leave := range map[string]func(rs *testsite.RouterSite){
		"draining": func(rs *testsite.RouterSite) { rs.Register(testsite.PlainService, 1, "v1", "draining") },
		"removed":  func(rs *testsite.RouterSite) { rs.Unregister(testsite.PlainService, 1, "v1") },
	} {
		t.Run(name, func(t *testing.T) {
			busy := standin.ReplicaOptions{Delay: 20 * time.Millisecond}
			withSite(t, testsite.RouterOptions{Routers: 2, Plains: 2, Plain: busy}, func(t *testing.T, rs *testsite.RouterSite) {
				ho := testsite.Host(testsite.RouterName(2))
				rs.Net.Cut(ho, testsite.KVAddress)
				time.Sleep(4 * time.Second)
				rs.Net.Restore(ho, testsite.KVAddress)
				time.Sleep(1500 * time.Millisecond)
				leave(rs)
				left := time.Now()
				for n := 0; time.Since(left) < 4*time.Second; n++ {
					sendConcurrently(t, rs, fmt.Sprint(n))
				}
				for _, ru := range rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs() {
					qt.Assert(t, ru.At.Before(left.Add(applyLimit)), qt.IsTrue, qt.Commentf("ran a request %s after it departed", ru.At.Sub(left)))
				}
			})
		})
	}
}

// sendConcurrently sends safe requests to the second router at the same time,
// enough of them that every endpoint it knows gets some, and checks that all
// succeed.
func sendConcurrently(t *testing.T, rs *testsite.RouterSite, round string) {
	t.Helper()
	const requests = 6
	var wg sync.WaitGroup
	var statuses [requests]int
	for n := range requests {
		wg.Go(func() {
			statuses[n] = do(rs, request{router: 2, id: fmt.Sprint(round, "-", n), path: testsite.SafeRoute}).status
		})
	}
	wg.Wait()
	for _, status := range statuses {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
}

// TestLapsedRegistrationsAreKeptDuringGrace has all registrations lapse during a
// store outage. The replicas stay in use for a grace period after the store is
// back; after that, only the replica that registered again is used.
func TestLapsedRegistrationsAreKeptDuringGrace(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.SetFaults(standin.Faults{Down: true})
		time.Sleep(6 * time.Second)
		qt.Assert(t, do(rs, request{id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		rs.Unregister(testsite.PlainService, 1, "v1")
		rs.Unregister(testsite.PlainService, 2, "v1")
		rs.Store.SetFaults(standin.Faults{})
		for n := range 12 {
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, do(rs, request{id: fmt.Sprint("b", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		rs.Register(testsite.PlainService, 2, "v1", "ready")
		time.Sleep(3 * time.Second)
		before := len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs())
		for n := range 8 {
			qt.Assert(t, do(rs, request{id: fmt.Sprint("c", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs()), qt.Equals, before)
	})
}

// TestMalformedRegistrationGetsNoRequests overwrites one replica's registration
// with text that cannot be decoded: that replica must get no requests, and the
// others must go on being used.
func TestMalformedRegistrationGetsNoRequests(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.Write("servers/"+testsite.ReplicaID(testsite.PlainService, 1, "v1"), []byte(`{"service":7`))
		rs.Store.Write("servers/stranger", []byte("\x00\xff"))
		time.Sleep(time.Second)
		for n := range 8 {
			qt.Assert(t, do(rs, request{id: fmt.Sprint(n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].Runs()), qt.Equals, 0)
	})
}

// TestGracefulShutdownFinishesStreams checks that a router that is drained in the
// middle of a stream delivers all of its events.
func TestGracefulShutdownFinishesStreams(t *testing.T) {
	opt := standin.ReplicaOptions{Events: 40, Gap: 100 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "90"}}
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 2, Engine: opt}, func(t *testing.T, rs *testsite.RouterSite) {
		got := make(chan response, 1)
		go func() { got <- do(rs, request{router: 2, id: "a", path: testsite.EngineRoute + "x"}) }()
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 7500*time.Millisecond)
		defer cancel()
		started := time.Now()
		rs.Routers[2].Drain(ctx)
		an := <-got
		qt.Assert(t, an.err, qt.IsNil)
		qt.Assert(t, eventIDs(an.body), qt.HasLen, 40)
		qt.Assert(t, time.Since(started) < 6*time.Second, qt.IsTrue)
		qt.Assert(t, rs.Ready(2), qt.IsFalse)
		qt.Assert(t, rs.Ready(1), qt.IsTrue)
	})
}

// TestRemovalsReachRoutersThatMissedThem restarts one router after a route was
// removed, so that it has never known the route, while the other router is cut off
// from the store and can only learn from the restarted one. The other router must
// not keep the removed route. Before, the restarted router had no tombstone of it
// to pass on, so the other applied the new records and kept the route.
func TestRemovalsReachRoutersThatMissedThem(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.KillRouter(1)
		rs.Net.Cut(testsite.Host(testsite.RouterName(2)), testsite.KVAddress)
		rs.Configure(func(co *testsite.Configuration) {
			added := co.Routes[1]
			added.Name, added.Prefix = "r-new", "/new/"
			co.Routes[2] = added // in place of the route of SafeRoute
		})
		rs.StartRouter(1)
		rs.Eventually(5*time.Second, "the router cut off from the store has the new route", func() bool {
			return do(rs, request{router: 2, id: "n", path: "/new/x"}).status == http.StatusOK
		})
		qt.Assert(t, do(rs, request{router: 2, id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusNotFound)
	})
}
