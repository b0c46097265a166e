package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

const (
	carrierAddress  = "10.1.0.1:83"
	carriedAddress  = "10.2.0.1:80"
	carriedDeadline = 2 * time.Second
)

// serveAt serves a handler on a host until the test ends.
func serveAt(t *testing.T, nw *testsite.Network, ho testsite.Host, address string, ha http.Handler) {
	t.Helper()
	li, err := nw.ForHost(ho).Listen(address)
	qt.Assert(t, err, qt.IsNil)
	sv, gr := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}, worker.NewGroup()
	gr.Go(func(context.Context) { _ = sv.Serve(li) })
	t.Cleanup(func() {
		_ = sv.Close()
		gr.Close()
	})
}

// carrierOf returns the handler of a peer that carries attempts to an endpoint.
func carrierOf(ne network.Network) http.Handler {
	cl := endpoint.NewClient(ne, time.Second)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ms, err := endpoint.ReadCarry(rq)
		if err != nil {
			return
		}
		an, err := cl.Forward(rq.Context(), endpoint.CarriedCall(ms, "http://"+carriedAddress, time.Now()))
		var fa *endpoint.Failure
		if errors.As(err, &fa) {
			endpoint.WriteCarryFailure(wr, fa)
			return
		}
		defer an.Close()
		endpoint.WriteCarried(wr, an)
	})
}

// forwardVia sends a request to the endpoint by way of the carrier.
func forwardVia(nw *testsite.Network) (*endpoint.ForwardAnswer, error) {
	cl := endpoint.NewClient(nw.ForHost("vm"), time.Second)
	return cl.Forward(context.Background(), endpoint.ForwardCall{
		URL: "http://" + carriedAddress, Method: http.MethodPost, Target: "/a%2Fb?c=1", Host: "x.example",
		Header: http.Header{"Attempt-Id": {"r1"}, "X-Two": {"1", "2"}}, Body: []byte("loan"),
		HeaderDeadline: time.Now().Add(carriedDeadline), IdleTimeout: time.Second,
		Via: &endpoint.Via{URL: "http://" + carrierAddress + "/carry", Deadline: time.Now().Add(carriedDeadline)},
	})
}

// withCarrier runs fn with an endpoint, and a peer that carries attempts to it.
func withCarrier(t *testing.T, ha http.HandlerFunc, fn func(t *testing.T, nw *testsite.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		nw := testsite.NewNetwork()
		serveAt(t, nw, "endpoint", carriedAddress, ha)
		serveAt(t, nw, "peer", carrierAddress, carrierOf(nw.ForHost("peer")))
		fn(t, nw)
	})
}

func TestCarriedAnswerIsTheEndpoints(t *testing.T) {
	ha := func(wr http.ResponseWriter, rq *http.Request) {
		body, _ := io.ReadAll(rq.Body)
		wr.Header()["X-Answer"] = []string{rq.RequestURI + " " + rq.Host + " " + rq.Header["X-Two"][1] + " " + string(body)}
		wr.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(wr, "whole")
	}
	withCarrier(t, ha, func(t *testing.T, nw *testsite.Network) {
		an, err := forwardVia(nw)
		qt.Assert(t, err, qt.IsNil)
		defer an.Close()
		body, err := io.ReadAll(an)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "whole")
		qt.Assert(t, an.Status, qt.Equals, http.StatusTeapot)
		qt.Assert(t, an.Header.Get("X-Answer"), qt.Equals, "/a%2Fb?c=1 x.example 2 loan")
		qt.Assert(t, an.Length, qt.Equals, int64(5))
	})
}

// TestBrokenCarriedAnswerIsNotComplete has the endpoint, or the peer, break off an answer. Whose
// failure it is must be known.
func TestBrokenCarriedAnswerIsNotComplete(t *testing.T) {
	half := func(wr http.ResponseWriter, rq *http.Request) {
		_, _ = io.ReadAll(rq.Body)
		_, _ = io.WriteString(wr, "half")
		_ = http.NewResponseController(wr).Flush()
		worker.Sleep(rq.Context(), 500*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	for name, killPeer := range map[string]bool{"endpoint": false, "peer": true} {
		t.Run(name, func(t *testing.T) {
			withCarrier(t, half, func(t *testing.T, nw *testsite.Network) {
				an, err := forwardVia(nw)
				qt.Assert(t, err, qt.IsNil)
				defer an.Close()
				if killPeer {
					nw.Kill("peer")
				}
				_, err = io.ReadAll(an)
				qt.Assert(t, err, qt.IsNotNil)
				fa := an.ReadFailure(err)
				qt.Assert(t, fa.Cause, qt.Equals, endpoint.CauseBroken)
				qt.Assert(t, fa.Sent, qt.IsTrue)
				qt.Assert(t, fa.Hop, qt.Equals, killPeer)
			})
		})
	}
}

// TestRefusedHopIsNotSent has no peer listen, or one that knows no such call: nothing can have
// reached the endpoint. An endpoint that refuses the peer's connection is its own failure.
func TestRefusedHopIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := testsite.NewNetwork()
		check := func(hop bool, cause endpoint.Cause) {
			_, err := forwardVia(nw)
			var fa *endpoint.Failure
			qt.Assert(t, errors.As(err, &fa), qt.IsTrue)
			qt.Assert(t, fa.Sent, qt.IsFalse)
			qt.Assert(t, fa.Hop, qt.Equals, hop)
			qt.Assert(t, fa.Cause, qt.Equals, cause)
		}
		check(true, endpoint.CauseNotCarried)
		sv := http.NewServeMux()
		serveAt(t, nw, "peer", carrierAddress, sv)
		check(true, endpoint.CauseNotCarried)
		sv.Handle("/carry", carrierOf(nw.ForHost("peer")))
		check(false, endpoint.CauseUnreachable)
	})
}

// TestCancelEndsTheCarriedRun has the caller leave while the endpoint runs.
func TestCancelEndsTheCarriedRun(t *testing.T) {
	var ended chan struct{}
	ha := func(wr http.ResponseWriter, rq *http.Request) {
		_, _ = io.ReadAll(rq.Body)
		_ = http.NewResponseController(wr).Flush()
		<-rq.Context().Done()
		close(ended)
	}
	withCarrier(t, ha, func(t *testing.T, nw *testsite.Network) {
		ended = make(chan struct{})
		an, err := forwardVia(nw)
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		an.Close()
		<-ended
		qt.Assert(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	})
}
