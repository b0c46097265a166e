package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// request is one request of a caller. do sets defaults for a zero router, method,
// key and ctx.
type request struct {
	router int
	id     string // the Attempt-Id header
	path   string
	key    string
	after  string // the Last-Event-Id header
	method string
	header map[string]string
	body   string
	ctx    context.Context
}

// response is what the caller received. err is set when the connection broke or
// the body ended early.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request to a router and reads the whole answer.
func do(rs *testsite.RouterSite, as request) response {
	if as.router == 0 {
		as.router = 1
	}
	if as.method == "" {
		as.method = http.MethodPost
	}
	if as.ctx == nil {
		as.ctx = context.Background()
	}
	rq, err := http.NewRequestWithContext(as.ctx, as.method, "http://"+testsite.RouterAddress(as.router, 80)+as.path, strings.NewReader(as.body))
	if err != nil {
		return response{err: err}
	}
	rq.Host = testsite.RouteHost
	rq.Header.Set("Attempt-Id", as.id)
	rq.Header.Set("Deadline-Remaining", "20000")
	key := as.key
	if key == "" {
		key = testsite.CallerKey
	}
	rq.Header.Set("Key", key)
	if strings.HasPrefix(as.path, testsite.EngineRoute) {
		rq.Header.Set("Model", "*")
		rq.Header.Set("Prompt-Prefix", "aa:100,bb:50,"+as.id+":20")
		rq.Header.Set("Token-Usage", "170,40")
	}
	if as.after != "" {
		rq.Header.Set("Last-Event-Id", as.after)
	}
	for name, value := range as.header {
		rq.Header.Set(name, value)
	}
	rs2, err := rs.Client().Do(rq)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = rs2.Body.Close() }()
	body, err := io.ReadAll(rs2.Body)
	return response{status: rs2.StatusCode, header: rs2.Header, body: string(body), err: err}
}

// withSite runs fn against a new router site in virtual time.
func withSite(t *testing.T, opt testsite.RouterOptions, fn func(t *testing.T, rs *testsite.RouterSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rs := testsite.NewRouterSite(t, opt)
		defer rs.Close()
		fn(t, rs)
	})
}

// runsOfRequest returns the runs of a request on all replicas.
func runsOfRequest(rs *testsite.RouterSite, request string) []standin.ReplicaRun {
	var out []standin.ReplicaRun
	for _, re := range rs.Replicas {
		for _, ru := range re.Runs() {
			if ru.Request == request {
				out = append(out, ru)
			}
		}
	}
	return out
}

// setFaults sets the faults of all replicas.
func setFaults(rs *testsite.RouterSite, fa standin.ReplicaFaults) {
	for _, re := range rs.Replicas {
		re.SetFaults(fa)
	}
}

