package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(n int) []policy.Endpoint {
	var out []policy.Endpoint
	for i := range n {
		out = append(out, policy.Endpoint{ID: policy.EndpointID(fmt.Sprint("e", i)), Endpoint: &rpc.Endpoint{Slots: 64}})
	}
	return out
}

func anyEndpoint(policy.Endpoint, placement.Condition) bool { return true }

// TestLongPromptsWithSharedPrefixAreSpread sends many long prompts with one
// prefix at the same time. They must not all queue at the endpoint that has the
// prefix cached.
func TestLongPromptsWithSharedPrefixAreSpread(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	counts := map[policy.EndpointID]int{}
	jo := placement.Job{Prefix: 7, Work: 0.5, CacheSaving: 0.2}
	for range 45 {
		as, ok := ba.Choose(begin, engines(9), jo, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		counts[as.Endpoint.ID]++
	}
	for id, n := range counts {
		qt.Assert(t, n <= 8, qt.IsTrue, qt.Commentf("%s has %d of 45", id, n))
	}
}

// TestCachedPrefixIsUsedWhileThereIsRoom sends prompts with one prefix one after
// the other. All must go to the endpoint that has it cached.
func TestCachedPrefixIsUsedWhileThereIsRoom(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	counts := map[policy.EndpointID]int{}
	jo := placement.Job{Prefix: 7, Work: 0.5, CacheSaving: 0.3}
	now := begin
	for range 20 {
		as, _ := ba.Choose(now, engines(9), jo, nil, anyEndpoint)
		counts[as.Endpoint.ID]++
		now = now.Add(500 * time.Millisecond)
		ba.AnswerStarted(as, 200*time.Millisecond)
		ba.Done(now, as, placement.Succeeded)
	}
	qt.Assert(t, counts, qt.HasLen, 1)
}

// TestStuckEndpointIsLeftBeforeItAnswers has one endpoint that never begins to
// answer. It must get no more work although it has not failed any request.
func TestStuckEndpointIsLeftBeforeItAnswers(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	stuck := policy.EndpointID("e3")
	var unanswered []placement.Assignment
	now, lateChoices := begin, 0
	for i := range 400 {
		as, ok := ba.Choose(now, engines(9), placement.Job{Work: 0.05}, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		if as.Endpoint.ID == stuck {
			unanswered = append(unanswered, as)
			if i > 100 {
				lateChoices++
			}
		} else {
			ba.AnswerStarted(as, 50*time.Millisecond)
			ba.Done(now, as, placement.Succeeded)
		}
		now = now.Add(10 * time.Millisecond)
	}
	qt.Assert(t, len(unanswered) > 0, qt.IsTrue)
	qt.Assert(t, lateChoices, qt.Equals, 0)
}

// TestFailingEndpointGetsLess has one of three endpoints fail half of its
// requests. It must get far less than a third of them.
func TestFailingEndpointGetsLess(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	now, toFailing := begin, 0
	for i := range 300 {
		as, ok := ba.Choose(now, engines(3), placement.Job{Work: 0.03}, nil, anyEndpoint)
		qt.Assert(t, ok, qt.IsTrue)
		re := placement.Succeeded
		if as.Endpoint.ID == "e1" {
			toFailing++
			if i%2 == 0 {
				re = placement.AnsweredWithError
			}
		}
		ba.AnswerStarted(as, 30*time.Millisecond)
		ba.Done(now, as, re)
		now = now.Add(20 * time.Millisecond)
	}
	qt.Assert(t, toFailing < 40, qt.IsTrue, qt.Commentf("%d of 300", toFailing))
}

func TestPeerLoadsCount(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	ba.SetPeerLoads(begin, map[policy.EndpointID]placement.Load{"e0": {Running: 30, Backlog: 2}, "e1": {Running: 30, Backlog: 2}})
	for range 5 {
		as, _ := ba.Choose(begin, engines(3), placement.Job{Work: 0.05}, nil, anyEndpoint)
		qt.Assert(t, as.Endpoint.ID, qt.Equals, policy.EndpointID("e2"))
	}
	qt.Assert(t, float64(ba.MeanBacklog(begin, engines(3))) > 1.3, qt.IsTrue)
}

func TestJobLeavesBacklogOnce(t *testing.T) {
	ba := placement.NewBalancer(1, "")
	as, _ := ba.Choose(begin, engines(1), placement.Job{Work: 1}, nil, anyEndpoint)
	ba.Choose(begin, engines(1), placement.Job{Work: 1}, nil, anyEndpoint)
	ba.AnswerStarted(as, time.Second)
	ba.Done(begin, as, placement.Succeeded)
	qt.Assert(t, ba.Loads()["e0"], qt.Equals, placement.Load{Running: 1, Backlog: 1})
}

// TestManyRoutersWithOldLoadsDoNotCrowd has 60 routers before 90 endpoints know each other's
// loads as they were up to 0.3 s ago. If all compared all endpoints, each time the
// loads are told all would send to the few that were the least loaded.
func TestManyRoutersWithOldLoadsDoNotCrowd(t *testing.T) {
	const (
		routers, endpoints = 60, 90
		step               = 5 * time.Millisecond
		perStep            = 3
		lasts              = 1500 * time.Millisecond
		told               = 300 * time.Millisecond
		// maxAtOnce is twice the mean.
		maxAtOnce = 20
	)
	ens := engines(endpoints)
	var bas []*placement.Balancer
	for n := range routers {
		bas = append(bas, placement.NewBalancer(uint64(n+1), ""))
	}
	type job struct {
		router int
		as     placement.Assignment
		ends   time.Time
	}
	var all []job
	loads, most, now := map[policy.EndpointID]int{}, 0, begin
	rng := rand.New(rand.NewPCG(7, 7))
	for ; now.Before(begin.Add(20 * time.Second)); now = now.Add(step) {
		for len(all) > 0 && !all[0].ends.After(now) {
			jo := all[0]
			all = all[1:]
			bas[jo.router].AnswerStarted(jo.as, 50*time.Millisecond)
			bas[jo.router].Done(now, jo.as, placement.Succeeded)
			loads[jo.as.Endpoint.ID]--
		}
		if now.Sub(begin)%told == 0 {
			tellLoads(now, bas)
		}
		for range perStep {
			n := rng.IntN(routers)
			as, ok := bas[n].Choose(now, ens, placement.Job{Work: 0.05}, nil, anyEndpoint)
			qt.Assert(t, ok, qt.IsTrue)
			all = append(all, job{n, as, now.Add(lasts)})
			loads[as.Endpoint.ID]++
			if now.Sub(begin) > 5*time.Second {
				most = max(most, loads[as.Endpoint.ID])
			}
		}
	}
	mean := perStep * lasts.Seconds() / step.Seconds() / endpoints
	t.Logf("%d at once at the busiest, %.1f in the mean", most, mean)
	qt.Assert(t, most <= maxAtOnce, qt.IsTrue)
}

// tellLoads tells each balancer the loads of the others.
func tellLoads(now time.Time, bas []*placement.Balancer) {
	sum := map[policy.EndpointID]placement.Load{}
	for _, ba := range bas {
		for id, lo := range ba.Loads() {
			sum[id] = placement.Load{Running: sum[id].Running + lo.Running, Backlog: sum[id].Backlog + lo.Backlog}
		}
	}
	for _, ba := range bas {
		others := map[policy.EndpointID]placement.Load{}
		own := ba.Loads()
		for id, lo := range sum {
			others[id] = placement.Load{Running: lo.Running - own[id].Running, Backlog: lo.Backlog - own[id].Backlog}
		}
		ba.SetPeerLoads(now, others)
	}
}
