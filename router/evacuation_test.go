package router_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/relay"
	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// evacuationLimit is how long after an evacuation's acknowledgement the last request may reach the
// failure domain: half of the 5 s that are allowed.
const evacuationLimit = 2500 * time.Millisecond

// evacuationSite has its replicas in three failure domains.
var evacuationSite = testsite.RouterOptions{Routers: 8, Domains: 3, Engines: 9, Plains: 6, ReplicaDomains: 3}

// runsIn returns the number of requests that the replicas of a failure domain ran from a time on.
func runsIn(rs *testsite.RouterSite, opt testsite.RouterOptions, domain string, from time.Time) int {
	runs := 0
	for service, replicas := range map[string]int{testsite.EngineService: opt.Engines, testsite.PlainService: opt.Plains} {
		for n := 1; n <= replicas; n++ {
			if rs.ReplicaDomain(n) != domain {
				continue
			}
			for _, ru := range rs.Replicas[testsite.ReplicaID(service, n, "v1")].Runs() {
				if !ru.At.Before(from) {
					runs++
				}
			}
		}
	}
	return runs
}

// TestEvacuatedDomainGetsNothing evacuates a failure domain under load, and restarts routers in it,
// also while the store is away, so that they learn of it from their peers. It got its share of all
// requests.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	withSite(t, evacuationSite, func(t *testing.T, rs *testsite.RouterSite) {
		pl := newPathLoad(rs, evacuationSite)
		defer pl.running.Close()
		pl.run(2 * time.Second)
		qt.Assert(t, runsIn(rs, evacuationSite, "zone-b", time.Time{}) > 0, qt.IsTrue)
		rs.Evacuate("zone-b")
		pl.run(evacuationLimit)
		from := time.Now()
		rs.KillRouter(3)
		pl.run(time.Second)
		rs.StartRouter(3)
		pl.run(2 * time.Second)
		rs.Store.SetFaults(standin.Faults{Down: true})
		rs.KillRouter(4)
		pl.run(time.Second)
		rs.StartRouter(4)
		pl.run(4 * time.Second)
		qt.Assert(t, rs.Ready(4), qt.IsTrue)
		rs.Store.SetFaults(standin.Faults{})
		pl.run(2 * time.Second)
		qt.Check(t, runsIn(rs, evacuationSite, "zone-b", from), qt.Equals, 0)
		qt.Check(t, runsIn(rs, evacuationSite, "zone-a", from) > 0, qt.IsTrue)
		rs.EndEvacuation("zone-b")
		pl.run(evacuationLimit)
		from = time.Now()
		pl.run(2 * time.Second)
		qt.Check(t, runsIn(rs, evacuationSite, "zone-b", from) > 0, qt.IsTrue)
	})
}

// TestEvacuationOutlivesTheStoresRestore restores the store from a copy without the evacuation.
func TestEvacuationOutlivesTheStoresRestore(t *testing.T) {
	withSite(t, evacuationSite, func(t *testing.T, rs *testsite.RouterSite) {
		pl := newPathLoad(rs, evacuationSite)
		defer pl.running.Close()
		co := rs.Store.Copy()
		pl.run(time.Second)
		rs.Evacuate("zone-b")
		pl.run(evacuationLimit)
		from := time.Now()
		rs.RestoreStore(co, time.Second)
		pl.run(4 * time.Second)
		qt.Check(t, runsIn(rs, evacuationSite, "zone-b", from), qt.Equals, 0)
		rs.Evacuate("zone-b")
		pl.run(evacuationLimit)
		rs.EndEvacuation("zone-b")
		pl.run(evacuationLimit)
		qt.Check(t, runsIn(rs, evacuationSite, "zone-b", from) > 0, qt.IsTrue)
	})
}

// TestCarriedAttemptsRespectAnEvacuation has routers without a path to the endpoints, whose peers
// carry their attempts.
func TestCarriedAttemptsRespectAnEvacuation(t *testing.T) {
	withSite(t, evacuationSite, func(t *testing.T, rs *testsite.RouterSite) {
		pl := newPathLoad(rs, evacuationSite)
		defer pl.running.Close()
		losePath(rs, evacuationSite, pathFaults[0], []int{1, 2, 3})
		pl.run(pathLimit)
		rs.Evacuate("zone-c")
		pl.run(evacuationLimit)
		from := time.Now()
		pl.run(4 * time.Second)
		qt.Check(t, runsIn(rs, evacuationSite, "zone-c", from), qt.Equals, 0)
		qt.Check(t, rs.Routers[1].Dump().(router.State).Relay.Evacuated["zone-c"].Endpoints, qt.Equals, 5)
	})
}

// TestStreamsInAnEvacuatedDomainEnd evacuates the only failure domain while streams run there: they
// end, and new requests are refused at once, with a time to come back.
func TestStreamsInAnEvacuatedDomainEnd(t *testing.T) {
	opt := testsite.RouterOptions{Routers: 2, Engines: 3, Engine: standin.ReplicaOptions{Events: 30, Gap: 200 * time.Millisecond, Delay: 20 * time.Millisecond}}
	withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
		var long response
		gr := worker.NewGroup()
		gr.Go(func(context.Context) { long = do(rs, request{path: testsite.EngineRoute, id: "long"}) })
		time.Sleep(time.Second)
		rs.Evacuate("zone-a")
		time.Sleep(evacuationLimit)
		qt.Check(t, rs.Routers[1].Dump().(router.State).Relay.Evacuated["zone-a"], qt.Equals, relay.Evacuation{Endpoints: 3, Running: 1})
		sentAt := time.Now()
		refused := do(rs, request{path: testsite.EngineRoute, id: "late"})
		qt.Check(t, time.Since(sentAt) < 100*time.Millisecond, qt.IsTrue)
		qt.Assert(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
		var body struct {
			NotRun bool `json:"not_run"`
		}
		qt.Assert(t, json.Unmarshal([]byte(refused.body), &body), qt.IsNil)
		qt.Check(t, body.NotRun, qt.IsTrue)
		after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, after >= 1 && after <= 5, qt.IsTrue, qt.Commentf("%g s", after))
		time.Sleep(6 * time.Second)
		gr.Close()
		qt.Check(t, long.err, qt.IsNil)
		qt.Check(t, long.status, qt.Equals, http.StatusOK)
		qt.Check(t, runsOfRequest(rs, "long"), qt.HasLen, 1)
		qt.Check(t, runsOfRequest(rs, "late"), qt.HasLen, 0)
	})
}
