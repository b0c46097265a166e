package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Controller puts a Queue behind blocking calls.
//
// mu guards the queue. No other lock is taken while it is held.
type Controller struct {
	mu    sync.Mutex
	queue *Queue
}

// NewController gives a gate before an empty queue.
func NewController(maxWaiting int) *Controller {
	return &Controller{queue: NewQueue(time.Now(), maxWaiting, rand.Float64())}
}

// Acquire waits until a request may run. The error is a *Refusal, or ctx's when
// the caller has gone; Leave must follow only when there is none.
func (ga *Controller) Acquire(ctx context.Context, ti *Ticket) error {
	ti.wake = make(chan *Refusal, 1)
	ga.change(func(qu *Queue, now time.Time) []*Refusal { return qu.Offer(now, ti) })
	select {
	case re := <-ti.wake:
		return asError(re)
	case <-ctx.Done():
	}
	gone := false
	ga.change(func(qu *Queue, now time.Time) []*Refusal {
		gone = qu.Cancel(now, ti)
		return nil
	})
	if gone {
		return ctx.Err()
	}
	// It started or was refused at the same moment.
	if re := <-ti.wake; re != nil {
		return re
	}
	ga.Release(ti, 0)
	return ctx.Err()
}

func asError(re *Refusal) error {
	if re == nil {
		return nil
	}
	return re
}

// Release ends a request in service; actual is what it cost.
func (ga *Controller) Release(ti *Ticket, actual Cost) {
	ga.change(func(qu *Queue, now time.Time) []*Refusal {
		qu.Done(now, ti, actual)
		return nil
	})
}

// Update runs fn on the queue, and then starts what may run.
func (ga *Controller) Update(fn func(qu *Queue, now time.Time)) {
	ga.change(func(qu *Queue, now time.Time) []*Refusal {
		fn(qu, now)
		return nil
	})
}

// Tick refuses what waits in vain and starts what may run. It must be called
// regularly: floors and headrooms change with time alone.
func (ga *Controller) Tick() {
	ga.change(func(qu *Queue, now time.Time) []*Refusal { return qu.Expire(now) })
}

func (ga *Controller) change(fn func(qu *Queue, now time.Time) []*Refusal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := time.Now()
	refused := fn(ga.queue, now)
	started, late := ga.queue.Dispatch(now)
	for _, re := range append(refused, late...) {
		re.Ticket.wake <- re
	}
	for _, ti := range started {
		ti.wake <- nil
	}
}