// eventIDs returns the ids of the events in a stream.
func eventIDs(body string) []string {
	var out []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

func TestOneRequestOfEachKind(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 2, Engines: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
		for n := 1; n <= 2; n++ {
			id := fmt.Sprint("a", n)
			an := do(rs, request{router: n, id: id, path: testsite.UnsafeRoute + "x?q=1%2F", body: "loan"})
			qt.Assert(t, an.status, qt.Equals, http.StatusOK)
			qt.Assert(t, an.body, qt.Equals, "whole answer to "+id)
			qt.Assert(t, an.header.Get("Response-Signature"), qt.Not(qt.Equals), "")
			ru := runsOfRequest(rs, id)
			qt.Assert(t, ru, qt.HasLen, 1)
			qt.Assert(t, ru[0].Target, qt.Equals, testsite.UnsafeRoute+"x?q=1%2F")
			qt.Assert(t, ru[0].Body, qt.Equals, "loan")
			qt.Assert(t, ru[0].Header.Get("Tenant"), qt.Equals, testsite.Tenant)
			qt.Assert(t, ru[0].Header.Get("Key"), qt.Equals, "")

			an = do(rs, request{router: n, id: "b" + id, path: testsite.SafeRoute + "x", method: http.MethodGet})
			qt.Assert(t, an.status, qt.Equals, http.StatusOK)

			an = do(rs, request{router: n, id: "c" + id, path: testsite.EngineRoute + "x"})
			qt.Assert(t, an.status, qt.Equals, http.StatusOK)
			qt.Assert(t, an.err, qt.IsNil)
			qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
			qt.Assert(t, runsOfRequest(rs, "c"+id)[0].Header.Get("Model"), qt.Equals, testsite.SmallModel)
		}
	})
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1, Plains: 1, Unconfigured: true}, func(t *testing.T, rs *testsite.RouterSite) {
		time.Sleep(time.Second)
		qt.Assert(t, rs.Ready(1), qt.IsFalse)
		an := do(rs, request{id: "a", path: testsite.SafeRoute + "x"})
		qt.Assert(t, an.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		rs.Configure(nil)
		rs.Eventually(2*time.Second, "the first configuration is in force", func() bool { return rs.Ready(1) })
		qt.Assert(t, do(rs, request{id: "b", path: testsite.SafeRoute + "x"}).status, qt.Equals, http.StatusOK)
	})
}

func TestUnknownRoutesAndKeysAreDenied(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		qt.Assert(t, do(rs, request{id: "a", path: "/nowhere/x"}).status, qt.Equals, http.StatusNotFound)
		qt.Assert(t, do(rs, request{id: "b", path: testsite.SafeRoute + "x", key: "wrong"}).status, qt.Equals, http.StatusUnauthorized)
		qt.Assert(t, do(rs, request{id: "c", path: testsite.SafeRoute + "x", header: map[string]string{"Prompt-Prefix": "a:x"}}).status, qt.Equals, http.StatusBadRequest)
		qt.Assert(t, do(rs, request{id: "d", path: testsite.SafeRoute + "x", body: strings.Repeat("x", 70000)}).status, qt.Equals, http.StatusRequestEntityTooLarge)
		qt.Assert(t, runsOfRequest(rs, "a"), qt.HasLen, 0)
		qt.Assert(t, runsOfRequest(rs, "b"), qt.HasLen, 0)
	})
}

// TestUnsafeRequestRunsOnce breaks the answer after the replica ran the request.
// The router must not send the request again, and must not tell the caller that it
// was not run.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	for name, fa := range map[string]standin.ReplicaFaults{"truncated": {Truncated: true}, "silent": {Silent: true}, "other request id": {OtherRequestID: "other"}, "busy status": {Status: http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 3}, func(t *testing.T, rs *testsite.RouterSite) {
				setFaults(rs, fa)
				an := do(rs, request{id: "a", path: testsite.UnsafeRoute + "x", body: "loan"})
				qt.Assert(t, an.status == http.StatusBadGateway || an.status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d", an.status))
				qt.Assert(t, an.header.Get("Response-Signature"), qt.Equals, "")
				qt.Assert(t, runsOfRequest(rs, "a"), qt.HasLen, 1)
			})
		})
	}
}

// TestRefusedRequestIsReportedAsNotRun has all replicas refuse a request without
// running it. The caller must get 503 with Retry-After without delay.
func TestRefusedRequestIsReportedAsNotRun(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 3}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{NotRun: true})
		started := time.Now()
		an := do(rs, request{id: "a", path: testsite.UnsafeRoute + "x", body: "loan"})
		qt.Assert(t, an.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, time.Since(started) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("answered only after %s", time.Since(started)))
		qt.Assert(t, runsOfRequest(rs, "a"), qt.HasLen, 0)
	})
}

