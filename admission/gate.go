package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Gate puts a Queue behind blocking calls.
//
// mu guards the queue. No other lock is taken while it is held.
type Gate struct {
	mu    sync.Mutex
	queue *Queue
}

// NewGate gives a gate before an empty queue.
func NewGate(maxWaiting int) *Gate {
	return &Gate{queue: NewQueue(time.Now(), maxWaiting, rand.Float64())}
}

// Enter waits until a request may run. The error is a *Refusal, or ctx's when
// the caller has gone; Leave must follow only when there is none.
func (ga *Gate) Enter(ctx context.Context, ti *Ticket) error {
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
	ga.Leave(ti, 0)
	return ctx.Err()
}

func asError(re *Refusal) error {
	if re == nil {
		return nil
	}
	return re
}

// Leave ends a request in service; actual is what it cost.
func (ga *Gate) Leave(ti *Ticket, actual Cost) {
	ga.change(func(qu *Queue, now time.Time) []*Refusal {
		qu.Done(now, ti, actual)
		return nil
	})
}

// Change runs fn on the queue, and then starts what may run.
func (ga *Gate) Change(fn func(qu *Queue, now time.Time)) {
	ga.change(func(qu *Queue, now time.Time) []*Refusal {
		fn(qu, now)
		return nil
	})
}

// Tick refuses what waits in vain and starts what may run. It must be called
// regularly: floors and headrooms change with time alone.
func (ga *Gate) Tick() {
	ga.change(func(qu *Queue, now time.Time) []*Refusal { return qu.Expire(now) })
}

func (ga *Gate) change(fn func(qu *Queue, now time.Time) []*Refusal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	now := time.Now()
	refused := fn(ga.queue, now)
	started, late := ga.queue.Next(now)
	for _, re := range append(refused, late...) {
		re.Ticket.wake <- re
	}
	for _, ti := range started {
		ti.wake <- nil
	}
}
