package relay

import (
	"context"
	"slices"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
)

// giveUp reports whether an attempt whose endpoint is silent gives way to another one. It
// does so only once the other one has its place at an endpoint, and the retry its place in
// the budget: otherwise the answer would be lost that the silent endpoint may still give.
func (at *attempt) giveUp() bool {
	if !at.mayMove {
		return false
	}
	// A call that has failed somewhere needs no decision of other routers on its release, so
	// that this does not wait.
	re := at.router.reserve(context.Background(), at.callElsewhere(), failureShare)
	if re == nil {
		return false
	}
	re.call = at.call
	if !at.setReplacement(re) {
		re.cancel()
		return false
	}
	at.retryTaken.Store(true)
	return true
}

// reserve chooses the endpoint for a call that is sent once more, and counts it there and
// within a share of the budget. It returns nil if there is no endpoint or no room in the budget.
func (ro *Router) reserve(ctx context.Context, ca *call, share float64) *attempt {
	if !ro.budgets.allows(time.Now(), ca.service.ID, share) {
		return nil
	}
	at, fa := ro.chooseEndpoint(ctx, ca)
	if fa != nil {
		return nil
	}
	if !ro.budgets.take(time.Now(), ca.service.ID, share) {
		at.cancel()
		return nil
	}
	return at
}

// reserveLarger reserves the run of a call on a larger model, and reports whether there was a
// place for it. The call goes on with it.
func (ro *Router) reserveLarger(ctx context.Context, ca *call, model int) bool {
	larger := ca.forPlacement(model, ca.failedEndpoints)
	larger.work = ro.job(larger).Work
	at := ro.reserve(ctx, larger, escalationShare)
	if at == nil {
		return false
	}
	at.call, ca.replacement, ca.work = ca, at, larger.work
	return true
}

// callElsewhere returns the attempt's call as it is once the attempt has failed. The attempt may be
// under way: the call itself may change meanwhile.
func (at *attempt) callElsewhere() *call {
	ca := at.chosenFor
	return ca.forPlacement(ca.model, append(slices.Clone(ca.failedEndpoints), at.endpoint.ID))
}

// forPlacement returns a call that has only what the choice of an endpoint, and its record in the
// queue for places, need of this one.
func (ca *call) forPlacement(model int, failed []policy.EndpointID) *call {
	return &call{
		request: ca.request, route: ca.route, service: ca.service, organisation: ca.organisation, urgency: ca.urgency,
		deadline: ca.deadline, work: ca.work, evenPart: ca.evenPart, model: model, failedEndpoints: failed,
	}
}

// setReplacement sets the attempt that replaces this one, and reports false if this one has
// ended meanwhile.
func (at *attempt) setReplacement(re *attempt) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.finished {
		return false
	}
	at.replacement = re
	return true
}

// takeReplacement returns the attempt that replaces this one, nil if there is none. The
// caller must send or cancel it.
func (at *attempt) takeReplacement() *attempt {
	at.mu.Lock()
	defer at.mu.Unlock()
	re := at.replacement
	at.replacement = nil
	return re
}

// end marks the attempt as finished, and reports whether it was not before. It returns the
// replacement that was not taken.
func (at *attempt) end() (unused *attempt, first bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.finished {
		return nil, false
	}
	unused, at.replacement, at.finished = at.replacement, nil, true
	return unused, true
}

// cancel gives back the place of an attempt that is not sent. It does nothing if at is nil.
func (at *attempt) cancel() {
	if at != nil {
		at.finish(placement.Neutral)
	}
}

// takeReplacement returns the attempt that the call goes on with, nil if there is none.
func (ca *call) takeReplacement() *attempt {
	re := ca.replacement
	ca.replacement = nil
	return re
}
