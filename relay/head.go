package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/limit"
	"tanagerpoint.example/tanager/policy"
)

// noteHead records what the answer's head says of its endpoint. The head of another
// request's answer, which came late, says nothing.
func (an *answer) noteHead() {
	if an.head.Request == "" || an.head.Request == an.call.request.ID {
		an.router.noteHead(an.endpoint, an.head, an.status, an.sentAt, an.beganAt)
	}
}

// noteHead records what the head of an answer, which began now, says of its endpoint.
func (ro *Router) noteHead(en policy.Endpoint, head AnswerHead, status int, sentAt, now time.Time) {
	if head.OtherInstance {
		return
	}
	if head.Leaving {
		ro.fleet.noteLeaving(now, en.Run(), true)
	}
	if !head.RetryAt.IsZero() {
		if end, fresh := ro.pauses.Begin(now, en.Run(), head.RetryAt, rand.Float64()); fresh {
			ro.log.InfoLimited(event.EndpointPaused, event.Fields{"endpoint": en.ID, "asked_until": head.RetryAt, "until": end, "request": head.Request})
		}
	}
	if head.HasLoad {
		ro.balancer.RecordLoad(now, en.ID, head.Running+head.Waiting)
	}
	if !head.ColdUntil.IsZero() {
		ro.limits.Cold(now, en.Run(), head.ColdUntil)
	}
	ro.noteLimit(en.ID, head, status, sentAt, now)
	ro.noteBrittle(en, head, status, sentAt, now)
}

// noteBrittle records whether an endpoint is brittle, and what it has room for.
func (ro *Router) noteBrittle(en policy.Endpoint, head AnswerHead, status int, sentAt, now time.Time) {
	if head.Brittle {
		ro.brittle.Named(now, en, head.Refusals)
	} else {
		ro.brittle.NotNamed(now, sentAt, en, head.Signed && status < http.StatusMultipleChoices)
	}
	var load *limit.Occupancy
	if head.HasLoad {
		load = &limit.Occupancy{Running: head.Running, Waiting: head.Waiting, Slots: head.Slots}
	}
	switch {
	case head.Full:
		if until, ok := ro.brittle.Refused(now, en, load); ok {
			ro.log.InfoLimited(event.EndpointRefusedFull, event.Fields{"endpoint": en.ID, "running": head.Running, "waiting": head.Waiting, "until": until, "request": head.Request})
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
func (ro *Router) noteLimit(id policy.EndpointID, head AnswerHead, status int, sentAt, now time.Time) {
	switch {
	case head.HasLimit:
		ro.limits.Named(now, id, limit.Rate(head.Limit))
	case head.Signed && status < http.StatusMultipleChoices:
		ro.limits.NotNamed(now, sentAt, id)
	}
}