// TestSafeRequestIsRetriedOnAnotherReplica has one replica of two fail in various
// ways. The caller must get the other one's answer.
func TestSafeRequestIsRetriedOnAnotherReplica(t *testing.T) {
	for name, fa := range map[string]standin.ReplicaFaults{"truncated": {Truncated: true}, "other request id": {OtherRequestID: "other"}, "failing": {Status: 500}, "refusing": {NotRun: true}, "silent": {Silent: true}, "unsigned": {Unsigned: true}} {
		t.Run(name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.Replicas[testsite.ReplicaID(testsite.PlainService, 1, "v1")].SetFaults(fa)
				for n := range 6 {
					an := do(rs, request{id: fmt.Sprint(n), path: testsite.SafeRoute + "x", method: http.MethodGet})
					qt.Assert(t, an.status, qt.Equals, http.StatusOK)
					qt.Assert(t, an.body, qt.Equals, fmt.Sprint("whole answer to ", n))
				}
			})
		})
	}
}

// TestStreamResumesOnAnotherReplica cuts streams within an event. The caller must
// get every event once, and nothing of the incomplete ones.
func TestStreamResumesOnAnotherReplica(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 3}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{CutAfter: 2})
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
		qt.Assert(t, an.err, qt.IsNil)
		qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
		// The stand-in's incomplete event ends with "tor".
		qt.Assert(t, strings.Contains(an.body, "tor\n"), qt.IsFalse)
		qt.Assert(t, runsOfRequest(rs, "a"), qt.HasLen, 3)
	})
}

// TestStreamThatCannotResumeIsCut cuts every run after its first event. The caller's
// connection must be broken, so that what it has does not look complete.
func TestStreamThatCannotResumeIsCut(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 3}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{CutAfter: 1})
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
		qt.Assert(t, an.err, qt.IsNotNil)
	})
}

// TestLowConfidenceEscalatesToLargeModel has the small model report a low
// confidence. The request must run again on the large model.
func TestLowConfidenceEscalatesToLargeModel(t *testing.T) {
	opt := standin.ReplicaOptions{Events: 3, Delay: 20 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "10", testsite.LargeModel: "90"}}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 2, Engine: opt}, func(t *testing.T, rs *testsite.RouterSite) {
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
		qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3"})
		var models []string
		for _, ru := range runsOfRequest(rs, "a") {
			models = append(models, ru.Header.Get("Model"))
		}
		qt.Assert(t, models, qt.ContentEquals, []string{testsite.SmallModel, testsite.LargeModel})
	})
}

// TestUnreachableEnginesDoNotKeepRequestsOnTheSmallModel has engines that refuse all
// connections, as after a crash. Requests that are sent on from them to the others must still
// get the large model's answer. Before, a connection that was refused was taken for an engine
// without room for the large model, and used up the budget of retries.
func TestUnreachableEnginesDoNotKeepRequestsOnTheSmallModel(t *testing.T) {
	const engines, dead, requests = 12, 7, 60
	opt := standin.ReplicaOptions{Events: 3, Delay: 20 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "10", testsite.LargeModel: "90"}}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: engines, Engine: opt}, func(t *testing.T, rs *testsite.RouterSite) {
		for n := 1; n <= dead; n++ {
			rs.Net.Kill(testsite.Host(testsite.ReplicaID(testsite.EngineService, n, "v1")))
		}
		for n := range requests {
			id := fmt.Sprint("r", n)
			an := do(rs, request{id: id, path: testsite.EngineRoute + "x"})
			qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s", id))
			var models []string
			for _, ru := range runsOfRequest(rs, id) {
				models = append(models, ru.Header.Get("Model"))
			}
			qt.Check(t, models, qt.Contains, testsite.LargeModel, qt.Commentf("%s", id))
			// Escalations alone stay within the budget.
			time.Sleep(2 * time.Second)
		}
	})
}

