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
	"tanagerpoint.example/tanager/worker"
)

// addPlainRelease starts two plain replicas of a release with faults.
func addPlainRelease(rs *testsite.RouterSite, release string, fa standin.ReplicaFaults) {
	for n := 1; n <= 2; n++ {
		rs.AddReplica(testsite.PlainService, n, release).SetFaults(fa)
	}
}

// rollBack orders a failing release sends load until it is rolled back, and restarts the routers.
func rollBack(t *testing.T, rs *testsite.RouterSite, release string, routers int) {
	rs.OrderRollout(testsite.PlainService, release, rolloutLimit)
	addPlainRelease(rs, release, standin.ReplicaFaults{Status: 500})
	reported := fmt.Sprintf(`{"state":"rolled_back","target":%q}`, release)
	for started := time.Now(); string(rs.Store.Value("status/rollout/"+testsite.PlainService)) != reported; {
		qt.Assert(t, time.Since(started) < rolloutLimit, qt.IsTrue)
		sendLoad(rs, 200*time.Millisecond, routers)
	}
	// Its replicas are sound from here on, and no router has seen their failures, so that only
	// the roll-back keeps requests from them.
	for n := 1; n <= 2; n++ {
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, n, release)].SetFaults(standin.ReplicaFaults{})
	}
	restartAll(rs, routers)
	rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
}

// sendParallelLoad sends sendLoad's requests from several callers at a time.
func sendParallelLoad(rs *testsite.RouterSite, lasts time.Duration, routers int) map[int]int {
	const callers = 8
	var mu sync.Mutex
	out := map[int]int{}
	gr := worker.NewGroup()
	for n := range callers {
		gr.Go(func(ctx context.Context) {
			// The ids of the requests hold the time at which the load starts.
			worker.Sleep(ctx, time.Duration(n+1)*time.Millisecond)
			statuses := sendLoad(rs, lasts, routers)
			mu.Lock()
			defer mu.Unlock()
			for status, count := range statuses {
				out[status] += count
			}
		})
	}
	gr.Wait()
	return out
}

// checkOnlyReleaseInUse sends load and checks that the release in use serves it, and that the
// withdrawn ones, which have not left yet, get nothing of it.
func checkOnlyReleaseInUse(t *testing.T, rs *testsite.RouterSite, routers int, inUse string, withdrawn ...string) {
	t.Helper()
	served, before := countRuns(rs, inUse), map[string]int{}
	for _, re := range withdrawn {
		before[re] = countRuns(rs, re)
	}
	statuses := sendParallelLoad(rs, 3*time.Second, routers)
	for _, re := range withdrawn {
		qt.Check(t, countRuns(rs, re)-before[re], qt.Equals, 0, qt.Commentf("requests to %s, statuses %v", re, statuses))
	}
	qt.Check(t, countRuns(rs, inUse)-served > 50, qt.IsTrue, qt.Commentf("%v", statuses))
	qt.Check(t, len(statuses), qt.Equals, 1, qt.Commentf("%v", statuses))
	qt.Check(t, statuses[http.StatusOK] > 50, qt.IsTrue)
}

// TestRolledBackReleaseGetsNothingAfterTheNextOrder orders releases after others were rolled back
// whose replicas have not left yet. Routers took all replicas but the new candidate's for the
// release in use, and sent the rolled-back release's a share of all requests.
func TestRolledBackReleaseGetsNothingAfterTheNextOrder(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rollBack(t, rs, "v2", routers)
		rollBack(t, rs, "v3", routers)
		rs.OrderRollout(testsite.PlainService, "v4", rolloutLimit)
		checkOnlyReleaseInUse(t, rs, routers, "v1", "v2", "v3")
	})
}

// TestReleaseInUseIsKnownAfterARestartInTheRollout restarts every router after the next order: the
// store has to hold which release is in use.
func TestReleaseInUseIsKnownAfterARestartInTheRollout(t *testing.T) {
	const routers = 2
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rollBack(t, rs, "v2", routers)
		rs.OrderRollout(testsite.PlainService, "v3", 10*rolloutLimit)
		sendLoad(rs, 2*time.Second, routers)
		restartAll(rs, routers)
		rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
		checkOnlyReleaseInUse(t, rs, routers, "v1", "v2")
	})
}

