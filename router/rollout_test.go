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

const rolloutLimit = 24 * time.Second

// load sends requests for a while, round the routers, and counts the statuses.
func load(rs *testsite.RouterSite, lasts time.Duration, routers int) map[int]int {
	out := map[int]int{}
	started := time.Now()
	for n := 0; time.Since(started) < lasts; n++ {
		an := do(rs, ask{router: 1 + n%routers, id: fmt.Sprintf("l%d-%d", started.UnixNano(), n), path: testsite.SafeRoute})
		out[an.status]++
		time.Sleep(10 * time.Millisecond)
	}
	return out
}

func runsOn(rs *testsite.RouterSite, release string) int {
	sum := 0
	for n := 1; n <= 2; n++ {
		sum += len(rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, n, release)].Runs())
	}
	return sum
}

func addRelease(rs *testsite.RouterSite, fa standin.ReplicaFaults) {
	for n := 1; n <= 2; n++ {
		rs.AddReplica(testsite.PlainGroup, n, "v2").Set(fa)
	}
}

func TestGoodReleaseIsCompletedInTime(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainGroup, "v2", rolloutLimit)
		addRelease(rs, standin.ReplicaFaults{})
		ordered := time.Now()
		statuses := load(rs, rolloutLimit/2-time.Second, 3)
		all := statuses[http.StatusOK]
		qt.Assert(t, float64(runsOn(rs, "v2")) < 0.2*float64(all), qt.IsTrue, qt.Commentf("%d of %d", runsOn(rs, "v2"), all))
		for rs.RolloutState(testsite.PlainGroup) != "completed" && time.Since(ordered) < rolloutLimit {
			load(rs, 200*time.Millisecond, 3)
		}
		qt.Assert(t, rs.RolloutState(testsite.PlainGroup), qt.Equals, "completed")
		time.Sleep(time.Second)
		before := runsOn(rs, "v1")
		qt.Assert(t, load(rs, time.Second, 3)[http.StatusOK] > 50, qt.IsTrue)
		qt.Assert(t, runsOn(rs, "v1"), qt.Equals, before)
	})
}

// TestBadReleaseIsRolledBack also holds when the routers that are first to try
// for the task cannot reach the store: EXPOSURE on versehall trouble-1.
func TestBadReleaseIsRolledBack(t *testing.T) {
	for cut := range 4 {
		t.Run(fmt.Sprint("without router ", cut), func(t *testing.T) {
			site(t, testsite.RouterOptions{Routers: 5, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.OrderRollout(testsite.PlainGroup, "v2", rolloutLimit)
				addRelease(rs, standin.ReplicaFaults{Status: 500})
				time.Sleep(time.Second)
				for n := 1; n <= 5 && cut > 0; n++ {
					if n != cut {
						rs.Net.Cut(testsite.Host(testsite.RouterName(n)), testsite.KVAddress)
					}
				}
				statuses := load(rs, 8*time.Second, 5)
				qt.Assert(t, rs.RolloutState(testsite.PlainGroup), qt.Equals, "rolled_back")
				qt.Assert(t, runsOn(rs, "v2") < 50, qt.IsTrue, qt.Commentf("%d bad answers", runsOn(rs, "v2")))
				qt.Assert(t, statuses[http.StatusOK] > 500, qt.IsTrue)
				before := runsOn(rs, "v2")
				load(rs, time.Second, 5)
				qt.Assert(t, runsOn(rs, "v2"), qt.Equals, before)
			})
		})
	}
}

// TestTimeAloneProvesNothing kills every router late in a roll-out: the new
// processes have seen nothing of the release, and must not complete it.
func TestTimeAloneProvesNothing(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.OrderRollout(testsite.PlainGroup, "v2", rolloutLimit)
		addRelease(rs, standin.ReplicaFaults{})
		time.Sleep(rolloutLimit * 9 / 10)
		for n := 1; n <= 2; n++ {
			rs.KillRouter(n)
			rs.StartRouter(n)
		}
		addRelease2 := rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 1, "v2")]
		addRelease2.Set(standin.ReplicaFaults{Status: 500})
		rs.Replicas[testsite.ReplicaID(testsite.PlainGroup, 2, "v2")].Set(standin.ReplicaFaults{Status: 500})
		time.Sleep(time.Second)
		load(rs, 5*time.Second, 2)
		qt.Assert(t, rs.RolloutState(testsite.PlainGroup), qt.Equals, "rolled_back")
		qt.Assert(t, runsOn(rs, "v2") < 50, qt.IsTrue, qt.Commentf("%d bad answers", runsOn(rs, "v2")))
	})
}

// TestSessionsStayThroughATrial sends each session's requests round the
// routers, before and during a trial: PINNED on versehall-grown quiet-1.
func TestSessionsStayThroughATrial(t *testing.T) {
	site(t, testsite.RouterOptions{Routers: 4, Engines: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		last := map[string]string{}
		moved, tried := 0, 0
		ask1 := func(session string, n int) {
			id := fmt.Sprintf("%s-%d", session, n)
			do(rs, ask{router: 1 + n%4, id: id, path: testsite.EngineRoute, header: map[string]string{"Session": session}})
			for _, ru := range runsOf(rs, id) {
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
				rs.OrderRollout(testsite.EngineGroup, "v2", 200*time.Second)
				rs.AddReplica(testsite.EngineGroup, 1, "v2")
				rs.AddReplica(testsite.EngineGroup, 2, "v2")
			}
			for n := range 30 {
				// Sessions start one after the other, and last four rounds.
				ask1(fmt.Sprintf("s%d-%d", n, (round+n)/4), round)
			}
		}
		qt.Assert(t, tried > 5, qt.IsTrue, qt.Commentf("%d runs on trial", tried))
		qt.Assert(t, moved, qt.Equals, 0)
	})
}
