package testsite

import (
	"context"
	"net"
	"testing"

	"tanagerpoint.example/tanager/worker"
)

// AcceptEach calls serve with each connection that a listener accepts, in a goroutine of its own. A
// connection is closed when serve returns, or when the test ends.
func AcceptEach(t testing.TB, li net.Listener, serve func(co net.Conn)) {
	gr := worker.NewGroup()
	t.Cleanup(gr.Close)
	gr.Go(func(ctx context.Context) {
		context.AfterFunc(ctx, func() { _ = li.Close() })
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			gr.Go(func(ctx context.Context) {
				stop := context.AfterFunc(ctx, func() { _ = co.Close() })
				serve(co)
				if stop() {
					_ = co.Close()
				}
			})
		}
	})
}
