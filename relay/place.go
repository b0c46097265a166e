package relay

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// placeWaitShare is the part of a route's latency target for which a request waits at
	// most for a place at an endpoint whose places are divided among the routers.
	placeWaitShare = 1.0 / 3
	// placeCheckInterval is how often a request that waits looks for a place by itself: a
	// larger share, or the end of a pause, frees places too.
	placeCheckInterval = 100 * time.Millisecond
	// freedSmoothing is the time constant of the rate at which places become free.
	freedSmoothing = time.Second
)

// placeQueue holds, by service, the requests that wait for a place at an endpoint, in the order
// of arrival.
//
// mu guards byService. No other lock is taken while it is held.
type placeQueue struct {
	mu        sync.Mutex
	byService map[policy.ServiceID]*serviceQueue
}

type serviceQueue struct {
	waiting []chan struct{}
	freed   freedRate
}

// freedRate measures how many places become free in a second.
type freedRate struct {
	value float64
	at    time.Time
}

// perSecond returns the rate.
func (fr freedRate) perSecond(now time.Time) float64 {
	return fr.value * math.Exp(-now.Sub(fr.at).Seconds()/freedSmoothing.Seconds())
}

// add counts a place that became free.
func (fr freedRate) add(now time.Time) freedRate {
	return freedRate{value: fr.perSecond(now) + 1/freedSmoothing.Seconds(), at: now}
}

func newPlaceQueue() *placeQueue {
	return &placeQueue{byService: map[policy.ServiceID]*serviceQueue{}}
}

// get returns the queue of a service. The caller holds mu.
func (pq *placeQueue) get(id policy.ServiceID) *serviceQueue {
	sq, ok := pq.byService[id]
	if !ok {
		sq = &serviceQueue{}
		pq.byService[id] = sq
	}
	return sq
}

// empty reports whether no request waits for an endpoint of a service.
func (pq *placeQueue) empty(id policy.ServiceID) bool {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	return len(pq.get(id).waiting) == 0
}

// join adds a request, unless its turn is not to be expected within a time. The channel gets a
// value when the request may look for a place. unbounded lets any number of requests wait.
func (pq *placeQueue) join(now time.Time, id policy.ServiceID, within time.Duration, unbounded bool) (chan struct{}, bool) {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	sq := pq.get(id)
	if !unbounded && float64(len(sq.waiting)) >= sq.freed.perSecond(now)*within.Seconds() {
		return nil, false
	}
	turn := make(chan struct{}, 1)
	sq.waiting = append(sq.waiting, turn)
	return turn, true
}

// leave removes a request, and lets the next one look.
func (pq *placeQueue) leave(id policy.ServiceID, turn chan struct{}) {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	sq := pq.get(id)
	sq.waiting = slices.DeleteFunc(sq.waiting, func(other chan struct{}) bool { return other == turn })
	sq.wake()
}

// wake lets the request that has waited longest look for a place.
func (sq *serviceQueue) wake() {
	if len(sq.waiting) == 0 {
		return
	}
	select {
	case sq.waiting[0] <- struct{}{}:
	default:
	}
}

// free records that a request to a service has ended.
func (pq *placeQueue) free(now time.Time, id policy.ServiceID) {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	sq := pq.get(id)
	sq.freed = sq.freed.add(now)
	sq.wake()
}

// choosePlace chooses an endpoint for a call as chooseEndpoint does. If the places of the
// service's endpoints are divided among the routers, and this router's are taken, the call waits
// for one for a short time, if one is to be expected.
func (ro *Router) choosePlace(ctx context.Context, ca *call) (*attempt, *failure) {
	now, id := time.Now(), ca.service.ID
	guard := ro.brittle.Guard(now, id)
	if guard == limit.NotGuarded {
		return ro.chooseEndpoint(ctx, ca)
	}
	none := noEndpointFailure()
	if ro.queue.empty(id) {
		at, fa := ro.chooseEndpoint(ctx, ca)
		if fa == nil {
			return at, nil
		}
		none = fa
	}
	if !ro.mayFreePlace(now, ca) {
		// Since the choice, an answer may have shown that the endpoints are not brittle.
		return ro.chooseEndpoint(ctx, ca)
	}
	wait := min(time.Until(ca.deadline), time.Duration(placeWaitShare*float64(ca.route.LatencyTarget())))
	if guard == limit.GuardedUnheard {
		wait = min(time.Until(ca.deadline), limit.UnheardTime)
	}
	// Until the first answer the time that a request takes is not known.
	turn, ok := ro.queue.join(now, id, wait, guard == limit.GuardedUnheard)
	if !ok {
		return nil, none
	}
	defer ro.queue.leave(id, turn)
	return ro.awaitPlace(ctx, ca, turn, now.Add(wait))
}

// mayFreePlace reports whether an endpoint of a call's service gets no request only because this
// router's places there are taken.
func (ro *Router) mayFreePlace(now time.Time, ca *call) bool {
	return slices.ContainsFunc(ro.fleet.forService(now, ca.service.ID), func(en policy.Endpoint) bool {
		av := ro.availableTo(now, ca, en, ro.balancer.Condition(now, en.ID))
		return av.blocked == blockedBrittle && av.retryAt.IsZero()
	})
}

func noEndpointFailure() *failure {
	return &failure{err: eris.New("no endpoint is available"), notRun: true, unsent: true, noEndpoint: true}
}

// awaitPlace chooses an endpoint for a call as soon as one has a place, until a time.
func (ro *Router) awaitPlace(ctx context.Context, ca *call, turn <-chan struct{}, until time.Time) (*attempt, *failure) {
	end := time.NewTimer(time.Until(until))
	defer end.Stop()
	check := time.NewTicker(placeCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-turn:
		case <-check.C:
		case <-end.C:
			return ro.chooseEndpoint(ctx, ca)
		case <-ctx.Done():
			return nil, noEndpointFailure()
		}
		if at, fa := ro.chooseEndpoint(ctx, ca); fa == nil {
			return at, nil
		}
	}
}

// freePlace gives the attempt's place at its endpoint back. An endpoint may go on with a request
// that was given up.
func (at *attempt) freePlace(re placement.Result) {
	ro, now := at.router, time.Now()
	if re == placement.Neutral || re == placement.Failed {
		ro.brittle.Abandoned(now, at.endpoint)
	}
	ro.queue.free(now, at.call.service.ID)
}
