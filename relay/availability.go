package relay

import (
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// blockedReason says why an endpoint gets no request now. Logs, metrics and the dump show it.
type blockedReason string

const (
	// blockedLeaving: the endpoint is leaving, as the store, an answer or a peer says.
	blockedLeaving blockedReason = "leaving"
	// blockedEvacuated: the endpoint's failure domain is evacuated.
	blockedEvacuated blockedReason = "evacuated"
	// blockedPaused: the endpoint asked this router for a pause.
	blockedPaused blockedReason = "paused"
	// blockedSuspended: the endpoint failed too often.
	blockedSuspended blockedReason = "suspended"
	// blockedLimited: the endpoint names a limit, and this router's part of it is used up.
	blockedLimited blockedReason = "limited"
	// blockedBrittle: the endpoint is brittle, and this router's places there are taken, or it
	// has refused a request for want of room.
	blockedBrittle blockedReason = "brittle"
	// blockedFull: the endpoint has as many requests, or connections, as it may have.
	blockedFull blockedReason = "full"
)

// availability is whether an endpoint may get a request now.
type availability struct {
	// blocked is "" if it may.
	blocked blockedReason
	// retryAt is the soonest time at which it may; zero if that is not known.
	retryAt time.Time
}

func (av availability) ok() bool { return av.blocked == "" }

// availability decides whether an endpoint that is not spared may get a request of any kind.
// It is made for endpoints that ask to be spared in several ways at once: the strictest holds.
// The balancer's lock may be held.
func (ro *Router) availability(now time.Time, en policy.Endpoint, cn placement.Condition) availability {
	if end, ok := ro.pauses.End(now, en.Run()); ok {
		return availability{blockedPaused, end}
	}
	if cn.Suspended {
		return availability{blockedSuspended, cn.SuspendedUntil}
	}
	if !ro.limits.Allows(now, en.ID) {
		next, _ := ro.limits.NextAt(now, []policy.Endpoint{en})
		return availability{blockedLimited, next}
	}
	al := ro.brittle.Allowance(now, en)
	if al.Guarded && (cn.Own >= al.Places || !al.SparedUntil.IsZero()) {
		return availability{blockedBrittle, al.SparedUntil}
	}
	return availability{}
}

// availableTo decides whether an endpoint that is not spared may get a call's request. The
// balancer's lock may be held.
func (ro *Router) availableTo(now time.Time, ca *call, en policy.Endpoint, cn placement.Condition) availability {
	av := ro.availability(now, en, cn)
	if av.ok() && !ro.fleet.hasCapacity(ca, en, cn, int(ro.routers.Load())) {
		return availability{blocked: blockedFull}
	}
	return av
}

// retrySpread is the part of the time until a retry by which the retry is put off at random,
// so that callers that were refused together do not return together.
const retrySpread = 0.25

// retryAt returns when the caller of a request that found no free endpoint should try
// again: not before an endpoint of the service may get a request from this router.
func (ro *Router) retryAt(now time.Time, ca *call) time.Time {
	var soonest time.Time
	for _, en := range ro.fleet.forService(now, ca.service.ID) {
		av := ro.availableTo(now, ca, en, ro.balancer.Condition(now, en.ID))
		if av.retryAt.IsZero() && av.blocked != blockedLimited {
			// It may have a place at any time.
			soonest = now
			break
		}
		if !av.retryAt.IsZero() && (soonest.IsZero() || av.retryAt.Before(soonest)) {
			soonest = av.retryAt
		}
	}
	at := now.Add(ro.fleet.retryAfter(ca))
	if ro.fleet.allEvacuated(now, ca.service.ID) {
		at = now.Add(evacuatedRetryDelay)
	}
	if soonest.After(at) {
		at = soonest
	}
	return at.Add(time.Duration(retrySpread * rand.Float64() * float64(at.Sub(now))))
}

// blockedEndpoints counts the endpoints of a call's service that may not get its request, by
// reason.
func (ro *Router) blockedEndpoints(now time.Time, ca *call) map[blockedReason]int {
	out := map[blockedReason]int{}
	for _, en := range ro.holder.Set().Endpoints.List() {
		if policy.ServiceID(en.Service) != ca.service.ID {
			continue
		}
		av := ro.availableTo(now, ca, en, ro.balancer.Condition(now, en.ID))
		if reason := ro.fleet.spared(en); reason != "" {
			av = availability{blocked: reason}
		}
		if !av.ok() {
			out[av.blocked]++
		}
	}
	return out
}

// Blocked is why an endpoint gets no request, and until when if that is known.
type Blocked struct {
	Reason string     `json:"reason"`
	Until  *time.Time `json:"until,omitempty"`
}

// Blocked returns the endpoints that get no request from this router now.
func (ro *Router) Blocked() map[policy.EndpointID]Blocked {
	out, now := map[policy.EndpointID]Blocked{}, time.Now()
	for _, en := range ro.holder.Set().Endpoints.List() {
		av := ro.availability(now, en, ro.balancer.Condition(now, en.ID))
		if reason := ro.fleet.spared(en); reason != "" {
			av = availability{blocked: reason}
		}
		if av.ok() {
			continue
		}
		bl := Blocked{Reason: string(av.blocked)}
		if !av.retryAt.IsZero() {
			bl.Until = &av.retryAt
		}
		out[en.ID] = bl
	}
	return out
}