// TestReleaseOfAReplacedOrderGetsNothing orders a release before the roll-out of another one has
// ended, and once more before its start is recorded.
func TestReleaseOfAReplacedOrderGetsNothing(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		addPlainRelease(rs, "v2", standin.ReplicaFaults{})
		sendLoad(rs, 4*time.Second, routers)
		rs.OrderRollout(testsite.PlainService, "v3", rolloutLimit)
		addPlainRelease(rs, "v3", standin.ReplicaFaults{})
		rs.OrderRollout(testsite.PlainService, "v4", rolloutLimit)
		sendLoad(rs, time.Second, routers)
		checkOnlyReleaseInUse(t, rs, routers, "v1", "v2", "v3")
		rs.KillRouter(1)
		rs.StartRouter(1)
		rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
		checkOnlyReleaseInUse(t, rs, routers, "v1", "v2", "v3")
	})
}

// TestReleaseInUseOutlivesARestoreOfTheStore restores the store from a copy of before the second
// order, and of before the first. The routers write again what the store has lost, so that it holds
// also for those that start later.
func TestReleaseInUseOutlivesARestoreOfTheStore(t *testing.T) {
	const routers = 3
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint("copy of before the first order: ", first), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				co := rs.Store.Copy()
				rollBack(t, rs, "v2", routers)
				if !first {
					co = rs.Store.Copy()
				}
				rs.OrderRollout(testsite.PlainService, "v3", 10*rolloutLimit)
				sendLoad(rs, 2*time.Second, routers)
				rs.RestoreStore(co, 200*time.Millisecond)
				sendLoad(rs, rewriteDelay, routers)
				rs.Store.WriteAgain()
				sendLoad(rs, 8*time.Second, routers)
				restartAll(rs, routers)
				rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
				checkOnlyReleaseInUse(t, rs, routers, "v1", "v2")
			})
		})
	}
}

// TestCompletedReleaseIsInUseAtTheNextOrder orders a further release after one was completed, while
// replicas of the one before it are still registered.
func TestCompletedReleaseIsInUseAtTheNextOrder(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		addPlainRelease(rs, "v2", standin.ReplicaFaults{})
		for started := time.Now(); rs.RolloutState(testsite.PlainService) != "completed" && time.Since(started) < rolloutLimit; {
			sendLoad(rs, 200*time.Millisecond, routers)
		}
		qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "completed")
		sendLoad(rs, time.Second, routers)
		rs.OrderRollout(testsite.PlainService, "v3", 10*rolloutLimit)
		checkOnlyReleaseInUse(t, rs, routers, "v2", "v1")
		rs.AddReplica(testsite.PlainService, 3, "v2")
		time.Sleep(applyLimit)
		rs.Register(testsite.PlainService, 1, "v2", "draining")
		rs.Register(testsite.PlainService, 2, "v2", "draining")
		time.Sleep(applyLimit)
		before := countRuns(rs, "v1")
		statuses := sendParallelLoad(rs, time.Second, routers)
		qt.Check(t, countRuns(rs, "v1"), qt.Equals, before)
		added := len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 3, "v2")].Runs())
		qt.Check(t, added, qt.Equals, statuses[http.StatusOK], qt.Commentf("%v", statuses))
	})
}

// TestSessionsDoNotMoveToARolledBackRelease has sessions run on while a release is rolled back and
// the next one is ordered: no session may move to another release, and none may run on the one that
// was rolled back.
func TestSessionsDoNotMoveToARolledBackRelease(t *testing.T) {
	const routers, engines = 4, 3
	withSite(t, testsite.RouterOptions{Routers: routers, Engines: engines}, func(t *testing.T, rs *testsite.RouterSite) {
		sl := &sessionLoad{site: rs, routers: routers, callers: 40, requests: 8, pause: 200 * time.Millisecond}
		stop := sl.start()
		rs.OrderRollout(testsite.EngineService, "v2", rolloutLimit)
		addEngines(rs, engines)
		for n := 1; n <= engines; n++ {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v2")].SetFaults(standin.ReplicaFaults{Status: 500})
		}
		rs.Eventually(rolloutLimit, "v2 is rolled back", func() bool { return rs.RolloutState(testsite.EngineService) == "rolled_back" })
		for n := 1; n <= engines; n++ {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v2")].SetFaults(standin.ReplicaFaults{})
		}
		time.Sleep(time.Second)
		stop()
		stop = sl.start()
		time.Sleep(time.Second)
		rs.OrderRollout(testsite.EngineService, "v3", rolloutLimit)
		time.Sleep(4 * time.Second)
		stop()
		qt.Check(t, sl.runs["v2"], qt.Equals, 0, qt.Commentf("%v", sl.runs))
		qt.Check(t, sl.moves, qt.HasLen, 0)
		qt.Check(t, sl.runs["v1"] > 100, qt.IsTrue, qt.Commentf("%v", sl.runs))
	})
}
