package router_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// smallServiceSite has eight routers before a service that gets few requests.
var smallServiceSite = testsite.RouterOptions{Routers: 8, Domains: 3, Plains: 3, Plain: standin.ReplicaOptions{Delay: 30 * time.Millisecond}}

// smallServicePause is the time between two requests of sendFew.
const smallServicePause = 60 * time.Millisecond

// sendFew sends requests to the routers in turn for the given time, two of three on a route whose
// requests may not be repeated. It does not wait for their answers in between.
func sendFew(rs *testsite.RouterSite, lasts time.Duration) {
	var wg sync.WaitGroup
	started := time.Now()
	for n := 0; time.Since(started) < lasts; n++ {
		path := testsite.UnsafeRoute
		if n%3 == 0 {
			path = testsite.SafeRoute
		}
		wg.Go(func() {
			do(rs, request{router: 1 + n%smallServiceSite.Routers, id: fmt.Sprintf("f%d-%d", started.UnixNano(), n), path: path})
		})
		time.Sleep(smallServicePause)
	}
	wg.Wait()
}

// rollOutSmall rolls out release v2, whose replicas have faults, of a service with few requests,
// and returns the state in which the roll-out ends.
func rollOutSmall(t *testing.T, limit time.Duration, fa standin.ReplicaFaults, during func(rs *testsite.RouterSite)) (state string) {
	t.Helper()
	withSite(t, smallServiceSite, func(t *testing.T, rs *testsite.RouterSite) {
		sendFew(rs, 2*time.Second)
		rs.OrderRollout(testsite.PlainService, "v2", limit)
		for n := 1; n <= smallServiceSite.Plains; n++ {
			rs.AddReplica(testsite.PlainService, n, "v2").SetFaults(fa)
		}
		if during != nil {
			go during(rs)
		}
		sendFew(rs, limit+time.Second)
		state = rs.RolloutState(testsite.PlainService)
	})
	return state
}

// TestReleaseThatFailsSomeRequestsIsNotCompletedOnFewAnswers guards against a bad release of a
// service with few requests that is completed because the few answers of its trial do not show
// that it is bad.
func TestReleaseThatFailsSomeRequestsIsNotCompletedOnFewAnswers(t *testing.T) {
	for _, limit := range []time.Duration{12 * time.Second, 16 * time.Second, 24 * time.Second} {
		for _, share := range []float64{0.2, 0.35} {
			t.Run(fmt.Sprint(limit, ", share ", share), func(t *testing.T) {
				qt.Check(t, rollOutSmall(t, limit, standin.ReplicaFaults{FailShare: share}, nil), qt.Equals, "rolled_back")
			})
		}
	}
}

// TestReleaseThatIsSlowIsNotCompletedOnFewAnswers is the same for answers that take far longer.
func TestReleaseThatIsSlowIsNotCompletedOnFewAnswers(t *testing.T) {
	qt.Check(t, rollOutSmall(t, 16*time.Second, standin.ReplicaFaults{Slowdown: 8, SlowShare: 0.35}, nil), qt.Equals, "rolled_back")
}

// TestReleaseThatTurnsBadLateIsNotCompleted has a release begin to fail while its promotion is
// under way or has just come into force.
func TestReleaseThatTurnsBadLateIsNotCompleted(t *testing.T) {
	for _, after := range []time.Duration{8 * time.Second, 10 * time.Second, 11 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			state := rollOutSmall(t, 16*time.Second, standin.ReplicaFaults{}, func(rs *testsite.RouterSite) {
				time.Sleep(after)
				for n := 1; n <= smallServiceSite.Plains; n++ {
					rs.Replicas[testsite.ReplicaID(testsite.PlainService, n, "v2")].SetFaults(standin.ReplicaFaults{FailShare: 0.8})
				}
			})
			qt.Check(t, state, qt.Equals, "rolled_back")
		})
	}
}

// TestGoodReleaseOfASmallServiceIsCompleted checks that few answers are enough for a good release,
// also if most routers restart during its trial.
func TestGoodReleaseOfASmallServiceIsCompleted(t *testing.T) {
	restart := func(rs *testsite.RouterSite) {
		time.Sleep(8 * time.Second)
		for n := 1; n <= 5; n++ {
			rs.KillRouter(n)
			rs.StartRouter(n)
		}
	}
	for name, during := range map[string]func(rs *testsite.RouterSite){"alone": nil, "five routers restart": restart} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, rollOutSmall(t, 16*time.Second, standin.ReplicaFaults{}, during), qt.Equals, "completed")
		})
	}
}
