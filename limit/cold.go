package limit

import (
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/vm"
)

const (
	// minColdSharers is the number of routers that share the rate of a cold endpoint at least. Beyond
	// that there is one for each request a second, so that each sends less than one a second: however
	// their requests coincide, no more than one of each arrives in a second.
	minColdSharers = 2
	// coldSlotShare is the share of its slots that an endpoint bears a second while it is cold, if
	// its service does not say what it bears.
	coldSlotShare = 0.25
	minColdRate   = Rate(1)
	// Once an endpoint is warm, its rate doubles every warmStep for warmTime; then it has no limit.
	warmStep = 500 * time.Millisecond
	warmTime = 4 * warmStep
	// presumedCold is how long an endpoint counts as cold after its evacuation: a little more than
	// the time between two of its registrations.
	presumedCold = 1500 * time.Millisecond
	// rosterMemory is for how long a router that has fallen silent counts among those that share:
	// it may have been cut off, and goes on to send.
	rosterMemory = 2 * time.Minute
)

// coldBounds are those of the time for which an endpoint says that it is cold.
var coldBounds = quantity.Bounds[time.Duration]{Min: 0, Max: time.Hour}

// coldness is the newest that is known of an endpoint's coldness.
type coldness struct {
	// until is when the endpoint is warm, zero if it never was cold.
	until time.Time
	// at is when an answer that said so arrived at a router, or the registration here; own whether
	// it was an answer to this router.
	at  time.Time
	own bool
	// registered is the registration that was applied last.
	registered *rpc.Endpoint
	// rate is what the endpoint bears from all routers together, share this router's part.
	rate, share Rate
}

// coldWord is what an endpoint said of its coldness.
type coldWord struct {
	at, until time.Time
	own       bool
}

// ColdRate returns the requests a second that a cold endpoint bears from all routers together.
func ColdRate(sv policy.Service, en policy.Endpoint) Rate {
	if sv.Service != nil && sv.ColdPerSecond > 0 {
		return rateBounds.Clamp(Rate(sv.ColdPerSecond))
	}
	return max(minColdRate, Rate(coldSlotShare*float64(en.Slots)))
}

// ColdShare returns a router's part of the rate of a cold endpoint in a failure domain, 0 if others
// of the routers share it. Routers that a router does not know yet have their part, too.
func ColdShare(routers []peer.Holder, self vm.ID, fd policy.FailureDomain, id policy.EndpointID, ra Rate) Rate {
	sharers := max(minColdSharers, sharerBounds.Of(math.Ceil(float64(rateBounds.Clamp(ra)))))
	for _, ho := range peer.SelectNearest(routers, fd, string(id), min(len(routers), sharers)) {
		if ho.VM == self {
			return used(ra) / Rate(min(sharers, max(len(routers), assumedRouters)))
		}
	}
	return 0
}

// shareAt returns this router's part of the endpoint's rate, and false if the endpoint has been warm
// for a while.
func (co coldness) shareAt(now time.Time) (Rate, bool) {
	warmFor := now.Sub(co.until)
	switch {
	case co.until.IsZero() || warmFor >= warmTime:
		return 0, false
	case warmFor < 0:
		return co.share, true
	default:
		return co.share * Rate(math.Exp2(1+float64(warmFor/warmStep))), true
	}
}

// Cold records that an endpoint said in an answer until when it is cold.
func (li *Limits) Cold(now time.Time, er policy.EndpointRun, until time.Time) {
	if li.size.Load() == 0 && !until.After(now) {
		return
	}
	li.applyRegistrations(now)
	li.mu.Lock()
	defer li.mu.Unlock()
	li.applyAnswer(now, er, coldWord{at: now, until: until, own: true})
}