// TestRequestIsSentOnPastAllUnreachableReplicas has all replicas but one refuse connections.
// Nothing reaches them, so that a request is sent on until it finds the one that is left,
// whatever the budget of retries.
func TestRequestIsSentOnPastAllUnreachableReplicas(t *testing.T) {
	const replicas = 14
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: replicas}, func(t *testing.T, rs *testsite.RouterSite) {
		for n := 1; n < replicas; n++ {
			rs.Net.Kill(testsite.Host(testsite.ReplicaID(testsite.PlainService, n, "v1")))
		}
		for n := range 5 {
			id := fmt.Sprint("r", n)
			an := do(rs, request{id: id, path: testsite.UnsafeRoute + "x"})
			qt.Check(t, an.status, qt.Equals, http.StatusOK, qt.Commentf("%s", id))
			qt.Check(t, runsOfRequest(rs, id), qt.HasLen, 1, qt.Commentf("%s", id))
		}
	})
}

// TestCallerDisconnectCancelsRun has the caller disconnect in the middle of a
// stream. The run must end at once, not only when writing the next event fails,
// and must not be repeated.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	opt := standin.ReplicaOptions{Events: 100, Gap: 900 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "90"}}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1, Engine: opt}, func(t *testing.T, rs *testsite.RouterSite) {
		ctx, cancel := context.WithTimeout(t.Context(), 550*time.Millisecond)
		defer cancel()
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x", ctx: ctx})
		qt.Assert(t, an.err, qt.IsNotNil)
		rs.Eventually(200*time.Millisecond, "the run ends", func() bool { return runsOfRequest(rs, "a")[0].Disconnected })
		time.Sleep(time.Second)
		qt.Assert(t, runsOfRequest(rs, "a"), qt.HasLen, 1)
	})
}

// TestCallersCannotSetReservedHeaders sends headers that only the router may set,
// and hop-by-hop headers. The replica must get none of them as the caller sent
// them, and all other headers unchanged.
func TestCallersCannotSetReservedHeaders(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		forged := map[string]string{
			"Tenant": "other", "Hold": "1", "Pin-Ms": "5", "Kv-From": "x", "Kv-Backup": "y", "Expect-Instance": "z",
			"Request-Urgency": "9", "Te": "trailers", "Connection": "Attempt-Id, X-Mine", "X-Mine": "1", "X-Kept": "2",
		}
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x", header: forged})
		qt.Assert(t, an.status, qt.Equals, http.StatusOK)
		he := runsOfRequest(rs, "a")[0].Header
		qt.Assert(t, he.Get("Tenant"), qt.Equals, testsite.Tenant)
		qt.Assert(t, he.Get("Request-Urgency"), qt.Equals, "0")
		qt.Assert(t, he.Get("X-Kept"), qt.Equals, "2")
		for _, name := range []string{"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Te", "X-Mine"} {
			qt.Assert(t, he.Get(name), qt.Equals, "", qt.Commentf("%s", name))
		}
	})
}

// TestDiscardedRunIsNotReportedAsNotRun has the small model's answer discarded and
// the large model refuse the request. The small model's run counts: the request
// must not be refused as one that was not run.
func TestDiscardedRunIsNotReportedAsNotRun(t *testing.T) {
	opt := standin.ReplicaOptions{Events: 3, Delay: 20 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "10"}}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 2, Engine: opt}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{NotRunModel: testsite.LargeModel})
		// The large model refuses the request, so the router runs it on the small
		// one again and delivers that answer.
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
		qt.Assert(t, an.status, qt.Equals, http.StatusOK)
		qt.Assert(t, len(runsOfRequest(rs, "a")), qt.Equals, 2)

		got := make(chan response, 1)
		go func() { got <- do(rs, request{id: "b", path: testsite.EngineRoute + "x"}) }()
		time.Sleep(10 * time.Millisecond) // the small model has the request
		setFaults(rs, standin.ReplicaFaults{NotRun: true})
		an = <-got
		qt.Assert(t, len(runsOfRequest(rs, "b")), qt.Equals, 1)
		qt.Assert(t, an.status, qt.Equals, http.StatusBadGateway)
	})
}
