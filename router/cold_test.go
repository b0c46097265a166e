package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

const (
	// coldPerSecond is the number of requests a second that a cold replica bears.
	coldPerSecond = 3.0
	coldFor       = 6 * time.Second
	// coldBeat is how often a replica writes its registration.
	coldBeat = 1200 * time.Millisecond
)

var coldSite = testsite.RouterOptions{Routers: 8, Engines: 6}

// withColdSite runs fn on a site under load, after it has settled.
func withColdSite(t *testing.T, fn func(t *testing.T, rs *testsite.RouterSite)) {
	withSite(t, coldSite, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) { co.Services[0].ColdPerS = coldPerSecond })
		load := &promptLoad{site: rs, routers: coldSite.Routers, callers: 60, pause: 150 * time.Millisecond}
		defer load.start()()
		time.Sleep(6 * time.Second)
		fn(t, rs)
	})
}

// becomeCold makes an engine cold for coldFor and blocks until then. Each beat tells how much of it
// is left.
func becomeCold(rs *testsite.RouterSite, n int) (from, until time.Time) {
	from, until = time.Now(), time.Now().Add(coldFor)
	for ; time.Now().Before(until); time.Sleep(min(coldBeat, time.Until(until))) {
		rs.RegisterCold(testsite.EngineService, n, "v1", time.Until(until))
	}
	rs.Register(testsite.EngineService, n, "v1", "ready")
	return from, until
}

// checkCold checks that an engine got in any second within a span no more than a cold one bears.
func checkCold(t *testing.T, rs *testsite.RouterSite, n int, from, to time.Time) {
	t.Helper()
	most, ats := 0, runsBetween(rs, n, from, to)
	for i, at := range ats {
		end := slices.IndexFunc(ats, func(other time.Time) bool { return !other.Before(at.Add(time.Second)) })
		if end < 0 {
			end = len(ats)
		}
		most = max(most, end-i)
	}
	allowed := testsite.MaxColdRequests(coldPerSecond)
	t.Logf("engine %d: %d requests in %v, most in a second %d, allowed %.1f", n, len(ats), to.Sub(from), most, allowed)
	qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("engine %d: %d in a second", n, most))
}

// restartCold restarts an engine, which is cold then.
func restartCold(rs *testsite.RouterSite, n int) (from, until time.Time) {
	rs.Unregister(testsite.EngineService, n, "v1")
	time.Sleep(2 * time.Second)
	return becomeCold(rs, n)
}

// TestColdEndpointGetsNoMoreThanItBears has an engine come back cold: it had no requests, so that
// all routers preferred it. It must be used, and fully once it is warm.
func TestColdEndpointGetsNoMoreThanItBears(t *testing.T) {
	withColdSite(t, func(t *testing.T, rs *testsite.RouterSite) {
		from, until := restartCold(rs, 1)
		checkCold(t, rs, 1, from, until)
		qt.Check(t, float64(len(runsBetween(rs, 1, from, until))) >= 0.4*coldPerSecond*coldFor.Seconds(), qt.IsTrue)
		time.Sleep(5 * time.Second)
		warm := len(runsBetween(rs, 1, until.Add(3*time.Second), until.Add(5*time.Second)))
		qt.Check(t, float64(warm) > 2*2*coldPerSecond, qt.IsTrue, qt.Commentf("%d requests in 2 s", warm))
	})
}

// TestEndpointMayBecomeColdAgain has engines say without a restart that they are cold, in a
// registration or in answers.
func TestEndpointMayBecomeColdAgain(t *testing.T) {
	withColdSite(t, func(t *testing.T, rs *testsite.RouterSite) {
		from, until := becomeCold(rs, 2)
		checkCold(t, rs, 2, from.Add(contactLimit), until)
		time.Sleep(5 * time.Second)
		re := rs.Replicas[testsite.ReplicaID(testsite.EngineService, 3, "v1")]
		re.SetFaults(standin.ReplicaFaults{ColdRemaining: "4000"})
		from = time.Now()
		time.Sleep(10 * time.Second)
		checkCold(t, rs, 3, from.Add(contactLimit), time.Now())
		re.SetFaults(standin.ReplicaFaults{ColdRemaining: "0"})
		time.Sleep(7 * time.Second)
		from = time.Now()
		time.Sleep(2 * time.Second)
		qt.Check(t, float64(len(runsBetween(rs, 3, from, time.Now()))) > 2*2*coldPerSecond, qt.IsTrue)
	})
}

// TestColdRateHoldsForRoutersThatKnowNoOthers restarts all routers at once while engines are cold,
// and cuts one off from its peers.
func TestColdRateHoldsForRoutersThatKnowNoOthers(t *testing.T) {
	for _, fault := range []string{"all start at once", "some are cut from their peers"} {
		t.Run(fault, func(t *testing.T) {
			withColdSite(t, func(t *testing.T, rs *testsite.RouterSite) {
				if fault == "all start at once" {
					restartAll(rs, coldSite.Routers)
					rs.Eventually(5*time.Second, "all serve again", rs.AllReady)
				} else {
					for _, n := range []int{7, 8} {
						for other := 1; other <= coldSite.Routers; other++ {
							if other != n {
								rs.Net.Cut(testsite.Host(testsite.RouterName(n)), testsite.RouterAddress(other, 83))
								rs.Net.Cut(testsite.Host(testsite.RouterName(other)), testsite.RouterAddress(n, 83))
							}
						}
					}
					time.Sleep(6 * time.Second)
				}
				from, until := restartCold(rs, 1)
				checkCold(t, rs, 1, from, until)
				qt.Check(t, len(runsBetween(rs, 1, from, until.Add(3*time.Second))) > 0, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(fault)))
			})
		})
	}
}
