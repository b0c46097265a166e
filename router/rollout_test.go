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

// rolloutLimit is the time that a roll-out is ordered to take at most.
const rolloutLimit = 24 * time.Second

// sendLoad sends safe requests one after the other, to the routers in turn, for the
// given time, and returns the number of answers by status.
func sendLoad(rs *testsite.RouterSite, lasts time.Duration, routers int) map[int]int {
	out := map[int]int{}
	started := time.Now()
	for n := 0; time.Since(started) < lasts; n++ {
		an := do(rs, request{router: 1 + n%routers, id: fmt.Sprintf("l%d-%d", started.UnixNano(), n), path: testsite.SafeRoute})
		out[an.status]++
		time.Sleep(10 * time.Millisecond)
	}
	return out
}

// countRuns returns how many requests the two plain replicas of a release ran.
func countRuns(rs *testsite.RouterSite, release string) int {
	sum := 0
	for n := 1; n <= 2; n++ {
		sum += len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, n, release)].Runs())
	}
	return sum
}

// addRelease starts two plain replicas of release v2 with faults.
func addRelease(rs *testsite.RouterSite, fa standin.ReplicaFaults) {
	for n := 1; n <= 2; n++ {
		rs.AddReplica(testsite.PlainService, n, "v2").SetFaults(fa)
	}
}

func TestGoodReleaseIsCompletedInTime(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		addRelease(rs, standin.ReplicaFaults{})
		ordered := time.Now()
		statuses := sendLoad(rs, rolloutLimit/2-time.Second, 3)
		all := statuses[http.StatusOK]
		qt.Assert(t, float64(countRuns(rs, "v2")) < 0.2*float64(all), qt.IsTrue, qt.Commentf("%d of %d", countRuns(rs, "v2"), all))
		for rs.RolloutState(testsite.PlainService) != "completed" && time.Since(ordered) < rolloutLimit {
			sendLoad(rs, 200*time.Millisecond, 3)
		}
		qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "completed")
		time.Sleep(time.Second)
		before := countRuns(rs, "v1")
		qt.Assert(t, sendLoad(rs, time.Second, 3)[http.StatusOK] > 50, qt.IsTrue)
		qt.Assert(t, countRuns(rs, "v1"), qt.Equals, before)
	})
}

// TestBadReleaseIsRolledBack checks that a failing release is rolled back soon,
// also when only one router reaches the store: each of three in turn, of which at
// least one is not a preferred router. Before, only the two preferred routers
// attempted the roll-back; when they were cut off from the store, the bad release
// stayed in use.
func TestBadReleaseIsRolledBack(t *testing.T) {
	for reaching := range 4 {
		t.Run(fmt.Sprint("store reached by all (0) or only router ", reaching), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 5, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
				addRelease(rs, standin.ReplicaFaults{Status: 500})
				time.Sleep(time.Second)
				for n := 1; n <= 5 && reaching > 0; n++ {
					if n != reaching {
						rs.Net.Cut(testsite.Host(testsite.RouterName(n)), testsite.KVAddress)
					}
				}
				statuses := sendLoad(rs, 8*time.Second, 5)
				qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "rolled_back")
				qt.Assert(t, countRuns(rs, "v2") < 50, qt.IsTrue, qt.Commentf("%d bad answers", countRuns(rs, "v2")))
				qt.Assert(t, statuses[http.StatusOK] > 500, qt.IsTrue)
				before := countRuns(rs, "v2")
				sendLoad(rs, time.Second, 5)
				qt.Assert(t, countRuns(rs, "v2"), qt.Equals, before)
			})
		})
	}
}

// TestElapsedTimeDoesNotCompleteRollout restarts every router late in a roll-out.
// The new processes have seen no answers of the release, and must not complete the
// roll-out because most of its time has passed.
func TestElapsedTimeDoesNotCompleteRollout(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		addRelease(rs, standin.ReplicaFaults{})
		time.Sleep(rolloutLimit * 9 / 10)
		for n := 1; n <= 2; n++ {
			rs.KillRouter(n)
			rs.StartRouter(n)
		}
		re := rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v2")]
		re.SetFaults(standin.ReplicaFaults{Status: 500})
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 2, "v2")].SetFaults(standin.ReplicaFaults{Status: 500})
		time.Sleep(time.Second)
		sendLoad(rs, 5*time.Second, 2)
		qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "rolled_back")
		qt.Assert(t, countRuns(rs, "v2") < 50, qt.IsTrue, qt.Commentf("%d bad answers", countRuns(rs, "v2")))
	})
}

