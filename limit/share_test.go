package limit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

// TestAnyLimitIsDividedAmongTheRouters has an endpoint name limits up to the largest number. From
// 4.6e18 on the number of routers that share it overflowed, and each router that heard of it ended
// with a panic (review/5); so did it for a negative one, which only a peer can tell, and on amd64 for
// one that is not a number.
func TestAnyLimitIsDividedAmongTheRouters(t *testing.T) {
	var routers []peer.Holder
	for n := range 8 {
		routers = append(routers, peer.Holder{VM: vm.ID(fmt.Sprint("vm-", n)), FailureDomain: policy.FailureDomain(fmt.Sprint("fd-", n%3))})
	}
	for _, ra := range []limit.Rate{0, 0.4, 3, 1000, 1e9, 4.6e18, 9223372036854775807, 1e300, math.MaxFloat64, limit.Rate(math.Inf(1)), -1, -1e300, limit.Rate(math.Inf(-1)), limit.Rate(math.NaN())} {
		sum, sharing := limit.Rate(0), 0
		for _, self := range routers {
			share := limit.Share(routers, self, "fd-0", "e", ra)
			qt.Check(t, share >= 0, qt.IsTrue, qt.Commentf("share %g of %g", share, ra))
			if share > 0 {
				sharing++
			}
			sum += share
		}
		qt.Check(t, sum <= 0.1 || sum <= ra, qt.IsTrue, qt.Commentf("%g of %g", sum, ra))
		qt.Check(t, sharing >= 3, qt.IsTrue, qt.Commentf("%d routers share %g", sharing, ra))
		now := time.Now()
		bu := limit.NewBucket(now)
		bu.SetShare(now, sum)
		qt.Check(t, bu.Take(now.Add(time.Hour)), qt.IsTrue, qt.Commentf("%g", ra))
	}
}
