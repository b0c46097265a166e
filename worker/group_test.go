package worker_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/worker"
)

// TestClosedGroupStartsNoGoroutines calls Go concurrently with Close, as
// handlers do that still run while their daemon shuts down. No goroutine may run
// once Close has returned.
func TestClosedGroupStartsNoGoroutines(t *testing.T) {
	for range 200 {
		gr := worker.NewGroup()
		var running atomic.Int64
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for range 20 {
					gr.Go(func(ctx context.Context) {
						running.Add(1)
						<-ctx.Done()
						running.Add(-1)
					})
				}
			})
		}
		gr.Close()
		qt.Assert(t, running.Load(), qt.Equals, int64(0))
		wg.Wait()
		qt.Assert(t, running.Load(), qt.Equals, int64(0))
	}
}
