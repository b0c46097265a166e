package router_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// rewriteDelay is how long after a restore of the store the operator and the replicas
// write again what they had written.
const rewriteDelay = 500 * time.Millisecond

// lostChanges is a number of changes that a restore undoes and that are made anew as one,
// so that the store's revision stays below the one before.
const lostChanges = 20

// withRoutes returns a change of the configuration that adds safe routes with these path
// prefixes.
func withRoutes(prefixes ...string) func(co *testsite.Configuration) {
	return func(co *testsite.Configuration) {
		for _, prefix := range prefixes {
			rt := co.Routes[2]
			rt.Name, rt.Prefix = "r-"+prefix[1:len(prefix)-1], prefix
			co.Routes = append(co.Routes, rt)
		}
	}
}

// statuses sends one request to each router and returns the statuses of the answers.
func statuses(rs *testsite.RouterSite, routers int, path, key string) []int {
	var out []int
	for n := 1; n <= routers; n++ {
		out = append(out, do(rs, request{router: n, id: fmt.Sprintf("s%d-%d", time.Now().UnixNano(), n), path: path, key: key}).status)
	}
	return out
}

// all returns n times the same status.
func all(n, status int) []int { return slices.Repeat([]int{status}, n) }

// TestChangeAckedBeforeARestoreStaysInForce restores the store from a copy that lacks a new
// route and the revocation of a key. The routers took the copy's configuration, or ignored
// what the operator wrote after the restore.
func TestChangeAckedBeforeARestoreStaysInForce(t *testing.T) {
	const routers = 3
	for _, age := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
		for _, away := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprint("copy ", age, " old, ", away, " away"), func(t *testing.T) {
				withSite(t, testsite.RouterOptions{Routers: routers, Plains: 3}, func(t *testing.T, rs *testsite.RouterSite) {
					co := rs.Store.Copy()
					for n := range lostChanges {
						rs.Configure(func(co *testsite.Configuration) { withRoutes("/added/", fmt.Sprintf("/n%d/", n))(co); newKeyOnly(co) })
					}
					time.Sleep(age)
					inForce := func(when string) {
						qt.Assert(t, statuses(rs, routers, "/added/", "new-key"), qt.DeepEquals, all(routers, http.StatusOK), qt.Commentf(when))
						qt.Assert(t, statuses(rs, routers, testsite.SafeRoute, ""), qt.DeepEquals, all(routers, http.StatusUnauthorized), qt.Commentf(when))
					}
					inForce("before")
					rs.RestoreStore(co, away)
					for range 10 {
						inForce("after the restore")
						time.Sleep(rewriteDelay / 10)
					}
					rs.Store.WriteAgain()
					for range 10 {
						inForce("after the operator wrote it again")
						time.Sleep(100 * time.Millisecond)
					}
					rs.Configure(func(co *testsite.Configuration) { withRoutes("/added/", "/later/")(co); newKeyOnly(co) })
					time.Sleep(applyLimit)
					inForce("after the next change")
					qt.Assert(t, statuses(rs, routers, "/later/", "new-key"), qt.DeepEquals, all(routers, http.StatusOK))
					rs.Configure(newKeyOnly)
					time.Sleep(applyLimit)
					qt.Assert(t, statuses(rs, routers, "/added/", "new-key"), qt.DeepEquals, all(routers, http.StatusNotFound))
				})
			})
		}
	}
}

