package router_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestRolloutGoesOnDespiteAForeignState has another writer leave odd values at the keys that the
// routers write of a roll-out: before its order, and in its middle. It stood still until its end.
func TestRolloutGoesOnDespiteAForeignState(t *testing.T) {
	for _, key := range []string{"status/rollout/", "tanager/rollout/"} {
		for _, text := range []string{"{", "\xff\x00", `{"target":7}`, `{"target":"v2","started_at_ms":1e400}`} {
			t.Run(key+text, func(t *testing.T) {
				withSite(t, testsite.RouterOptions{Routers: 3, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
					rs.Store.Write(key+testsite.PlainService, []byte(text))
					time.Sleep(time.Second)
					rs.OrderRollout(testsite.PlainService, "v2", rolloutLimit)
					addRelease(rs, standin.ReplicaFaults{})
					ordered := time.Now()
					sendLoad(rs, rolloutLimit/4, 3)
					rs.Store.Write(key+testsite.PlainService, []byte(text))
					for rs.RolloutState(testsite.PlainService) != "completed" && time.Since(ordered) < rolloutLimit {
						sendLoad(rs, 200*time.Millisecond, 3)
					}
					qt.Assert(t, rs.RolloutState(testsite.PlainService), qt.Equals, "completed")
				})
			})
		}
	}
}
