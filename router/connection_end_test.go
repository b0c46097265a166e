package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
)

// suspensionLimit is longer than an endpoint is suspended after failures.
const suspensionLimit = 15 * time.Second

// TestAnswerThatEndsWithItsConnection has replicas answer with neither a length nor
// chunks. A stream that ended before its first event was passed on as a complete one
// without events.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		faults     standin.ReplicaFaults
		complete   bool
	}{
		{"whole body", testsite.SafeRoute, standin.ReplicaFaults{}, true},
		{"whole stream", testsite.EngineRoute, standin.ReplicaFaults{}, true},
		{"stream that ends inside an event", testsite.EngineRoute, standin.ReplicaFaults{CutAfter: 2}, false},
		{"stream that ends before its first event", testsite.EngineRoute, standin.ReplicaFaults{CutAtHead: true}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Engines: 2, Plains: 2}, func(t *testing.T, rs *testsite.RouterSite) {
				tt.faults.EndsWithConnection = true
				setFaults(rs, tt.faults)
				for n := range 5 {
					an := do(rs, request{id: fmt.Sprint("all-", n), path: tt.path})
					qt.Assert(t, an.status == http.StatusOK && an.err == nil, qt.Equals, tt.complete, qt.Commentf("%v", an))
				}
				time.Sleep(suspensionLimit)
				rs.Replicas[testsite.ReplicaID(testsite.EngineService, 2, "v1")].SetFaults(standin.ReplicaFaults{EndsWithConnection: true})
				for n := range 5 {
					an := do(rs, request{id: fmt.Sprint("one-", n), path: tt.path})
					qt.Assert(t, an.err, qt.IsNil)
					qt.Assert(t, an.status, qt.Equals, http.StatusOK)
					if tt.path == testsite.EngineRoute {
						qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3", "4", "5"})
					}
				}
			})
		})
	}
}

// TestConnectionStaysOpenAfterAnEmptyNotFound has replicas answer 404 without a body. The router
// closed the caller's connection after that without saying so.
func TestConnectionStaysOpenAfterAnEmptyNotFound(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1, Plains: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		setFaults(rs, standin.ReplicaFaults{Status: http.StatusNotFound})
		co, err := dialRouter(rs, 1)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = co.Close() }()
		for n := range 3 {
			an, sent := co.finish(head(http.MethodGet, testsite.SafeRoute, fmt.Sprint(n)) + drainBody)
			qt.Assert(t, sent, qt.IsTrue)
			qt.Assert(t, an.err, qt.IsNil)
			qt.Assert(t, an.status, qt.Equals, http.StatusNotFound)
			qt.Assert(t, an.body, qt.Equals, "")
		}
	})
}

// TestImpossibleStatusIsNotPassedOn has replicas answer with a status that is none. The router
// closed the caller's connection without an answer.
func TestImpossibleStatusIsNotPassedOn(t *testing.T) {
	withSite(t, testsite.RouterOptions{Routers: 1}, func(t *testing.T, rs *testsite.RouterSite) {
		id := testsite.ReplicaID(testsite.PlainService, 1, "v1")
		li, err := rs.Net.ForHost(testsite.Host(id)).Listen(testsite.ReplicaAddress(testsite.PlainService, 1, "v1"))
		qt.Assert(t, err, qt.IsNil)
		testsite.AcceptEach(t, li, func(co net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(co)); err == nil {
				_, _ = io.WriteString(co, "HTTP/1.1 099 None\r\nResponse-Signature: signed\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n")
			}
		})
		rs.Register(testsite.PlainService, 1, "v1", "ready")
		time.Sleep(applyLimit)
		an := do(rs, request{id: "a", path: testsite.UnsafeRoute})
		qt.Assert(t, an.err, qt.IsNil)
		qt.Assert(t, an.status, qt.Equals, http.StatusBadGateway)
	})
}

// TestStreamWhoseEndComesLateIsComplete pauses a replica between the last event of its stream and
// the end. The end was not written to the caller, for whom the stream broke off.
func TestStreamWhoseEndComesLateIsComplete(t *testing.T) {
	engine := standin.ReplicaOptions{Events: 3, Gap: 100 * time.Millisecond, Confidence: map[string]string{testsite.SmallModel: "90"}}
	withSite(t, testsite.RouterOptions{Routers: 1, Engines: 1, Engine: engine}, func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(longTimeouts)
		time.Sleep(applyLimit)
		time.AfterFunc(250*time.Millisecond, func() {
			rs.Replicas[testsite.ReplicaID(testsite.EngineService, 1, "v1")].Pause(12 * time.Second)
		})
		an := do(rs, request{id: "a", path: testsite.EngineRoute + "x"})
		qt.Assert(t, an.err, qt.IsNil)
		qt.Assert(t, eventIDs(an.body), qt.DeepEquals, []string{"1", "2", "3"})
	})
}