// applyRegistrations applies what the registrations of the policy in force say, unless that has
// been done. Those of endpoints that are not cold, and were not of late, say nothing new.
func (li *Limits) applyRegistrations(now time.Time) {
	if li.registered.Load() == li.holder.Set() {
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	se, before := li.holder.Set(), li.registered.Load()
	for id, wo := range li.known {
		if en, ok := se.Endpoints.ByID(id); ok && wo.cold.registered != en.Endpoint {
			li.applyRegistration(now, se, en)
		}
	}
	for _, en := range se.ColdEndpoints() {
		li.applyRegistration(now, se, en)
	}
	if before != nil {
		li.applyEndedEvacuations(now, before, se)
	}
	li.registered.Store(se)
}

// applyEndedEvacuations takes the endpoints for cold whose evacuation was taken back between two
// policies. The caller holds mu.
func (li *Limits) applyEndedEvacuations(now time.Time, before, se *policy.Set) {
	ended := func(ev policy.Evacuation) bool { return !se.Evacuated(ev.ID) }
	if !slices.ContainsFunc(before.Evacuations.List(), ended) {
		return
	}
	for _, en := range se.Endpoints.List() {
		if fd := policy.FailureDomain(en.FailureDomain); before.Evacuated(fd) && !se.Evacuated(fd) {
			li.presumeCold(now, se, en)
		}
	}
}

// presumeCold takes an endpoint whose evacuation was taken back for cold until it can have said
// whether it is, unless its service does not say what its cold endpoints bear. The caller holds mu.
func (li *Limits) presumeCold(now time.Time, se *policy.Set, en policy.Endpoint) {
	sv, ok := se.Services.ByID(policy.ServiceID(en.Service))
	if wo, known := li.known[en.ID]; !ok || sv.ColdPerSecond <= 0 || known && wo.cold.until.After(now.Add(presumedCold)) {
		return
	}
	li.applyCold(now, se, en, coldWord{at: now, until: now.Add(presumedCold)})
}

// applyRegistration applies what an endpoint's registration says. It says for how long the endpoint
// was cold when it was written, so that what it says ends here no earlier than there. The caller
// holds mu.
func (li *Limits) applyRegistration(now time.Time, se *policy.Set, en policy.Endpoint) {
	wo, ok := li.known[en.ID]
	if !ok && en.ColdRemainingMs <= 0 || ok && wo.cold.registered == en.Endpoint {
		return
	}
	remaining := coldBounds.Clamp(quantity.Milliseconds(en.ColdRemainingMs))
	li.applyCold(now, se, en, coldWord{at: now, until: now.Add(remaining)})
}

// applyAnswer applies what an endpoint's run said in an answer, if that is newer than what is known.
// The caller holds mu.
func (li *Limits) applyAnswer(now time.Time, er policy.EndpointRun, next coldWord) {
	se := li.holder.Set()
	en, ok := se.Endpoints.ByID(er.ID)
	if !ok || en.Run() != er {
		return
	}
	if wo, ok := li.known[en.ID]; ok && !next.at.After(wo.cold.at) || !ok && !next.until.After(now) {
		return
	}
	li.applyCold(now, se, en, next)
}

// applyCold replaces what is known of an endpoint's coldness. The caller holds mu.
func (li *Limits) applyCold(now time.Time, se *policy.Set, en policy.Endpoint, next coldWord) {
	wo := li.wordOf(now, en.ID)
	was, is := now.Before(wo.cold.until), next.until.After(now)
	wo.cold.at, wo.cold.own, wo.cold.registered = next.at, next.own, en.Endpoint
	if !is && !was {
		return
	}
	wo.cold.until = next.until
	if !is {
		wo.cold.until = now
		li.log.InfoLimited(event.EndpointWarm, event.Fields{"endpoint": en.ID, "own": next.own})
		return
	}
	sv, _ := se.Services.ByID(policy.ServiceID(en.Service))
	wo.cold.rate = ColdRate(sv, en)
	li.divideCold(now, en, wo)
	if !was {
		li.log.InfoLimited(event.EndpointCold, event.Fields{"endpoint": en.ID, "until": next.until, "per_second": wo.cold.rate, "share": wo.cold.share, "own": next.own})
	}
}

// divideCold sets this router's part of a cold endpoint's rate. A router that has just started has
// none, as it does not know the others yet. The caller holds mu.
func (li *Limits) divideCold(now time.Time, en policy.Endpoint, wo *word) {
	if _, limited := wo.cold.shareAt(now); !limited {
		return
	}
	wo.cold.share = 0
	if now.Sub(li.startedAt) >= joinTime {
		wo.cold.share = ColdShare(li.roster.routers(), li.group.VM(), policy.FailureDomain(en.FailureDomain), en.ID, wo.cold.rate)
	}
}

// roster holds the routers that are or were known of late.
type roster struct {
	seen map[vm.ID]seenRouter
}

type seenRouter struct {
	router peer.Holder
	at     time.Time
}

func newRoster() roster { return roster{seen: map[vm.ID]seenRouter{}} }

// note records the routers that are known at a time.
func (ro *roster) note(now time.Time, routers []peer.Holder) {
	for _, ho := range routers {
		ro.seen[ho.VM] = seenRouter{ho, now}
	}
	for id, sr := range ro.seen {
		if now.Sub(sr.at) > rosterMemory {
			delete(ro.seen, id)
		}
	}
}

// routers returns the routers that are or were known of late.
func (ro *roster) routers() []peer.Holder {
	var out []peer.Holder
	for _, sr := range ro.seen {
		out = append(out, sr.router)
	}
	return out
}
