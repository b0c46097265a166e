package router_test

import (
	"net/http"
	"testing"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestRequestReturnsToAReplicaThatPaused has one replica pause before the first events, and the
// other one refuse what is sent there instead. The router answered 502 at once, although the
// first replica went on.
func TestRequestReturnsToAReplicaThatPaused(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 2, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Replicas[testsite.ReplicaID(testsite.EngineService, 2, "v1")].SetFaults(standin.ReplicaFaults{NotRun: true})
		rs.Replicas[testsite.ReplicaID(testsite.EngineService, 1, "v1")].Pause(pauseOfReplicas)
		checkStreams(t, "refused", startRequests(rs, "refused", testsite.EngineRoute, http.MethodPost, 8)())
	})
}
