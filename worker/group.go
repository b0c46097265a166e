// Package worker runs goroutines in groups that can be cancelled and waited for.
package worker

import (
	"context"
	"sync"
	"time"
)

// Group runs goroutines under a common context. Close cancels the context and
// waits for them. Its methods may be called concurrently.
//
// mu guards closed. Go holds it while it starts a goroutine, so that none is
// started once Close has begun to wait.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	mu     sync.Mutex
	closed bool
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the group's context, which is cancelled by Close.
func (gr *Group) Context() context.Context { return gr.ctx }

// Go runs fn in a new goroutine of the group. It does nothing if the group is
// closed.
func (gr *Group) Go(fn func(ctx context.Context)) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if !gr.closed {
		gr.wait.Go(func() { fn(gr.ctx) })
	}
}

// Every starts a goroutine that calls fn at once, and again each time that interval
// has passed since fn returned, until the group is closed.
func (gr *Group) Every(interval time.Duration, fn func(ctx context.Context)) {
	gr.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			fn(ctx)
			Sleep(ctx, interval)
		}
	})
}

// Close cancels the group's context and blocks until all goroutines have
// returned.
func (gr *Group) Close() {
	gr.mu.Lock()
	gr.closed = true
	gr.mu.Unlock()
	gr.cancel()
	gr.wait.Wait()
}

// Sleep blocks until interval has passed or ctx is done, and reports whether the
// interval has passed.
func Sleep(ctx context.Context, interval time.Duration) bool {
	tm := time.NewTimer(interval)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}

// Wait blocks until all goroutines have returned, without cancelling them.
func (gr *Group) Wait() { gr.wait.Wait() }
