package router_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// sendAtOnce sends safe requests at once to one router, and returns the number of answers by status.
func sendAtOnce(rs *testsite.RouterSite, callers int) map[int]int {
	var mu sync.Mutex
	out := map[int]int{}
	gr := worker.NewGroup()
	for n := range callers {
		gr.Go(func(context.Context) {
			an := do(rs, request{id: fmt.Sprint("burst-", n), path: testsite.SafeRoute, method: http.MethodGet})
			mu.Lock()
			defer mu.Unlock()
			out[an.status]++
		})
	}
	gr.Wait()
	return out
}

// TestSecondAttemptWaitsForAPlace has one of two replicas fail every request while the other one is
// full. Routers passed the failures on to the callers after one of two attempts, although the full
// replica had places some milliseconds later.
func TestSecondAttemptWaitsForAPlace(t *testing.T) {
	const callers = 28
	plain := standin.ReplicaOptions{Delay: 20 * time.Millisecond}
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2, Plain: plain}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].SetFaults(standin.ReplicaFaults{Status: http.StatusInternalServerError})
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 2, "v1")].SetFaults(standin.ReplicaFaults{Slowdown: 2})
		sent := time.Now()
		statuses := sendAtOnce(rs, callers)
		qt.Check(t, statuses, qt.DeepEquals, map[int]int{http.StatusOK: callers})
		qt.Check(t, time.Since(sent) < 250*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(sent)))
	})
}

// TestFailureIsNotHeldBackWithoutAnotherReplica has no endpoint for the second attempt that could
// take it: the caller gets the replica's failure at once, while it can still come back.
func TestFailureIsNotHeldBackWithoutAnotherReplica(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].SetFaults(standin.ReplicaFaults{Status: http.StatusInternalServerError})
		sent := time.Now()
		an := do(rs, request{id: "a", path: testsite.SafeRoute, method: http.MethodGet})
		qt.Check(t, an.status, qt.Equals, http.StatusInternalServerError)
		qt.Check(t, time.Since(sent) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(sent)))
	})
}

// TestFailureIsNotHeldBackUntilTheDeadline has the other replica pause for longer than the call has:
// the caller gets the failure at once.
func TestFailureIsNotHeldBackUntilTheDeadline(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 2, "v1")].SetFaults(standin.ReplicaFaults{NotRun: true, RetryAfter: "30"})
		for n := range 8 {
			do(rs, request{id: fmt.Sprint("before-", n), path: testsite.SafeRoute, method: http.MethodGet})
		}
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].SetFaults(standin.ReplicaFaults{Status: http.StatusInternalServerError})
		sent := time.Now()
		an := do(rs, request{id: "a", path: testsite.SafeRoute, method: http.MethodGet})
		qt.Check(t, an.status, qt.Equals, http.StatusInternalServerError)
		qt.Check(t, time.Since(sent) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(sent)))
	})
}
