package relay

import (
	"net/http"
	"time"

	"tanagerpoint.example/tanager/limit"
)

// noteLimit records the limit that the answer's head names. Only an answer of the service
// that went well shows that it names none.
func (an *answer) noteLimit() {
	now, limits, id := time.Now(), an.router.limits, an.endpoint.ID
	switch {
	case an.head.HasLimit:
		limits.Named(now, id, limit.Rate(an.head.Limit))
	case an.head.Signed && an.status < http.StatusMultipleChoices:
		limits.NotNamed(now, an.sentAt, id)
	}
}

// retryAt returns when the caller of a request that found no free endpoint should try
// again: not before an endpoint may get a request from this router, if limits are why
// none is free.
func (ro *Router) retryAt(now time.Time, ca *call) time.Time {
	at := now.Add(ro.fleet.retryAfter(ca))
	next, ok := ro.limits.NextAt(now, ro.fleet.forService(now, ca.service.ID))
	if ok && next.After(at) {
		return next
	}
	return at
}
