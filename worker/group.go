// Package worker starts goroutines in groups that can be waited for.
package worker

import (
	"context"
	"sync"
	"time"
)

// Group runs goroutines that end with it. Close cancels them and waits.
//
// mu guards closed, and keeps goroutines from being started while Close waits.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	mu     sync.Mutex
	closed bool
}

// NewGroup gives an empty group.
func NewGroup() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel}
}

// Context ends when the group is closed.
func (gr *Group) Context() context.Context { return gr.ctx }

// Go runs fn in a goroutine of the group. A closed group runs nothing more.
func (gr *Group) Go(fn func(ctx context.Context)) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if !gr.closed {
		gr.wait.Go(func() { fn(gr.ctx) })
	}
}

// Every runs fn at once and then whenever interval has passed since it ended.
func (gr *Group) Every(interval time.Duration, fn func(ctx context.Context)) {
	gr.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			fn(ctx)
			Sleep(ctx, interval)
		}
	})
}

// Close cancels the goroutines and waits until all have ended.
func (gr *Group) Close() {
	gr.mu.Lock()
	gr.closed = true
	gr.mu.Unlock()
	gr.cancel()
	gr.wait.Wait()
}

// Sleep waits until an interval has passed or ctx ends; false for the latter.
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

// Wait waits until the goroutines have ended, without cancelling them.
func (gr *Group) Wait() { gr.wait.Wait() }
