package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/vm"
)

func holdersNamed(n int) []peer.Holder {
	var out []peer.Holder
	for i := range n {
		out = append(out, peer.Holder{VM: vm.ID(fmt.Sprint("vm-", i)), FailureDomain: policy.FailureDomain(fmt.Sprint("fd-", i%3))})
	}
	return out
}

// mostInASecond returns the largest number of times within one second.
func mostInASecond(ats []time.Time) int {
	slices.SortFunc(ats, time.Time.Compare)
	most, first := 0, 0
	for i, at := range ats {
		for at.Sub(ats[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// greedySends returns when routers with shares send to an endpoint if each always has a request for
// it: from a time on, with full buckets, and looking at odd times.
func greedySends(shares []limit.Rate) []time.Time {
	var out []time.Time
	start, rng := time.Now(), rand.New(rand.NewPCG(1, 2))
	for _, share := range shares {
		bu := limit.NewBucket(start.Add(-time.Hour))
		bu.SetShare(start.Add(-time.Hour), share)
		for at := start; at.Before(start.Add(8 * time.Second)); at = at.Add(time.Duration(1 + rng.IntN(20e6))) {
			if bu.Take(at) {
				out = append(out, at)
			}
		}
	}
	return out
}

// TestColdRateHoldsInAnySecond has any number of routers share the rate of a cold endpoint, each with
// more requests than its part: all in touch, or some of them cut off from their peers since their
// start, so that they know nobody.
func TestColdRateHoldsInAnySecond(t *testing.T) {
	for _, n := range []int{1, 2, 8, 88, 300} {
		for _, ra := range []limit.Rate{0.5, 1, 3, 11, 12, 40} {
			all := holdersNamed(n)
			var shares []limit.Rate
			for i, self := range all {
				known := all
				if i == n-1 && n > 1 {
					known = []peer.Holder{self}
				}
				shares = append(shares, limit.ColdShare(known, self.VM, "fd-1", "e", ra))
			}
			most, allowed := mostInASecond(greedySends(shares)), testsite.MaxColdRequests(float64(ra))
			qt.Check(t, float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d routers, %g a second: %d in a second, allowed %.1f", n, ra, most, allowed))
			qt.Check(t, most > 0, qt.IsTrue, qt.Commentf("%d routers, %g a second", n, ra))
		}
	}
}

// TestColdRateIsUsed checks that routers together may send most of what a cold endpoint bears.
func TestColdRateIsUsed(t *testing.T) {
	for _, n := range []int{8, 88, 300} {
		all, sum := holdersNamed(n), limit.Rate(0)
		for _, self := range all {
			sum += limit.ColdShare(all, self.VM, "fd-1", "e", 11)
		}
		qt.Check(t, sum > 9 && sum <= 11, qt.IsTrue, qt.Commentf("%d routers: %g", n, sum))
	}
}

// TestColdShareOfAnyRate divides any number that a configuration may have.
func TestColdShareOfAnyRate(t *testing.T) {
	all := holdersNamed(8)
	for _, ra := range []limit.Rate{0, -1, 1e300, limit.Rate(math.Inf(1)), limit.Rate(math.NaN())} {
		for _, self := range all {
			qt.Check(t, limit.ColdShare(all, self.VM, "fd-1", "e", ra) >= 0, qt.IsTrue, qt.Commentf("%g", ra))
		}
	}
}

// TestColdRateWithoutOneInTheConfiguration takes a share of the endpoint's slots.
func TestColdRateWithoutOneInTheConfiguration(t *testing.T) {
	en := policy.Endpoint{Endpoint: &rpc.Endpoint{Slots: 32}}
	qt.Check(t, limit.ColdRate(policy.Service{Service: &rpc.Service{ColdPerSecond: 11}}, en), qt.Equals, limit.Rate(11))
	qt.Check(t, limit.ColdRate(policy.Service{}, en), qt.Equals, limit.Rate(8))
	en.Slots = 1
	qt.Check(t, limit.ColdRate(policy.Service{}, en), qt.Equals, limit.Rate(1))
}
