package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// expectedFactor is the multiple of the mean duration of a route's requests in which a
	// request is expected to end.
	expectedFactor = 2
	// durationSmoothing is the weight of a new duration in the mean of its route.
	durationSmoothing = 0.1
)

// shutdown is the state of a router's graceful shutdown.
type shutdown struct {
	draining atomic.Bool
	// endsAt is the Unix time in nanoseconds by which requests are to be answered, 0 for
	// no limit.
	endsAt atomic.Int64
	// closed is set when no more requests are taken.
	closed atomic.Bool
	// ended is done when the requests in service are to be answered at once.
	ended context.Context
	end   context.CancelFunc
}

func newShutdown() *shutdown {
	sd := &shutdown{}
	sd.ended, sd.end = context.WithCancel(context.Background())
	return sd
}

// Drain makes the router close each connection after its next answer, and refuse requests that
// are not expected to end by a time; zero for no limit.
func (ro *Router) Drain(endsAt time.Time) {
	if !endsAt.IsZero() {
		ro.shutdown.endsAt.Store(endsAt.UnixNano())
	}
	ro.shutdown.draining.Store(true)
}

// Draining reports whether Drain has been called.
func (ro *Router) Draining() bool { return ro.shutdown.draining.Load() }

// RefuseRequests makes the router refuse all requests that arrive from now on.
func (ro *Router) RefuseRequests() { ro.shutdown.closed.Store(true) }

// EndRequests makes the router answer the requests in service at once, except streams that have
// begun: their callers have a part of the answer, and can only be told of its end by the
// connection's.
func (ro *Router) EndRequests() {
	ro.shutdown.closed.Store(true)
	ro.shutdown.end()
}

// refuseDraining returns a refusal if a call is not taken while the router shuts down.
func (ro *Router) refuseDraining(now time.Time, ca *call) *Refusal {
	endsAt := ro.shutdown.endsAt.Load()
	late := endsAt > 0 && ro.expectedEnd(now, ca).After(time.Unix(0, endsAt))
	if !late && !ro.shutdown.closed.Load() {
		return nil
	}
	// Other routers take it at once.
	return refuseNotRun(ReasonDraining, now)
}

// expectedEnd returns when a call that begins now is expected to end: by its deadline, or
// earlier if its route's requests usually do.
func (ro *Router) expectedEnd(now time.Time, ca *call) time.Time {
	mean, ok := ro.durations.mean(ca.route.ID)
	if end := now.Add(expectedFactor * mean); ok && end.Before(ca.deadline) {
		return end
	}
	return ca.deadline
}

// durations holds the mean duration of the requests of each route.
//
// mu guards byRoute. No other lock is taken while it is held.
type durations struct {
	mu      sync.Mutex
	byRoute map[policy.RouteID]time.Duration
}

func newDurations() *durations { return &durations{byRoute: map[policy.RouteID]time.Duration{}} }

// mean returns the mean duration of a route's requests, and false if none is known.
func (du *durations) mean(id policy.RouteID) (time.Duration, bool) {
	du.mu.Lock()
	defer du.mu.Unlock()
	mean, ok := du.byRoute[id]
	return mean, ok
}

func (du *durations) observe(id policy.RouteID, took time.Duration) {
	du.mu.Lock()
	defer du.mu.Unlock()
	mean, ok := du.byRoute[id]
	if !ok {
		mean = took
	}
	du.byRoute[id] = mean + time.Duration(durationSmoothing*float64(took-mean))
}
