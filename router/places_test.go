package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestPlacesAreFreeAfterAPause has callers leave, or their deadlines pass, around the time at which
// their streams are given up for another replica. Each place must be free afterwards.
func TestPlacesAreFreeAfterAPause(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 2, Engines: 3, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
				stop := leaveAtRandom(rs, seed, 20)
				time.Sleep(500 * time.Millisecond)
				for n := 1; n <= 2; n++ {
					rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v1")].Pause(longPause)
				}
				stop()
				time.Sleep(suspensionLimit)
				for _, ro := range rs.Routers {
					st, ok := ro.Dump().(router.State)
					qt.Assert(t, ok, qt.IsTrue)
					qt.Check(t, st.Relay.Endpoints, qt.HasLen, 0)
					qt.Check(t, st.InFlight, qt.Equals, int64(0))
				}
			})
		})
	}
}

// leaveAtRandom sends streams whose callers leave after 1.9 to 2.2 s. The returned function waits
// for all of them.
func leaveAtRandom(rs *testsite.RouterSite, seed uint64, streams int) (stop func()) {
	rng, gr := rand.New(rand.NewPCG(seed, seed)), worker.NewGroup()
	for n := range streams {
		patience := time.Duration(1900+rng.IntN(300)) * time.Millisecond
		gr.Go(func(context.Context) {
			ctx, cancel := context.WithTimeout(context.Background(), patience+time.Millisecond)
			defer cancel()
			do(rs, request{
				router: 1 + n%2, id: fmt.Sprint("a", n), path: testsite.EngineRoute + "x", ctx: ctx,
				header: map[string]string{"Deadline-Remaining": fmt.Sprint(patience.Milliseconds() + int64(n%3))},
			})
		})
	}
	return gr.Wait
}

// TestStreamsStayAtAReplicaThatPauses has two replicas of four pause. Their streams were run again
// at the others, although they were about to go on.
func TestStreamsStayAtAReplicaThatPauses(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 4, Engine: pausedEngine}, func(t *testing.T, rs *testsite.RouterSite) {
		early := startRequests(rs, "early", testsite.EngineRoute, http.MethodPost, 24)
		time.Sleep(time.Second)
		for n := 1; n <= 2; n++ {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, n, "v1")].Pause(pauseOfReplicas)
		}
		for n := range early() {
			qt.Check(t, runsOfRequest(rs, fmt.Sprint("early-", n)), qt.HasLen, 1)
		}
	})
}
