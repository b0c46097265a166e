package router_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

const (
	// shortRun is how long a replica of these tests takes for a request, and shortTarget the
	// latency target of their routes.
	shortRun    = 100 * time.Millisecond
	shortTarget = 2000 * time.Millisecond
	// maxOverrun is the number of requests that replicas refuse for want of room, for each one
	// that they answer, at most: while the choice of a replica goes by loads half a second old,
	// some meet at the one that looked best.
	maxOverrun = 0.6
)

// withShortSite runs a site with two routers and two plain replicas of four slots. Requests to
// SafeRoute are more urgent than those to UnsafeRoute.
func withShortSite(t *testing.T, fn func(t *testing.T, rs *testsite.RouterSite)) {
	t.Helper()
	opt := testsite.RouterOptions{Routers: 2, Plains: 2, Plain: standin.ReplicaOptions{Delay: shortRun, Slots: 4, ReportedSlots: 4, Queue: 64}}
	withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			for n := range co.Routes {
				co.Routes[n].TargetLatencyMS, co.Routes[n].TimeoutMS = shortTarget.Milliseconds(), 5000
				if co.Routes[n].Prefix == testsite.SafeRoute {
					co.Routes[n].Priority = 0
				}
			}
		})
		time.Sleep(3 * time.Second)
		fn(t, rs)
	})
}

// shortCapacity is how many requests in a second the replicas answer.
const shortCapacity = 2 * 4 * int(time.Second/shortRun)

// TestUrgentRequestsAreServedInABurstOfLessUrgentOnes asks for twice what there is room for, a
// quarter of it urgent.
func TestUrgentRequestsAreServedInABurstOfLessUrgentOnes(t *testing.T) {
	withShortSite(t, func(t *testing.T, rs *testsite.RouterSite) {
		urgent := &openLoad{site: rs, routers: 2, perSecond: 0.5 * float64(shortCapacity), path: testsite.SafeRoute + "u"}
		burst := &openLoad{site: rs, routers: 2, perSecond: 1.5 * float64(shortCapacity), path: testsite.UnsafeRoute + "b"}
		stopUrgent, stopBurst := urgent.start(), burst.start()
		began := time.Now()
		time.Sleep(6 * time.Second)
		stopUrgent()
		stopBurst()
		from, to := began.Add(2*time.Second), began.Add(5*time.Second)
		asked, served := urgent.between(from, to)
		askedBurst, servedBurst := burst.between(from, to)
		t.Logf("urgent: %d of %d, others: %d of %d", served, asked, servedBurst, askedBurst)
		qt.Check(t, float64(served) >= 0.95*float64(asked), qt.IsTrue)
		qt.Check(t, float64(served+servedBurst) >= usedRoom*3*float64(shortCapacity), qt.IsTrue)
		qt.Check(t, float64(servedBurst) >= 0.1*float64(askedBurst), qt.IsTrue)
	})
}

// TestNobodyWaitsForEndpointsThatVanished has all replicas of a service crash under a queue. Nobody
// is held for longer than requests wait for a place, and the queue is empty afterwards.
func TestNobodyWaitsForEndpointsThatVanished(t *testing.T) {
	withShortSite(t, func(t *testing.T, rs *testsite.RouterSite) {
		load := &openLoad{site: rs, routers: 2, perSecond: 2 * float64(shortCapacity), path: testsite.UnsafeRoute + "b"}
		stop := load.start()
		time.Sleep(3 * time.Second)
		for n := 1; n <= 2; n++ {
			rs.CrashReplica(testsite.PlainService, n, "v1")
		}
		vanished := time.Now()
		time.Sleep(2 * time.Second)
		stop()
		checked := 0
		load.mu.Lock()
		for _, re := range load.done {
			if re.at.After(vanished.Add(500*time.Millisecond)) && re.status != 0 {
				checked++
				qt.Check(t, re.took < shortTarget/4, qt.IsTrue, qt.Commentf("%d after %s", re.status, re.took))
			}
		}
		load.mu.Unlock()
		qt.Check(t, checked > 0, qt.IsTrue)
		checkQueuesEmpty(t, rs)
	})
}

// TestCallersThatLeaveTheQueueTakeNoPlace has callers give up while they wait.
func TestCallersThatLeaveTheQueueTakeNoPlace(t *testing.T) {
	withShortSite(t, func(t *testing.T, rs *testsite.RouterSite) {
		gr := worker.NewGroup()
		for n := range 120 {
			gr.Go(func(context.Context) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+n)*time.Millisecond)
				defer cancel()
				do(rs, request{router: 1 + n%2, id: fmt.Sprint("left-", n), path: testsite.SafeRoute + "x", ctx: ctx})
			})
		}
		gr.Wait()
		time.Sleep(time.Second)
		checkQueuesEmpty(t, rs)
		an := do(rs, request{router: 1, id: "after", path: testsite.SafeRoute + "x", ctx: t.Context()})
		qt.Assert(t, an.err, qt.IsNil)
		qt.Check(t, an.status, qt.Equals, http.StatusOK)
	})
}

func checkQueuesEmpty(t *testing.T, rs *testsite.RouterSite) {
	t.Helper()
	for _, ro := range rs.Routers {
		st, ok := ro.Dump().(router.State)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, st.Relay.Queues, qt.HasLen, 0)
		qt.Check(t, st.InFlight, qt.Equals, int64(0))
	}
}

// TestManyRoutersDoNotOverrunFewEndpoints has more routers than there are places at the replicas,
// and twice the load that these answer. By loads half a second old, all routers would send at once
// and be refused.
func TestManyRoutersDoNotOverrunFewEndpoints(t *testing.T) {
	const routers, replicas, slots = 24, 3, 2
	opt := testsite.RouterOptions{Routers: routers, Plains: replicas, Plain: standin.ReplicaOptions{Delay: shortRun, Slots: slots, ReportedSlots: slots, Queue: 10}}
	withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			for n := range co.Routes {
				co.Routes[n].TargetLatencyMS, co.Routes[n].TimeoutMS = 500, 5000
			}
		})
		time.Sleep(3 * time.Second)
		capacity := replicas * slots * float64(time.Second/shortRun)
		load := &openLoad{site: rs, routers: routers, perSecond: 2 * capacity, path: testsite.UnsafeRoute + "b"}
		stop := load.start()
		began := time.Now()
		time.Sleep(10 * time.Second)
		stop()
		from, to := began.Add(2*time.Second), began.Add(9*time.Second)
		asked, served := load.between(from, to)
		refused := 0
		for n := 1; n <= replicas; n++ {
			for _, at := range rs.Replicas[testsite.ReplicaID(testsite.PlainService, n, "v1")].Refusals() {
				if at.After(from) && at.Before(to) {
					refused++
				}
			}
		}
		t.Logf("%d asked, %d served, %d refused by replicas, room for %.0f", asked, served, refused, 7*capacity)
		qt.Check(t, float64(served) >= usedRoom*7*capacity, qt.IsTrue)
		qt.Check(t, float64(refused) <= maxOverrun*float64(served), qt.IsTrue)
	})
}