// TestChangeAckedBeforeARestoreIsKeptWithoutTheOperator never writes the change again. It
// stays in force as long as one router that knew it lives, also at routers that start anew
// or were cut off from the store when the change was made.
func TestChangeAckedBeforeARestoreIsKeptWithoutTheOperator(t *testing.T) {
	const routers = 4
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		co := rs.Store.Copy()
		time.Sleep(2 * time.Second)
		late := testsite.Host(testsite.RouterName(4))
		rs.Net.Cut(late, testsite.KVAddress)
		for n := 1; n < routers; n++ {
			rs.Net.Cut(late, testsite.RouterAddress(n, 83))
			rs.Net.Cut(testsite.Host(testsite.RouterName(n)), testsite.RouterAddress(4, 83))
		}
		rs.Configure(withRoutes("/added/"))
		time.Sleep(applyLimit)
		qt.Assert(t, statuses(rs, routers, "/added/", ""), qt.DeepEquals, []int{200, 200, 200, 404})
		rs.RestoreStore(co, 500*time.Millisecond)
		rs.KillRouter(3)
		rs.StartRouter(3)
		time.Sleep(time.Second)
		rs.Net.Restore(late, testsite.KVAddress)
		time.Sleep(time.Second)
		for n := 1; n < routers; n++ {
			rs.Net.Restore(late, testsite.RouterAddress(n, 83))
			rs.Net.Restore(testsite.Host(testsite.RouterName(n)), testsite.RouterAddress(4, 83))
		}
		time.Sleep(2 * recoveryLimit)
		qt.Assert(t, statuses(rs, routers, "/added/", ""), qt.DeepEquals, all(routers, http.StatusOK))
		qt.Assert(t, statuses(rs, routers, testsite.SafeRoute, ""), qt.DeepEquals, all(routers, http.StatusOK))
	})
}

// TestSecondRestoreIsNoticed restores the store twice within a second, each time with
// another change lost, and then from a copy of two eras before.
func TestSecondRestoreIsNoticed(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		first := rs.Store.Copy()
		rs.Configure(withRoutes("/one/"))
		second := rs.Store.Copy()
		rs.Configure(withRoutes("/one/", "/two/"))
		time.Sleep(applyLimit)
		rs.RestoreStore(second, 200*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		rs.RestoreStore(first, 200*time.Millisecond)
		time.Sleep(time.Second)
		for _, path := range []string{"/one/", "/two/", testsite.SafeRoute} {
			qt.Assert(t, statuses(rs, routers, path, ""), qt.DeepEquals, all(routers, http.StatusOK), qt.Commentf(path))
		}
		rs.Store.Restore(first)
		rs.Store.Restore(first)
		rs.Configure(withRoutes("/one/", "/two/", "/three/"))
		time.Sleep(applyLimit)
		for _, path := range []string{"/one/", "/two/", "/three/"} {
			qt.Assert(t, statuses(rs, routers, path, ""), qt.DeepEquals, all(routers, http.StatusOK), qt.Commentf(path))
		}
	})
}

// TestReplicaThatLeftStaysOutAfterARestore restores the store from a copy in which a
// replica that drains and one that has left are ready. They are used again only if they
// start anew.
func TestReplicaThatLeftStaysOutAfterARestore(t *testing.T) {
	const routers = 2
	busy := standin.ReplicaOptions{Delay: 20 * time.Millisecond}
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 3, Plain: busy}, func(t *testing.T, rs *testsite.RouterSite) {
		load := func(name string, lasts time.Duration) {
			for started := time.Now(); time.Since(started) < lasts; {
				sendConcurrently(t, rs, fmt.Sprint(name, time.Since(started)))
			}
		}
		runs := func(n int) int {
			return len(rs.Replicas[testsite.ReplicaID(testsite.PlainService, n, "v1")].Runs())
		}
		load("all", time.Second)
		qt.Assert(t, runs(1) > 0 && runs(2) > 0 && runs(3) > 0, qt.IsTrue)
		co := rs.Store.Copy()
		rs.Register(testsite.PlainService, 1, "v1", "draining")
		rs.Unregister(testsite.PlainService, 2, "v1")
		time.Sleep(applyLimit)
		before := []int{runs(1), runs(2)}
		// What is known of their leaving outlives a restore that does not touch it.
		rs.RestoreStore(rs.Store.Copy(), 200*time.Millisecond)
		time.Sleep(applyLimit)
		rs.RestoreStore(co, time.Second)
		load("restored", applyLimit)
		rs.Store.WriteAgain()
		load("written again", applyLimit)
		qt.Assert(t, []int{runs(1), runs(2)}, qt.DeepEquals, before)
		rs.CrashReplica(testsite.PlainService, 1, "v1")
		time.Sleep(recoveryLimit + applyLimit)
		load("started anew", applyLimit)
		qt.Assert(t, runs(1) > before[0], qt.IsTrue)
		qt.Assert(t, runs(2), qt.Equals, before[1])
	})
}

