package relay

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

const (
	// brittleWaitShare is the part of a route's latency target for which a request waits at
	// most for a place at an endpoint whose places are divided among the routers: nowhere else
	// is there one.
	brittleWaitShare = 1.0 / 3
	// waitShare is the same for other endpoints. Its caller may have more luck elsewhere, for
	// which it needs most of the time.
	waitShare = 0.1
	// minPlaces is the number of places that are to become free while such a request waits,
	// beyond those for the requests before it.
	minPlaces = 0.5
	// placeCheckInterval is how often a request that waits looks for a place by itself: a
	// larger share, or the end of a pause, frees places too.
	placeCheckInterval = 100 * time.Millisecond
)

// placeWait is a call's wait for a place.
type placeWait struct {
	router *Router
	call   *call
	waiter *admission.Waiter
	since  time.Time
	guard  limit.Guard
}

// choosePlace chooses an endpoint for a call as chooseEndpoint does. If all endpoints have as many
// requests as they may have, the call waits for a place for a short time, if its turn is to be
// expected.
func (ro *Router) choosePlace(ctx context.Context, ca *call) (*attempt, *failure) {
	now := time.Now()
	ca.denial = nil
	pw := &placeWait{router: ro, call: ca, since: now, guard: ro.brittle.Guard(now, ca.service.ID)}
	ca.work, ca.evenPart = ro.job(ca).Work, ro.fleet.evenPart(now, ca.service.ID, int(ro.routers.Load()))
	pw.waiter = pw.newWaiter(now)
	none := noEndpointFailure()
	if ro.queue.mayLook(now, ca.service.ID, pw.waiter, pw.guard != limit.NotGuarded) {
		at, fa := ro.chooseEndpoint(ctx, ca)
		if fa == nil {
			return at, nil
		}
		none = fa
	}
	if !ro.mayFreePlace(now, ca) {
		// Since the choice, an answer may have shown that the endpoints have room.
		return ro.chooseEndpoint(ctx, ca)
	}
	if why := ro.queue.join(now, ca.service.ID, pw.waiter); why != admission.NotTurnedAway {
		ca.denial = pw.denied(now, why)
		return nil, none
	}
	defer func() { ro.queue.leave(time.Now(), ca.service.ID, pw.waiter) }()
	return pw.await(ctx)
}

// newWaiter returns the call as the queue sees it.
func (pw *placeWait) newWaiter(now time.Time) *admission.Waiter {
	ca, wait, places := pw.call, time.Duration(waitShare*float64(pw.call.route.LatencyTarget())), minPlaces
	switch pw.guard {
	case limit.GuardedBrittle:
		wait, places = time.Duration(brittleWaitShare*float64(ca.route.LatencyTarget())), 0
	case limit.GuardedUnheard:
		wait = limit.UnheardTime
	}
	return &admission.Waiter{
		Organisation: ca.organisationID(), Urgency: admission.Urgency(ca.urgency),
		Since: ca.request.ReceivedAt, Target: ca.request.ReceivedAt.Add(ca.route.LatencyTarget()),
		Work: ca.work, Until: now.Add(min(ca.deadline.Sub(now), wait)), MinPlaces: places,
		// Until the first answer the time that a request takes is not known.
		Unbounded: pw.guard == limit.GuardedUnheard, Turn: make(chan struct{}, 1),
	}
}

// mayFreePlace reports whether an endpoint of a call's service gets no request only because it, or
// this router's part of it, is full.
func (ro *Router) mayFreePlace(now time.Time, ca *call) bool {
	return slices.ContainsFunc(ro.fleet.forService(now, ca.service.ID), func(en policy.Endpoint) bool {
		av := ro.availableTo(now, ca, en, ro.balancer.Condition(now, en.ID))
		return av.blocked == blockedFull || av.blocked == blockedBrittle && av.retryAt.IsZero()
	})
}

