package endpoint_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/endpoint"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// TestNothingWaitsForAPathThatIsNotWatched has connections fail as a router closes. Their requests
// waited for a second for what nobody finds out any more.
func TestNothingWaitsForAPathThatIsNotWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pa := endpoint.NewPath(testsite.NewNetwork().ForHost(pathHost))
		gr := worker.NewGroup()
		gr.Go(func(ctx context.Context) { pa.Run(ctx, func() []string { return someAddresses(6) }, func(bool) {}) })
		gr.Close()
		pa.Doubt()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		qt.Assert(t, pa.Settle(ctx), qt.IsFalse)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}