// TestReplicaThatStartedIsUsedAfterARestore restores the store from a copy without the
// newest replicas. They are used until they have registered again, and then on.
func TestReplicaThatStartedIsUsedAfterARestore(t *testing.T) {
	const routers = 2
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		co := rs.Store.Copy()
		rs.AddReplica(testsite.PlainService, 2, "v1")
		rs.Unregister(testsite.PlainService, 1, "v1")
		time.Sleep(applyLimit)
		rs.RestoreStore(co, time.Second)
		qt.Assert(t, sendLoad(rs, rewriteDelay, routers)[http.StatusServiceUnavailable], qt.Equals, 0)
		rs.Store.WriteAgain()
		qt.Assert(t, sendLoad(rs, 2*applyLimit, routers)[http.StatusServiceUnavailable], qt.Equals, 0)
	})
}

// TestRolloutKeepsItsStateOverARestore restores the store from a copy taken before a
// roll-out was ordered, or while it ran. Its state in the store was gone or went back.
func TestRolloutKeepsItsStateOverARestore(t *testing.T) {
	for _, cs := range []struct {
		name    string
		routers int
		bad     bool
		final   string
	}{
		{"completed", 3, false, "completed"}, {"rolled back", 3, true, "rolled_back"},
		{"completed, one router", 1, false, "completed"}, {"rolled back, one router", 1, true, "rolled_back"},
	} {
		routers := cs.routers
		for _, copied := range []string{"before the order", "while it runs"} {
			t.Run(cs.name+", copy "+copied, func(t *testing.T) {
				withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
					co := rs.Store.Copy()
					rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
					ordered := time.Now()
					fa := standin.ReplicaFaults{}
					if cs.bad {
						fa.Status = http.StatusInternalServerError
					}
					rs.Eventually(5*time.Second, "it runs", func() bool { return rs.RolloutState(testsite.PlainService) == "running" })
					if copied == "while it runs" {
						co = rs.Store.Copy()
					}
					addRelease(rs, fa)
					for rs.RolloutState(testsite.PlainService) != cs.final && time.Since(ordered) < rolloutLimit {
						sendLoad(rs, 200*time.Millisecond, routers)
					}
					qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, cs.final)
					sendLoad(rs, applyLimit, routers)
					v1, v2 := countRuns(rs, "v1"), countRuns(rs, "v2")
					rs.RestoreStore(co, 500*time.Millisecond)
					sendLoad(rs, rewriteDelay, routers)
					rs.Store.WriteAgain()
					rs.Eventually(applyLimit, "the store has the state again", func() bool { return rs.RolloutState(testsite.PlainService) == cs.final })
					sendLoad(rs, 10*time.Second, routers)
					qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, cs.final)
					if cs.bad {
						qt.Assert(t, countRuns(rs, "v2"), qt.Equals, v2)
					} else {
						qt.Assert(t, countRuns(rs, "v1"), qt.Equals, v1)
					}
				})
			})
		}
	}
}

