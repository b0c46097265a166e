package relay

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// placeQueue holds, by service, the requests that wait for a place at an endpoint.
//
// mu guards byService. No other lock is taken while it is held.
type placeQueue struct {
	mu        sync.Mutex
	byService map[policy.ServiceID]*serviceQueue
}

type serviceQueue struct {
	*admission.Shortage
	// running is the number of this router's requests at endpoints of the service.
	running int
	// pressedAt is when an endpoint was last heard to be pressed; see pressure.
	pressedAt time.Time
	// reported holds what endpoints said of their load in their last answer.
	reported map[policy.EndpointID]reportedLoad
}

func newPlaceQueue() *placeQueue {
	return &placeQueue{byService: map[policy.ServiceID]*serviceQueue{}}
}

// get returns the queue of a service. The caller holds mu.
func (pq *placeQueue) get(id policy.ServiceID) *serviceQueue {
	sq, ok := pq.byService[id]
	if !ok {
		sq = &serviceQueue{Shortage: admission.NewShortage(), reported: map[policy.EndpointID]reportedLoad{}}
		pq.byService[id] = sq
	}
	return sq
}

// with calls fn with the queue of a service locked.
func (pq *placeQueue) with(id policy.ServiceID, fn func(sq *serviceQueue)) {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	fn(pq.get(id))
}

// mayLook reports whether a request may look for a place; see admission.Shortage.MayLook.
func (pq *placeQueue) mayLook(now time.Time, id policy.ServiceID, wa *admission.Waiter, strict bool) (may bool) {
	pq.with(id, func(sq *serviceQueue) { may = sq.MayLook(now, wa, strict) })
	return may
}

// turn returns why a request that waits is not to wait any longer, if so, and whether it may look
// for a place now, in that case once more. One that was displaced may not; one whose wait is over
// may, in whatever order: what kept the endpoints from it may have ended.
func (pq *placeQueue) turn(now time.Time, id policy.ServiceID, wa *admission.Waiter) (why admission.TurnAway, may bool) {
	pq.with(id, func(sq *serviceQueue) {
		why = sq.Check(now, wa)
		may = why == admission.WaitedInVain || why != admission.Displaced && sq.MayLook(now, wa, false)
	})
	return why, may
}

// looked records that a request found no place.
func (pq *placeQueue) looked(now time.Time, id policy.ServiceID, wa *admission.Waiter) {
	pq.with(id, func(sq *serviceQueue) { sq.Looked(now, wa) })
}

// join adds a request, unless its turn is not to be expected before it stops to wait.
func (pq *placeQueue) join(now time.Time, id policy.ServiceID, wa *admission.Waiter) (why admission.TurnAway) {
	pq.with(id, func(sq *serviceQueue) {
		turnedAway, displaced := sq.Offer(now, wa)
		for _, other := range displaced {
			wake(other)
		}
		why = turnedAway
	})
	return why
}

// leave removes a request, and lets the next one look.
func (pq *placeQueue) leave(now time.Time, id policy.ServiceID, wa *admission.Waiter) {
	pq.with(id, func(sq *serviceQueue) {
		sq.Leave(wa)
		wake(sq.Next(now))
	})
}

// took records that a request got a place.
func (pq *placeQueue) took(now time.Time, ca *call, wo placement.Work) {
	pq.with(ca.service.ID, func(sq *serviceQueue) {
		sq.running++
		sq.Took(now, ca.organisationID(), admission.Urgency(ca.urgency), wo)
	})
}

// free records that a request to a service has ended.
func (pq *placeQueue) free(now time.Time, id policy.ServiceID) {
	pq.with(id, func(sq *serviceQueue) {
		sq.running--
		sq.Freed(now)
		wake(sq.Next(now))
	})
}

// wake lets a request look for a place. It does nothing if wa is nil.
func wake(wa *admission.Waiter) {
	if wa == nil {
		return
	}
	select {
	case wa.Turn <- struct{}{}:
	default:
	}
}

// QueueState is what waits for a place at the endpoints of a service.
type QueueState struct {
	// Waiting is the number of requests that wait, by urgency.
	Waiting        map[admission.Urgency]int `json:"waiting"`
	FreedPerSecond float64                   `json:"freed_per_second"`
}

// state returns the queues in which requests wait.
func (pq *placeQueue) state(now time.Time) map[policy.ServiceID]QueueState {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	out := map[policy.ServiceID]QueueState{}
	for id, sq := range pq.byService {
		if waiting := sq.Waiting(); len(waiting) > 0 {
			out[id] = QueueState{Waiting: waiting, FreedPerSecond: sq.FreedPerSecond(now)}
		}
	}
	return out
}

// Waiting returns the number of requests that wait for a place, by urgency.
func (ro *Router) Waiting() map[string]float64 {
	out := map[string]float64{}
	for st := range maps.Values(ro.queue.state(time.Now())) {
		for ur, n := range st.Waiting {
			out[urgencyLabel(ur)] += float64(n)
		}
	}
	return out
}

func urgencyLabel(ur admission.Urgency) string { return strconv.FormatInt(int64(ur), 10) }
