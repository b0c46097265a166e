package router_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/testsite"
)

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