// TestLeaseInTheCopyDoesNotDelayARollout restores the store from a copy that was taken while a
// router held the lease of a roll-out's task. The lease, which nobody holds any more, begins anew
// with the copy, and kept the routers from writing the roll-out's state again until it ended.
func TestLeaseInTheCopyDoesNotDelayARollout(t *testing.T) {
	const routers = 3
	withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		// A router takes as long to give a lease up as the store to answer.
		rs.Store.SetFaults(standin.Faults{DelayMS: 40})
		rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
		rs.Eventually(5*time.Second, "it runs", func() bool { return rs.RolloutState(testsite.PlainService) == "running" })
		co := rs.Store.Copy()
		rs.Store.SetFaults(standin.Faults{})
		addRelease(rs, standin.ReplicaFaults{})
		for ordered := time.Now(); rs.RolloutState(testsite.PlainService) != "completed" && time.Since(ordered) < rolloutLimit; {
			sendLoad(rs, 200*time.Millisecond, routers)
		}
		sendLoad(rs, applyLimit, routers)
		rs.RestoreStore(co, 500*time.Millisecond)
		sendLoad(rs, rewriteDelay, routers)
		rs.Store.WriteAgain()
		rs.Eventually(applyLimit, "the store has the state again", func() bool { return rs.RolloutState(testsite.PlainService) == "completed" })
	})
}

// TestPromotedReleaseStaysPromotedOverARestore restores the store, from a copy taken during
// a roll-out's trial or before its order, after its release was promoted. Sessions went back.
func TestPromotedReleaseStaysPromotedOverARestore(t *testing.T) {
	const routers, duration = 3, 40 * time.Second
	for _, copied := range []string{"before the order", "during the trial"} {
		t.Run("copy "+copied, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				co := rs.Store.Copy()
				rs.OrderRollout(testsite.PlainService, "v2", duration)
				ordered := time.Now()
				addRelease(rs, standin.ReplicaFaults{})
				sendLoad(rs, 10*time.Second, routers)
				if copied == "during the trial" {
					co = rs.Store.Copy()
				}
				lastV1 := -1
				for countRuns(rs, "v1") != lastV1 && time.Since(ordered) < duration {
					lastV1 = countRuns(rs, "v1")
					sendLoad(rs, time.Second, routers)
				}
				rs.RestoreStore(co, 500*time.Millisecond)
				sendLoad(rs, rewriteDelay, routers)
				rs.Store.WriteAgain()
				for rs.RolloutState(testsite.PlainService) != "completed" && time.Since(ordered) < duration {
					sendLoad(rs, 200*time.Millisecond, routers)
				}
				qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "completed")
				qt.Assert(t, countRuns(rs, "v1"), qt.Equals, lastV1)
			})
		})
	}
}

// TestQuarantineOutlivesARestore restores the store from a copy taken before a prompt part
// was quarantined, and then replaces every router. The part had to crash endpoints anew.
func TestQuarantineOutlivesARestore(t *testing.T) {
	const routers = 4
	withSite(t, testsite.RouterOptions{Routers: routers, Engines: 9, Engine: streamingEngine}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{CrashPart: crashingPart})
		load := &promptLoad{site: rs, routers: routers, callers: 10, pause: 100 * time.Millisecond, crashEvery: 300 * time.Millisecond}
		co := rs.Store.Copy()
		defer load.start()()
		key := "tanager/quarantine/" + string(policy.QuarantineIDOf(policy.Subject{Part: crashingPart}))
		rs.Eventually(20*time.Second, "the part is quarantined", func() bool { return rs.Store.Value(key) != nil })
		time.Sleep(2 * time.Second)
		before := len(crashTimes(rs))
		rs.RestoreStore(co, time.Second)
		rs.Eventually(applyLimit, "the store has the quarantine again", func() bool { return rs.Store.Value(key) != nil })
		time.Sleep(2 * time.Second)
		restartAll(rs, routers)
		rs.Eventually(recoveryLimit, "all serve again", rs.AllReady)
		time.Sleep(5 * time.Second)
		qt.Assert(t, len(crashTimes(rs))-before <= 1, qt.IsTrue, qt.Commentf("%d crashes since, want a probe's at most", len(crashTimes(rs))-before))
	})
}