func noEndpointFailure() *failure {
	return &failure{err: eris.New("no endpoint is available"), notRun: true, unsent: true, noEndpoint: true}
}

// await chooses an endpoint for the call as soon as one has a place and it is its turn, as long as
// it may wait.
func (pw *placeWait) await(ctx context.Context) (*attempt, *failure) {
	ro, id := pw.router, pw.call.service.ID
	end := time.NewTimer(time.Until(pw.waiter.Until))
	defer end.Stop()
	check := time.NewTicker(placeCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-pw.waiter.Turn:
		case <-check.C:
		case <-end.C:
		case <-ctx.Done():
			return nil, noEndpointFailure()
		}
		now := time.Now()
		why, may := ro.queue.turn(now, id, pw.waiter)
		if may {
			if at, fa := ro.chooseEndpoint(ctx, pw.call); fa == nil {
				pw.placed()
				return at, nil
			}
			ro.queue.looked(time.Now(), id, pw.waiter)
		}
		if why != admission.NotTurnedAway {
			pw.call.denial = pw.denied(now, why)
			return nil, noEndpointFailure()
		}
	}
}

// placed records that the call got a place after it waited.
func (pw *placeWait) placed() {
	ca, waited := pw.call, time.Since(pw.since)
	pw.router.metrics.QueueWait.Record(context.Background(), waited.Seconds(), metric.With(metric.KeyRank, urgencyLabel(pw.waiter.Urgency)))
	pw.router.log.InfoLimited(event.PlaceAwaited, event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "service": ca.service.ID, "organisation": ca.organisationID(),
		"urgency": ca.urgency, "waited_ms": waited.Milliseconds(),
	})
}

// placeDenial is why a call got no place the last time it looked for one.
type placeDenial struct {
	why    admission.TurnAway
	waiter *admission.Waiter
	// since is when it began to wait, and at when it ended.
	since, at time.Time
}

func (pw *placeWait) denied(now time.Time, why admission.TurnAway) *placeDenial {
	return &placeDenial{why: why, waiter: pw.waiter, since: pw.since, at: now}
}

// turnAway records why a call that is refused got no place, if it is refused for that, and when its
// caller should come back.
func (ro *Router) turnAway(now time.Time, ca *call) {
	de := ca.denial
	if de == nil {
		return
	}
	fields := event.Fields{
		"request": ca.request.ID, "route": ca.route.ID, "service": ca.service.ID, "organisation": ca.organisationID(),
		"urgency": ca.urgency, "waited_ms": de.at.Sub(de.since).Milliseconds(), "why": de.why, "work_ms": int64(float64(de.waiter.Work) * 1000),
		"left_ms": ca.deadline.Sub(now).Milliseconds(), "blocked": ro.blockedEndpoints(now, ca),
	}
	ro.queue.with(ca.service.ID, func(sq *serviceQueue) {
		ca.returnAt = sq.ReturnAt(now, de.waiter, now.Add(ro.fleet.defaultRetry(ca)), ca.deadline)
		fields["waiting"], fields["freed_per_second"] = sq.Waiting(), sq.FreedPerSecond(now)
	})
	fields["return_ms"] = ca.returnAt.Sub(now).Milliseconds()
	ro.metrics.TurnedAway.Add(context.Background(), 1, metric.With(metric.KeyRank, urgencyLabel(de.waiter.Urgency), metric.KeyCause, string(de.why)))
	ro.log.WarnLimited(event.PlaceNotExpected, nil, fields)
}

// freePlace gives the attempt's place at its endpoint back. An endpoint may go on with a request
// that was given up.
func (at *attempt) freePlace(re placement.Result) {
	ro, now := at.router, time.Now()
	switch re {
	case placement.Neutral, placement.Failed:
		ro.brittle.Abandoned(now, at.endpoint)
	case placement.Succeeded:
		ro.brittle.Served(now, at.endpoint, now.Sub(at.sentAt))
	}
	ro.queue.free(now, at.call.service.ID)
}
