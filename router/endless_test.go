package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/router"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// endlessReplica serves answers that do not end: chunk after chunk of a size, one each interval.
type endlessReplica struct {
	head, start string
	chunk       int
	interval    time.Duration
	// held counts the bytes of the answers that are still open.
	held atomic.Int64
}

// ServeHTTP implements http.Handler.
func (er *endlessReplica) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	sent := int64(0)
	defer func() { er.held.Add(-sent) }()
	wr.Header().Set("Content-Type", er.head)
	wr.Header().Set("Response-Signature", "signed")
	wr.Header().Set("Attempt-Id", rq.Header.Get("Attempt-Id"))
	rc := http.NewResponseController(wr)
	for text := er.start; ; text = strings.Repeat("x", er.chunk) {
		n, err := wr.Write([]byte(text))
		sent += int64(n)
		er.held.Add(int64(n))
		if err != nil || rc.Flush() != nil {
			return
		}
		time.Sleep(er.interval)
	}
}

// TestManyEndlessAnswersHoldLittleTogether has most replicas of a service send answers without end,
// each slowly: a whole answer, or an event, by way of the router and of a peer. Each was held up to
// 8 MiB, or 1 MiB, and all of them passed the memory of a VM (review/3). Callers of the sound
// replicas' service must not notice.
func TestManyEndlessAnswersHoldLittleTogether(t *testing.T) {
	const (
		replicas, callers = 8, 120
		// maxHeld is half of the 112 MiB of the smallest VM. minServed is half of what the sound
		// replica can serve: 8 at a time, 120 ms each, for 20 s.
		maxHeld, minServed = 56 << 20, 8 * 20_000 / 120 / 2
	)
	for _, tt := range []struct {
		name, head, start string
		routers           int
	}{
		{"whole answers", "text/plain", "", 1},
		{"events", "text/event-stream", "id: 1\ndata: ", 1},
		{"whole answers by a peer", "text/plain", "", 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			er := &endlessReplica{head: tt.head, start: tt.start, chunk: 50_000, interval: 100 * time.Millisecond}
			opt := testsite.RouterOptions{Routers: tt.routers, Engines: replicas + 1, Plains: 1}
			withSite(t, opt, func(t *testing.T, rs *testsite.RouterSite) {
				if tt.routers > 1 {
					losePath(rs, opt, pathFaults[0], []int{1})
					time.Sleep(3 * time.Second)
				}
				for n := 1; n <= replicas; n++ {
					ho := testsite.Host(testsite.ReplicaID(testsite.EngineService, n, "v1"))
					rs.Net.Kill(ho)
					rs.Net.Revive(ho)
					rs.Serve(ho, testsite.ReplicaAddress(testsite.EngineService, n, "v1"), er)
				}
				stop, asking := make(chan struct{}), worker.NewGroup()
				var served, refused atomic.Int64
				for n := range callers {
					asking.Go(func(context.Context) {
						for k := 0; ; k++ {
							select {
							case <-stop:
								return
							case <-time.After(200 * time.Millisecond):
							}
							if an := do(rs, request{id: fmt.Sprintf("e%d-%d", n, k), path: testsite.EngineRoute}); an.status == http.StatusOK && an.err == nil {
								served.Add(1)
							} else {
								refused.Add(1)
							}
						}
					})
				}
				held, carried := int64(0), int64(0)
				for n := range 200 {
					time.Sleep(100 * time.Millisecond)
					if tt.routers > 1 {
						carried = max(carried, rs.Routers[2].Dump().(router.State).Relay.Carrying)
					}
					held = max(held, er.held.Load())
					an := do(rs, request{id: fmt.Sprint("s", n), path: testsite.UnsafeRoute})
					qt.Check(t, an.status, qt.Equals, http.StatusOK)
				}
				close(stop)
				asking.Wait()
				t.Logf("%d bytes held at most, %d served, %d not", held, served.Load(), refused.Load())
				qt.Check(t, held > 0 && held < maxHeld, qt.IsTrue, qt.Commentf("%d bytes", held))
				qt.Check(t, served.Load() > minServed, qt.IsTrue)
				qt.Check(t, carried > 0, qt.Equals, tt.routers > 1)
			})
		})
	}
}

// TestEndlessBodyIsGivenUp has the only replica of each service send a body without
// end: of a whole answer, of a stream's event, and of a stream that begins well. The
// caller must get a failure or a broken answer, and the replica's connection must be
// closed before its bytes fill the memory of a VM.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	const maxTaken = 48 << 20 // bytes; a small VM has 112 MB
	for _, tt := range []struct {
		name, service, path, contentType, start string
	}{
		{"whole answer", testsite.PlainService, testsite.SafeRoute, "text/plain", ""},
		{"event", testsite.EngineService, testsite.EngineRoute, "text/event-stream", "id: 1\ndata: "},
		{"second event", testsite.EngineService, testsite.EngineRoute, "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, testsite.RouterOptions{Routers: 1}, func(t *testing.T, rs *testsite.RouterSite) {
				var taken, open atomic.Int64
				endless := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
					open.Add(1)
					defer open.Add(-1)
					wr.Header().Set("Content-Type", tt.contentType)
					wr.Header().Set("Response-Signature", "signed")
					wr.Header().Set("Attempt-Id", rq.Header.Get("Attempt-Id"))
					text := tt.start + strings.Repeat("x", 64<<10)
					for {
						n, err := wr.Write([]byte(text))
						taken.Add(int64(n))
						if err != nil {
							return
						}
						text = strings.Repeat("x", 64<<10)
					}
				})
				rs.Serve("endless", testsite.ReplicaAddress(tt.service, 1, "v1"), endless)
				rs.Register(tt.service, 1, "v1", "ready")
				rs.Eventually(applyLimit, "the replica is used", func() bool {
					_ = do(rs, request{id: "first", path: tt.path})
					return taken.Load() > 0
				})
				taken.Store(0)
				an := do(rs, request{id: "again", path: tt.path})
				qt.Check(t, an.status == http.StatusOK && an.err == nil, qt.IsFalse, qt.Commentf("%d bytes of body", len(an.body)))
				// The replica notices the end of its connection at its next write.
				synctest.Wait()
				qt.Check(t, open.Load(), qt.Equals, int64(0))
				qt.Check(t, taken.Load() < maxTaken, qt.IsTrue, qt.Commentf("%d bytes", taken.Load()))
			})
		})
	}
}