// TestSessionsKeepTheirReleaseDuringTrial sends the requests of each session to the
// routers in turn, before and during a roll-out's trial, and checks that no session
// changes its release. Before, routers chose the release by the hash of the session
// alone, and moved sessions that had begun before the trial.
func TestSessionsKeepTheirReleaseDuringTrial(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 4, Engines: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		last := map[string]string{}
		moved, tried := 0, 0
		send := func(session string, n int) {
			id := fmt.Sprintf("%s-%d", session, n)
			do(rs, request{router: 1 + n%4, id: id, path: testsite.EngineRoute, header: map[string]string{"Session": session}})
			for _, ru := range runsOfRequest(rs, id) {
				release := "v1"
				if ru.Header.Get("Expect-Instance")[len("i-scribes-1-"):] == "v2" {
					release = "v2"
					tried++
				}
				if last[session] != "" && last[session] != release {
					moved++
				}
				last[session] = release
			}
		}
		for round := range 24 {
			if round == 2 {
				rs.OrderRollout(testsite.EngineService, "v2", 200*time.Second)
				rs.AddReplica(testsite.EngineService, 1, "v2")
				rs.AddReplica(testsite.EngineService, 2, "v2")
			}
			for n := range 30 {
				// Sessions start in different rounds and last four rounds each.
				send(fmt.Sprintf("s%d-%d", n, (round+n)/4), round)
			}
		}
		qt.Assert(t, tried > 5, qt.IsTrue, qt.Commentf("%d runs on the new release", tried))
		qt.Assert(t, moved, qt.Equals, 0)
	})
}

// TestRolloutStartIsRecordedOnce has so many routers that a change reaches their
// policies late. Two routers acted on policies without the start, by turns, and each
// replaced the start that the other one had recorded.
func TestRolloutStartIsRecordedOnce(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 40, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		addRelease(rs, standin.ReplicaFaults{})
		time.Sleep(rolloutLimit / 3)
		qt.Assert(t, rs.Store.Writes("tanager/rollout/"+testsite.PlainService), qt.Equals, 1)
	})
}

// TestSlowReleaseIsRolledBackInLargeGroup has half of the endpoints of a release answer
// eight times slower, and so many routers that each sees few answers of the trial. The
// roll-out is short, as on the day deploy/days/hasty.toml.
func TestSlowReleaseIsRolledBackInLargeGroup(t *testing.T) {
	checkSlowReleaseIsRolledBack(t, 3, standin.ReplicaFaults{Slowdown: 8})
}

// TestReleaseWithSlowStreamsIsRolledBackInLargeGroup has a release whose answers begin in time
// and go on three times slower. Before, only the time to the first token was compared, which
// varies with queues far more than the time between events does.
func TestReleaseWithSlowStreamsIsRolledBackInLargeGroup(t *testing.T) {
	checkSlowReleaseIsRolledBack(t, 6, standin.ReplicaFaults{GapFactor: 3})
}

// checkSlowReleaseIsRolledBack rolls out a release of which so many engines have faults.
func checkSlowReleaseIsRolledBack(t *testing.T, faulty int, fa standin.ReplicaFaults) {
	const routers, engines, limit = 40, 6, 15 * time.Second
	withSite(t, testsite.RouterOptions{Routers: routers, Engines: engines}, func(t *testing.T, rs *testsite.RouterSite) {
		sl := &sessionLoad{site: rs, routers: routers, callers: 40, requests: 4, pause: 200 * time.Millisecond}
		stop := sl.start()
		time.Sleep(2 * time.Second)
		rs.OrderRollout(testsite.EngineService, "v2", limit)
		addEngines(rs, engines)
		for n := 1; n <= faulty; n++ {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v2")].SetFaults(fa)
		}
		time.Sleep(limit + time.Second)
		stop()
		qt.Assert(t, rs.RolloutState(testsite.EngineService), qt.Equals, "rolled_back", qt.Commentf("%v", sl.runs))
	})
}
