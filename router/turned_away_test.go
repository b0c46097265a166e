package router_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// metricLines returns a router's metric lines that begin with a name.
func metricLines(t *testing.T, rs *testsite.RouterSite, name string) (out []string) {
	t.Helper()
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+testsite.RouterAddress(1, 84)+"/metrics", nil)
	qt.Assert(t, err, qt.IsNil)
	re, err := rs.Client().Do(rq)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = re.Body.Close() }()
	qt.Assert(t, re.StatusCode, qt.Equals, http.StatusOK)
	text, err := io.ReadAll(re.Body)
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, name) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// TestCallsThatLookAgainAreNotTurnedAway has one of two replicas fail every request while the other
// one is full, so that calls look for a place for their second attempt every few milliseconds, and
// get it. Each look counted as a request that was turned away, and put off the time at which
// callers that are refused are told to come back.
func TestCallsThatLookAgainAreNotTurnedAway(t *testing.T) {
	const callers = 28
	plain := standin.ReplicaOptions{Delay: 20 * time.Millisecond}
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2, Plain: plain}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].SetFaults(standin.ReplicaFaults{Status: http.StatusInternalServerError})
		rs.Replicas[testsite.ReplicaID(testsite.PlainService, 2, "v1")].SetFaults(standin.ReplicaFaults{Slowdown: 2})
		qt.Assert(t, sendAtOnce(rs, callers), qt.DeepEquals, map[int]int{http.StatusOK: callers})
		qt.Assert(t, metricLines(t, rs, "tanager_retries"), qt.Not(qt.HasLen), 0)
		qt.Check(t, metricLines(t, rs, "tanager_turned_away"), qt.HasLen, 0)
	})
}
