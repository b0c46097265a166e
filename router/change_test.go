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

// inForce is how long a change may take.
const inForce = 2 * time.Second

func TestConfigurationComesIntoForceEverywhere(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 3, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			co.Routes = co.Routes[:2]
			newKeyOnly(co)
		})
		time.Sleep(inForce)
		for n := 1; n <= 3; n++ {
			qt.Assert(t, do(rs, ask{router: n, id: fmt.Sprint("a", n), path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusNotFound)
			qt.Assert(t, do(rs, ask{router: n, id: fmt.Sprint("b", n), path: testsite.UnsafeRoute}).status, qt.Equals, http.StatusUnauthorized)
			qt.Assert(t, do(rs, ask{router: n, id: fmt.Sprint("c", n), path: testsite.UnsafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
		}
	})
}

// TestRouterWithoutStoreLearnsFromPeers cuts one router off the store while a
// key is taken away and a replica leaves.
func TestRouterWithoutStoreLearnsFromPeers(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Net.Cut(testsite.Host(testsite.RouterName(2)), testsite.KVAddress)
		time.Sleep(time.Second)
		rs.Configure(newKeyOnly)
		rs.Register(testsite.PlainGroup, 1, "v1", "draining")
		time.Sleep(inForce)
		qt.Assert(t, do(rs, ask{router: 2, id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusUnauthorized)
		for n := range 8 {
			qt.Assert(t, do(rs, ask{router: 2, id: fmt.Sprint(n), path: testsite.SafeRoute, key: "new-key"}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v1")].Runs()), qt.Equals, 0)
	})
}

// TestRouterStartsWithoutStore starts one while the store is down: its peers
// tell it everything.
func TestRouterStartsWithoutStore(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 2, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.KillRouter(2)
		rs.Store.Set(standin.Faults{Down: true})
		rs.StartRouter(2)
		rs.Eventually(3*time.Second, "the new router serves", func() bool { return rs.Ready(2) })
		qt.Assert(t, do(rs, ask{router: 2, id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
	})
}

// TestSilentWatchIsOpenedAnew makes open connections to the store carry
// nothing more.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Net.Silence(testsite.Host(testsite.RouterName(1)), testsite.KVAddress)
		rs.Configure(func(co *testsite.Configuration) { co.Tenants = nil })
		rs.Eventually(3*time.Second, "the change is in force", func() bool {
			return do(rs, ask{id: "x", path: testsite.SafeRoute, key: "any"}).status == http.StatusOK
		})
	})
}

// TestForgottenHistoryIsReadAnew compacts the store while a replica vanishes.
func TestForgottenHistoryIsReadAnew(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Net.Silence(testsite.Host(testsite.RouterName(1)), testsite.KVAddress)
		rs.Unregister(testsite.PlainGroup, 1, "v1")
		rs.Store.Compact()
		time.Sleep(5 * time.Second)
		for n := range 8 {
			qt.Assert(t, do(rs, ask{id: fmt.Sprint(n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v1")].Runs()), qt.Equals, 0)
	})
}

// TestLeavingReplicaGetsNothingMore has one leave with notice, and one whose
// entry is just removed: at a router that was itself cut off the store
// shortly before, as when DRAIN broke on bagmati-drawers trouble-1.
func TestLeavingReplicaGetsNothingMore(t *testing.T) {
	for name, leave := range map[string]func(rs *testsite.RouterSite){
		"draining": func(rs *testsite.RouterSite) { rs.Register(testsite.PlainGroup, 1, "v1", "draining") },
		"removed":  func(rs *testsite.RouterSite) { rs.Unregister(testsite.PlainGroup, 1, "v1") },
	} {
		t.Run(name, func(t *testing.T) {
			busy := standin.ReplicaOptions{Delay: 20 * time.Millisecond}
			site(t, testsite.RouterOptions{Routers: 2, Plains: 2, Plain: busy}, func(t *testing.T, rs *testsite.RouterSite) {
				ho := testsite.Host(testsite.RouterName(2))
				rs.Net.Cut(ho, testsite.KVAddress)
				time.Sleep(4 * time.Second)
				rs.Net.Mend(ho, testsite.KVAddress)
				time.Sleep(1500 * time.Millisecond)
				leave(rs)
				left := time.Now()
				for n := 0; time.Since(left) < 4*time.Second; n++ {
					sideBySide(t, rs, fmt.Sprint(n))
				}
				for _, ru := range rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v1")].Runs() {
					qt.Assert(t, ru.At.Before(left.Add(inForce)), qt.IsTrue, qt.Commentf("%s after it left", ru.At.Sub(left)))
				}
			})
		})
	}
}

// sideBySide sends safe requests to the second router at the same time, so many
// that every endpoint it knows gets some.
func sideBySide(t *testing.T, rs *testsite.RouterSite, round string) {
	t.Helper()
	const requests = 6
	var wg sync.WaitGroup
	var statuses [requests]int
	for n := range requests {
		wg.Go(func() {
			statuses[n] = do(rs, ask{router: 2, id: fmt.Sprint(round, "-", n), path: testsite.SafeRoute}).status
		})
	}
	wg.Wait()
	for _, status := range statuses {
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
}

// TestLapsedEntriesCountForAWhile has all entries run out while the store is
// down, and one come back.
func TestLapsedEntriesCountForAWhile(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.Set(standin.Faults{Down: true})
		time.Sleep(6 * time.Second)
		qt.Assert(t, do(rs, ask{id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		rs.Unregister(testsite.PlainGroup, 1, "v1")
		rs.Unregister(testsite.PlainGroup, 2, "v1")
		rs.Store.Set(standin.Faults{})
		for n := range 12 {
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, do(rs, ask{id: fmt.Sprint("b", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		rs.Register(testsite.PlainGroup, 2, "v1", "ready")
		time.Sleep(3 * time.Second)
		before := len(rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v1")].Runs())
		for n := range 8 {
			qt.Assert(t, do(rs, ask{id: fmt.Sprint("c", n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v1")].Runs()), qt.Equals, before)
	})
}

// TestUnreadableEntryNamesNothing has another writer spoil one entry.
func TestUnreadableEntryNamesNothing(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Store.Write("servers/"+testsite.ReplicaID(testsite.PlainGroup, 1, "v1"), []byte(`{"service":7`))
		rs.Store.Write("servers/stranger", []byte("\x00\xff"))
		time.Sleep(time.Second)
		for n := range 8 {
			qt.Assert(t, do(rs, ask{id: fmt.Sprint(n), path: testsite.SafeRoute}).status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, len(rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v1")].Runs()), qt.Equals, 0)
	})
}

// TestGracefulShutdownFinishesStreams drains a router in mid-stream.
func TestGracefulShutdownFinishesStreams(t *testing.T) {
	opt := standin.ReplicaOptions{Events: 40, Gap: 100 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "90"}}
	site(t, testsite.RouterOptions{Routers: 2, Engines: 2, Engine: opt}, func(t *testing.T, rs *testsite.RouterSite) {
		got := make(chan answer, 1)
		go func() { got <- do(rs, ask{router: 2, id: "a", path: testsite.EngineRoute + "x"}) }()
		time.Sleep(300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 7500*time.Millisecond)
		defer cancel()
		started := time.Now()
		rs.Routers[2].Drain(ctx)
		an := <-got
		qt.Assert(t, an.err, qt.IsNil)
		qt.Assert(t, pieces(an.body), qt.HasLen, 40)
		qt.Assert(t, time.Since(started) < 6*time.Second, qt.IsTrue)
		qt.Assert(t, rs.Ready(2), qt.IsFalse)
		qt.Assert(t, rs.Ready(1), qt.IsTrue)
	})
}

// TestRemovalsReachThoseWhoMissedThem restarts one router after a route was
// removed, so that it never knew the route; the other one, cut off the store
// all the while, learns from it. CONFIG on versehall trouble-1: records of the
// new version were in force beside a route that it had removed.
func TestRemovalsReachThoseWhoMissedThem(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 2, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.KillRouter(1)
		rs.Net.Cut(testsite.Host(testsite.RouterName(2)), testsite.KVAddress)
		rs.Configure(func(co *testsite.Configuration) {
			added := co.Routes[1]
			added.Name, added.Prefix = "r-new", "/new/"
			co.Routes[2] = added
		})
		rs.StartRouter(1)
		rs.Eventually(5*time.Second, "the cut router has the new route", func() bool {
			return do(rs, ask{router: 2, id: "n", path: "/new/x"}).status == http.StatusOK
		})
		qt.Assert(t, do(rs, ask{router: 2, id: "a", path: testsite.SafeRoute}).status, qt.Equals, http.StatusNotFound)
	})
}
