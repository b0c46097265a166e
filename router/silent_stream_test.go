package router_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestStreamIsNotCutWhileNoOtherEndpointMayTakeIt has all replicas pause between events for
// longer than a router waits before it tries another one, as under load. The router gave up
// also the last attempt that the route allows, or the only replica, and cut the stream.
func TestStreamIsNotCutWhileNoOtherEndpointMayTakeIt(t *testing.T) {
	for _, tt := range []struct {
		name    string
		engines int
		faults  standin.ReplicaFaults
	}{
		{"after the last attempt", 4, standin.ReplicaFaults{Slowdown: 120}},
		{"at the only replica", 1, standin.ReplicaFaults{Slowdown: 120}},
		{"long before the first event", 1, standin.ReplicaFaults{Slowdown: 150}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Engines: tt.engines}, func(t *testing.T, rs *testsite.RouterSite) {
				setFaults(rs, tt.faults)
				an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
				qt.Assert(t, an.err, qt.IsNil)
				qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
				qt.Assert(t, len(runsOfRequest(rs, "a")) <= 3, qt.IsTrue)
			})
		})
	}
}

// TestStreamLeavesASilentReplica has one replica of two stop in the middle of its streams.
func TestStreamLeavesASilentReplica(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Replicas[testsite.ReplicaID(testsite.EngineService, 1, "v1")].SetFaults(standin.ReplicaFaults{Slowdown: 1000})
		for n := range 4 {
			sent := time.Now()
			an := do(rs, request{id: string(rune('a' + n)), path: testsite.EngineRoute + "x"})
			qt.Assert(t, an.err, qt.IsNil)
			qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
			qt.Assert(t, time.Since(sent) < 10*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(sent)))
		}
	})
}
