package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// arrivals returns the times at which a replica got requests, refused ones included, after
// a time.
func arrivals(re *standin.Replica, after time.Time) []time.Time {
	var out []time.Time
	for _, ru := range re.Runs() {
		if !ru.At.Before(after) {
			out = append(out, ru.At)
		}
	}
	for _, at := range re.Refusals() {
		if !at.Before(after) {
			out = append(out, at)
		}
	}
	return out
}

// servingReplica returns the number of the replica to which router 1 sends requests for a
// path now, as long as they come one by one.
func servingReplica(rs *testsite.RouterSite, service, path string) int {
	id := fmt.Sprint("first-", time.Now().UnixNano())
	do(rs, request{id: id, path: path})
	time.Sleep(100 * time.Millisecond)
	for n := 1; n <= 3; n++ {
		for _, ru := range rs.Replicas[testsite.ReplicaID(service, n, "v1")].Runs() {
			if ru.Request == id {
				return n
			}
		}
	}
	return 0
}

// serviceOf returns the service of a path.
func serviceOf(path string) string {
	if path == testsite.EngineRoute {
		return testsite.EngineService
	}
	return testsite.PlainService
}

// nextRequest numbers the requests of sendRounds.
var nextRequest atomic.Int64

// sendRounds sends requests to a path, one to each of the routers in each round, for a time.
func sendRounds(rs *testsite.RouterSite, routers int, path string, lasts time.Duration) []response {
	var out []response
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		for ro := 1; ro <= routers; ro++ {
			out = append(out, do(rs, request{router: ro, id: fmt.Sprintf("s-%d-%d", nextRequest.Add(1), ro), path: path}))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return out
}

// TestReplicaThatSaysItLeavesGetsNoRequests has a replica say in its answers that it leaves,
// while the store still calls it ready. Routers went on sending to it until the store's word.
func TestReplicaThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, path := range map[string]string{"safe": testsite.SafeRoute, "unsafe": testsite.UnsafeRoute, "stream": testsite.EngineRoute} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 3, Engines: 3, Plains: 3}, func(t *testing.T, rs *testsite.RouterSite) {
				service := serviceOf(path)
				first := servingReplica(rs, service, path+"x")
				re := rs.Replicas[testsite.ReplicaID(service, first, "v1")]
				re.SetFaults(standin.ReplicaFaults{Leaving: true})
				began := time.Now()
				sendRounds(rs, 1, path+"x", 500*time.Millisecond)
				qt.Assert(t, arrivals(re, began), qt.HasLen, 1)
				said := time.Now()
				sendRounds(rs, 1, path+"x", 2*time.Second)
				qt.Assert(t, arrivals(re, said), qt.HasLen, 0)
				// Its peers have heard of it by now.
				for _, an := range sendRounds(rs, 3, path+"x", 2*time.Second) {
					qt.Assert(t, an.status, qt.Equals, http.StatusOK)
				}
				qt.Assert(t, arrivals(re, said), qt.HasLen, 0)

				re.SetFaults(standin.ReplicaFaults{})
				rs.RestartReplica(service, first, "v1")
				for n := 1; n <= 3; n++ {
					if n != first {
						rs.Register(service, n, "v1", "draining")
					}
				}
				time.Sleep(3 * time.Second)
				sendRounds(rs, 3, path+"x", time.Second)
				qt.Assert(t, len(arrivals(re, said)) > 0, qt.IsTrue, qt.Commentf("a new run of the replica gets nothing"))
			})
		})
	}
}

// TestReplicaThatAsksForAPauseGetsNoRequests has one replica of three refuse requests with
// Retry-After. Routers tried it again with each request.
func TestReplicaThatAsksForAPauseGetsNoRequests(t *testing.T) {
	for name, path := range map[string]string{"safe": testsite.SafeRoute, "unsafe": testsite.UnsafeRoute, "stream": testsite.EngineRoute} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Engines: 3, Plains: 3, Plain: standin.ReplicaOptions{Delay: 30 * time.Millisecond}}, func(t *testing.T, rs *testsite.RouterSite) {
				service := serviceOf(path)
				first := servingReplica(rs, service, path+"x")
				re := rs.Replicas[testsite.ReplicaID(service, first, "v1")]
				re.SetFaults(standin.ReplicaFaults{NotRun: true, RetryAfter: "2.5"})
				began := time.Now()
				do(rs, request{id: "asked", path: path + "x"})
				qt.Assert(t, arrivals(re, began), qt.HasLen, 1)
				wg := worker.NewGroup()
				for range 24 {
					wg.Go(func(context.Context) {
						for _, an := range sendRounds(rs, 1, path+"x", 2400*time.Millisecond) {
							qt.Check(t, an.status, qt.Equals, http.StatusOK)
						}
					})
				}
				wg.Wait()
				qt.Assert(t, arrivals(re, began), qt.HasLen, 1)
				re.SetFaults(standin.ReplicaFaults{})
				for n := 1; n <= 3; n++ {
					if n != first {
						rs.Register(service, n, "v1", "draining")
					}
				}
				sendRounds(rs, 1, path+"x", 3*time.Second)
				qt.Assert(t, len(arrivals(re, began)) > 1, qt.IsTrue, qt.Commentf("the replica gets nothing after its pause"))
			})
		})
	}
}

// TestCallersAreRefusedAtOnceWhileAllReplicasPause has all replicas ask for a pause. Callers
// must be told at once when there will be room, and not all the same time.
func TestCallersAreRefusedAtOnceWhileAllReplicasPause(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 8, Plains: 3}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{NotRun: true, RetryAfter: "4"})
		asked := time.Now()
		sendRounds(rs, 8, testsite.SafeRoute+"x", 300*time.Millisecond)
		before := time.Now()
		returns := map[string]bool{}
		for n := range 16 {
			an := do(rs, request{router: n%8 + 1, id: fmt.Sprint("r", n), path: testsite.UnsafeRoute + "x"})
			qt.Assert(t, an.status, qt.Equals, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64)
			qt.Assert(t, err, qt.IsNil)
			at := time.Now().Add(time.Duration(seconds * float64(time.Second)))
			qt.Assert(t, at.After(asked.Add(4*time.Second)), qt.IsTrue, qt.Commentf("told to return %s after the pause began", at.Sub(asked)))
			qt.Assert(t, at.Before(asked.Add(7*time.Second)), qt.IsTrue, qt.Commentf("told to return %s after the pause began", at.Sub(asked)))
			returns[an.header.Get("Retry-After")] = true
		}
		qt.Assert(t, time.Since(before) < 100*time.Millisecond, qt.IsTrue)
		qt.Assert(t, len(returns) >= 8, qt.IsTrue, qt.Commentf("%d different times", len(returns)))
		for _, re := range rs.Replicas {
			qt.Assert(t, arrivals(re, before), qt.HasLen, 0)
		}
		setFaults(rs, standin.ReplicaFaults{})
		time.Sleep(time.Until(asked.Add(7 * time.Second)))
		for _, an := range sendRounds(rs, 8, testsite.SafeRoute+"x", time.Second) {
			qt.Assert(t, an.status, qt.Equals, http.StatusOK)
		}
	})
}
