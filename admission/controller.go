package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Controller is a Queue that is safe for concurrent use and whose callers block
// until their request starts or is refused.
//
// mu guards the queue. No other lock is taken while it is held.
type Controller struct {
	mu    sync.Mutex
	queue *Queue
}

// NewController returns a controller with an empty queue, in which at most
// maxWaiting requests wait.
func NewController(maxWaiting int) *Controller {
	return &Controller{queue: NewQueue(time.Now(), maxWaiting, rand.Float64())}
}

// Acquire blocks until the request may run. The error is a *Refusal, or that of
// ctx when it was cancelled first. Only after a nil error must the caller call
// Release.
func (co *Controller) Acquire(ctx context.Context, ti *Ticket) error {
	ti.wake = make(chan *Refusal, 1)
	co.change(func(qu *Queue, now time.Time) []*Refusal { return qu.Offer(now, ti) })
	select {
	case re := <-ti.wake:
		return asError(re)
	case <-ctx.Done():
	}
	cancelled := false
	co.change(func(qu *Queue, now time.Time) []*Refusal {
		cancelled = qu.Cancel(now, ti)
		return nil
	})
	if cancelled {
		return ctx.Err()
	}
	// The request started or was refused while ctx was cancelled.
	if re := <-ti.wake; re != nil {
		return re
	}
	co.Release(ti, 0)
	return ctx.Err()
}

// asError converts a refusal to an error, which is nil for a nil refusal.
func asError(re *Refusal) error {
	if re == nil {
		return nil
	}
	return re
}

// Release ends a running request and charges its actual cost.
func (co *Controller) Release(ti *Ticket, actual Cost) {
	co.change(func(qu *Queue, now time.Time) []*Refusal {
		qu.Done(now, ti, actual)
		return nil
	})
}

// Update calls fn with the queue locked, and then starts the requests that may
// run.
func (co *Controller) Update(fn func(qu *Queue, now time.Time)) {
	co.change(func(qu *Queue, now time.Time) []*Refusal {
		fn(qu, now)
		return nil
	})
}

// Tick refuses waiting requests that can no longer start in time, and starts
// those that may run. It must be called regularly, since the slots available to
// floors and headrooms change with time even when no request arrives or ends.
func (co *Controller) Tick() {
	co.change(func(qu *Queue, now time.Time) []*Refusal { return qu.Expire(now) })
}

func (co *Controller) change(fn func(qu *Queue, now time.Time) []*Refusal) {
	co.mu.Lock()
	defer co.mu.Unlock()
	now := time.Now()
	refused := fn(co.queue, now)
	started, late := co.queue.Dispatch(now)
	for _, re := range append(refused, late...) {
		re.Ticket.wake <- re
	}
	for _, ti := range started {
		ti.wake <- nil
	}
}
