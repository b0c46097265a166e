package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pool(n int) *placement.Pool {
	var ens []policy.Endpoint
	for i := range n {
		ens = append(ens, policy.Endpoint{ID: policy.EndpointID(fmt.Sprint("e", i)), Endpoint: &rpc.Endpoint{Slots: 8}})
	}
	return placement.NewPool(ens)
}

func all(policy.Endpoint) bool { return true }

func TestPrefixStaysWhileItsEndpointIsNotLoaded(t *testing.T) {
	tr, po := placement.NewTracker(1), pool(10)
	pr := placement.HashPrefix("o", "v", []byte("prompt"))
	first, ok := tr.Choose(start, po, pr, nil, all)
	qt.Assert(t, ok, qt.IsTrue)
	tr.Done(start, first.ID, placement.Succeeded)
	for range 20 {
		en, _ := tr.Choose(start, po, pr, nil, all)
		qt.Assert(t, en.ID, qt.Equals, first.ID)
		tr.Done(start, en.ID, placement.Succeeded)
	}
	other, ok := tr.Choose(start, po, pr, []policy.EndpointID{first.ID}, all)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, other.ID, qt.Not(qt.Equals), first.ID)
}

// TestPopularPrefixGetsMoreEndpoints has an eighth of all requests share one
// prefix. With only two endpoints for it, its requests would queue there while
// the other endpoints are idle.
func TestPopularPrefixGetsMoreEndpoints(t *testing.T) {
	tr, po := placement.NewTracker(1), pool(8)
	tr.SetPeerInFlight(start, nil)
	popular := placement.HashPrefix("o", "v", []byte("popular"))
	rare := placement.HashPrefix("o", "v", []byte("rare"))
	for i := range 200 {
		pr := placement.HashPrefix("o", "v", fmt.Append(nil, i))
		if i%8 == 0 {
			pr = popular
		}
		en, ok := tr.Choose(start, po, pr, nil, all)
		qt.Assert(t, ok, qt.IsTrue)
		tr.Done(start, en.ID, placement.Succeeded)
	}
	qt.Assert(t, endpointsOf(t, tr, po, rare), qt.Equals, 2)
	qt.Assert(t, endpointsOf(t, tr, po, popular), qt.Equals, 3)
}

// endpointsOf returns the number of endpoints that three concurrent requests
// with a prefix go to.
func endpointsOf(t *testing.T, tr *placement.Tracker, po *placement.Pool, pr placement.Prefix) int {
	got := map[policy.EndpointID]int{}
	for range 3 {
		en, ok := tr.Choose(start, po, pr, nil, all)
		qt.Assert(t, ok, qt.IsTrue)
		got[en.ID]++
	}
	for id, n := range got {
		for range n {
			tr.Done(start, id, placement.Succeeded)
		}
	}
	return len(got)
}

func TestFailingEndpointIsSuspendedAndProbed(t *testing.T) {
	tr, po := placement.NewTracker(1), pool(1)
	for range 2 {
		en, ok := tr.Choose(start, po, 0, nil, all)
		qt.Assert(t, ok, qt.IsTrue)
		tr.Done(start, en.ID, placement.Failed)
	}
	_, ok := tr.Choose(start, po, 0, nil, all)
	qt.Assert(t, ok, qt.IsFalse)
	later := start.Add(2 * time.Second)
	probe, ok := tr.Choose(later, po, 0, nil, all)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = tr.Choose(later, po, 0, nil, all)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("two probes at once"))
	_, resumed := tr.Done(later, probe.ID, placement.Succeeded)
	qt.Assert(t, resumed, qt.IsTrue)
	_, ok = tr.Choose(later, po, 0, nil, all)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestOnlyUsableEndpointsAreChosen allows no endpoint, and then one of many that
// the prefix and the random choices are likely to miss.
func TestOnlyUsableEndpointsAreChosen(t *testing.T) {
	tr := placement.NewTracker(1)
	for _, n := range []int{0, 3, 50} {
		_, ok := tr.Choose(start, pool(n), 7, nil, func(policy.Endpoint) bool { return false })
		qt.Assert(t, ok, qt.IsFalse)
	}
	only := func(en policy.Endpoint) bool { return en.ID == "e33" }
	en, ok := tr.Choose(start, pool(50), 7, nil, only)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, en.ID, qt.Equals, policy.EndpointID("e33"))
}

// BenchmarkChoose measures one choice among many endpoints.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 2200} {
		b.Run(fmt.Sprintf("replicas-%d", n), func(b *testing.B) {
			tr, po := placement.NewTracker(1), pool(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				en, _ := tr.Choose(start, po, placement.HashPrefix("o", "v", fmt.Append(nil, i%1000)), nil, all)
				tr.Done(start, en.ID, placement.Succeeded)
			}
		})
	}
}
