package router_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

// TestStaleReadAtStartIsCaughtUp has routers start from a read that lacks the newest key and
// the removal of a replica. They must have both soon: from peers, or all at once from the store.
func TestStaleReadAtStartIsCaughtUp(t *testing.T) {
	const routers = 6
	for _, restarted := range []int{1, routers} {
		withSite(t, testsite.RouterOptions{Routers: routers, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
			time.Sleep(5 * time.Second)
			rs.Store.AnswerStale(rs.Store.Copy())
			rs.Configure(newKeyOnly)
			rs.Unregister(testsite.PlainService, 1, "v1")
			time.Sleep(2 * time.Second)
			for n := routers; n > routers-restarted; n-- {
				rs.KillRouter(n)
			}
			for n := routers; n > routers-restarted; n-- {
				rs.StartRouter(n)
			}
			rs.Eventually(2500*time.Millisecond, "the newest configuration is in force", func() bool {
				for n := 1; n <= routers; n++ {
					if do(rs, request{router: n, id: "old", path: testsite.SafeRoute + "x"}).status != http.StatusUnauthorized {
						return false
					}
				}
				return true
			})
			// A router that has just started takes a removal for one that an outage of the
			// store caused, and keeps the replica for the grace of such a case.
			time.Sleep(1700 * time.Millisecond)
			began := time.Now()
			for range 20 {
				for n := 1; n <= routers; n++ {
					qt.Assert(t, do(rs, request{router: n, id: "new", key: "new-key", path: testsite.SafeRoute + "x"}).status, qt.Equals, http.StatusOK)
				}
			}
			qt.Assert(t, arrivals(rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")], began), qt.HasLen, 0)
		})
	}
}
