package limit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
)

func routersNamed(n int) []vm.ID {
	var out []vm.ID
	for i := range n {
		out = append(out, vm.ID(fmt.Sprintf("vm-%d", i)))
	}
	return out
}

func endpointsOf(n, slots int) []policy.Endpoint {
	var out []policy.Endpoint
	for i := range n {
		out = append(out, policy.Endpoint{ID: policy.EndpointID(fmt.Sprintf("e-%d", i)), Endpoint: &rpc.Endpoint{Slots: int64(slots)}})
	}
	return out
}

// TestEachPlaceHasOneRouter divides any places among any routers: together they have each place
// once, and no router has more than one place more than another.
func TestEachPlaceHasOneRouter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := routersNamed(rapid.IntRange(1, 40).Draw(t, "routers"))
		slots := rapid.IntRange(1, 70).Draw(t, "slots")
		ens := endpointsOf(rapid.IntRange(1, 12).Draw(t, "endpoints"), slots)
		places := rapid.IntRange(1, slots).Draw(t, "places of the first")
		least, most, ofFirst := 1<<30, 0, 0
		for _, self := range routers {
			di, all := limit.Divide(routers, self, 0, ens), 0
			for _, en := range ens {
				all += di.Share(en.ID, slots)
			}
			least, most = min(least, all), max(most, all)
			ofFirst += di.Share(ens[0].ID, places)
		}
		if ofFirst != places {
			t.Fatalf("%d shares of %d places", ofFirst, places)
		}
		if most-least > 1 {
			t.Fatalf("one router has %d places, another %d", least, most)
		}
	})
}

// TestRouterThatKnowsNoOthersLeavesPlacesToThem divides places before the other routers are
// known: together all must not have much more than there are.
func TestRouterThatKnowsNoOthersLeavesPlacesToThem(t *testing.T) {
	const routers, slots = 8, 6
	ens, sum := endpointsOf(3, slots), 0
	for _, self := range routersNamed(routers) {
		di := limit.Divide([]vm.ID{self}, self, routers, ens)
		for _, en := range ens {
			sum += di.Share(en.ID, slots)
		}
	}
	qt.Assert(t, sum <= len(ens)*slots*5/4, qt.IsTrue, qt.Commentf("%d shares of %d places", sum, len(ens)*slots))
}

// TestRoutersTogetherCauseFewerRefusalsThanAnEndpointBears checks the time for which each router
// spares an endpoint that refused its request.
func TestRoutersTogetherCauseFewerRefusalsThanAnEndpointBears(t *testing.T) {
	for routers, refusals := range map[int]int{1: 1, 8: 3, 24: 8} {
		perSecond := float64(routers) / limit.SpareTime(routers, refusals).Seconds()
		qt.Check(t, perSecond <= float64(refusals), qt.IsTrue, qt.Commentf("%d routers: %.2f refusals a second of %d", routers, perSecond, refusals))
	}
	qt.Check(t, limit.SpareTime(295, 1) <= 10*time.Second, qt.IsTrue)
}
