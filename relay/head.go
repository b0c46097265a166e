package relay

import (
	"math/rand/v2"
	"net/http"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
)

// noteHead records what the answer's head says of its endpoint. The head of another
// request's answer, which came late, says nothing.
func (an *answer) noteHead() {
	ro, now, en := an.router, an.beganAt, an.endpoint
	if an.head.Request != "" && an.head.Request != an.call.request.ID || an.head.OtherInstance {
		return
	}
	if an.head.Leaving {
		ro.fleet.noteLeaving(now, en.Run(), true)
	}
	if !an.head.RetryAt.IsZero() {
		if end, fresh := ro.pauses.Begin(now, en.Run(), an.head.RetryAt, rand.Float64()); fresh {
			ro.log.InfoLimited(event.EndpointPaused, event.Fields{"endpoint": en.ID, "asked_until": an.head.RetryAt, "until": end, "request": an.call.request.ID})
		}
	}
	if an.head.HasLoad {
		ro.balancer.RecordLoad(now, en.ID, an.head.Running+an.head.Waiting)
	}
	an.noteLimit()
	an.noteBrittle()
}

// noteBrittle records whether the endpoint is brittle, and what it has room for.
func (an *answer) noteBrittle() {
	ro, now, en := an.router, an.beganAt, an.endpoint
	switch {
	case an.head.Brittle:
		ro.brittle.Named(now, en, an.head.Refusals)
	default:
		ro.brittle.NotNamed(now, an.sentAt, en, an.head.Signed && an.status < http.StatusMultipleChoices)
	}
	var load *limit.Occupancy
	if an.head.HasLoad {
		load = &limit.Occupancy{Running: an.head.Running, Waiting: an.head.Waiting, Slots: an.head.Slots}
	}
	switch {
	case an.head.Full:
		if until, ok := ro.brittle.Refused(now, en, load); ok {
			ro.log.InfoLimited(event.EndpointRefusedFull, event.Fields{"endpoint": en.ID, "running": an.head.Running, "waiting": an.head.Waiting, "until": until, "request": an.call.request.ID})
		}
	case load != nil:
		ro.brittle.Reported(now, en, *load)
	}
}

// refusalEndsCall reports whether the endpoint's refusal ends the request: where brittle
// endpoints are full, a request that is sent on from one to the next harms them all.
func (an *answer) refusalEndsCall() bool {
	return an.head.Full && !an.call.mayHaveRun && an.router.brittle.Guard(an.beganAt, an.call.service.ID) == limit.GuardedBrittle
}

// noteLimit records the limit that the answer's head names. Only an answer of the service
// that went well shows that it names none.
func (an *answer) noteLimit() {
	limits, id := an.router.limits, an.endpoint.ID
	switch {
	case an.head.HasLimit:
		limits.Named(an.beganAt, id, limit.Rate(an.head.Limit))
	case an.head.Signed && an.status < http.StatusMultipleChoices:
		limits.NotNamed(an.beganAt, an.sentAt, id)
	}
}
