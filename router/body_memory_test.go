package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestManyLargeBodiesAreRefusedNotKept has callers send many bodies as large as the configuration
// allows, while replicas take their time. A router kept them all, and passed the memory of its VM.
// Those that find no room must be told so at once, and small requests must be served meanwhile.
func TestManyLargeBodiesAreRefusedNotKept(t *testing.T) {
	const (
		callers, bodyBytes = 30, 4_000_000
		// maxHeld is a quarter of the 112 MiB of the smallest VM.
		maxHeld = 28 << 20
	)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1, Plains: 4}, func(t *testing.T, rs *testsite.RouterSite) {
				rs.Configure(func(co *testsite.Configuration) { co.Limits.MaxBodyBytes = 1 << 22 })
				time.Sleep(applyLimit)
				var kept, most, runs atomic.Int64
				slow := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
					n, _ := io.Copy(io.Discard, rq.Body)
					most.Store(max(most.Load(), kept.Add(n)))
					defer kept.Add(-n)
					runs.Add(1)
					time.Sleep(400 * time.Millisecond)
					wr.Header().Set("Response-Signature", "signed")
					wr.Header().Set("Attempt-Id", rq.Header.Get("Attempt-Id"))
				})
				for n := 1; n <= 4; n++ {
					ho := testsite.Host(testsite.ReplicaID(testsite.PlainService, n, "v1"))
					rs.Net.Kill(ho)
					rs.Net.Revive(ho)
					rs.Serve(ho, testsite.ReplicaAddress(testsite.PlainService, n, "v1"), slow)
				}
				asking := worker.NewGroup()
				var served, refused atomic.Int64
				for n := range callers {
					asking.Go(func(context.Context) {
						an := doBody(rs, fmt.Sprint("large", n), strings.Repeat("x", bodyBytes), chunked)
						switch an.status {
						case http.StatusOK:
							served.Add(1)
						case http.StatusServiceUnavailable:
							refused.Add(1)
							qt.Check(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
						default:
							t.Errorf("status %d, %v", an.status, an.err)
						}
					})
				}
				time.Sleep(200 * time.Millisecond)
				qt.Check(t, doBody(rs, "small", "loan", chunked).status, qt.Equals, http.StatusOK)
				asking.Wait()
				qt.Check(t, served.Load() > 0, qt.IsTrue)
				qt.Check(t, runs.Load(), qt.Equals, served.Load()+1, qt.Commentf("%d were refused", refused.Load()))
				qt.Check(t, most.Load() <= maxHeld, qt.IsTrue, qt.Commentf("%d bytes of bodies in service", most.Load()))
			})
		})
	}
}

// doBody sends an unsafe request with a body, with or without a length.
func doBody(rs *testsite.RouterSite, id, body string, chunked bool) response {
	var rd io.Reader = strings.NewReader(body)
	if chunked {
		rd = io.MultiReader(rd)
	}
	rq, err := http.NewRequest(http.MethodPost, "http://"+testsite.RouterAddress(1, 80)+testsite.UnsafeRoute, rd)
	if err != nil {
		return response{err: err}
	}
	rq.Host = testsite.RouteHost
	rq.Header = http.Header{"Attempt-Id": {id}, "Deadline-Remaining": {"20000"}, "Key": {testsite.CallerKey}}
	an, err := rs.Client().Do(rq)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = an.Body.Close() }()
	text, err := io.ReadAll(an.Body)
	return response{status: an.StatusCode, header: an.Header, body: string(text), err: err}
}
