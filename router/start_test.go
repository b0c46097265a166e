package router_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// TestFirstAnswerDoesNotRefuseWhatWaits has many requests come at once to a router that has just
// started, while its replicas' first answers show that they are not brittle. The router refused
// requests that found no place before such an answer, and nothing to wait for after it.
func TestFirstAnswerDoesNotRefuseWhatWaits(t *testing.T) {
	const starts, requests = 20, 60
	refused := 0
	for n := range starts {
		opt := testsite.RouterOptions{Routers: 2, Plains: 8, Plain: standin.ReplicaOptions{}}
		withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
			for _, an := range startRequests(rs, fmt.Sprint("start-", n), testsite.SafeRoute, http.MethodGet, requests)() {
				if an.status != http.StatusOK {
					refused++
					t.Logf("start %d: status %d, %v %s", n, an.status, an.err, an.body)
				}
			}
		})
	}
	qt.Assert(t, refused, qt.Equals, 0)
}
