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
