package relay

import (
	"context"
	"sync"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// releaseSelector selects the release of a service that a request runs on, and
// tests releases that are being rolled out. In a roll-out, the candidate is the
// new release; "stable" in a name refers to the release in use.
//
// mu guards states, sums and sumsUntil. The locks of the sessions and of the fleet are taken after it.
type releaseSelector struct {
	router   *Router
	sessions *sessions
	mu       sync.Mutex
	states   map[policy.ServiceID]*rolloutState
	// sums holds what all routers of a large group have observed, until sumsUntil.
	sums      map[peer.ReleaseKey]rollout.Report
	sumsUntil time.Time
	paces     *paces
}

// rolloutState is this router's state of a roll-out.
type rolloutState struct {
	candidate policy.ReleaseID
	health    rollout.HealthTest
	// sent is the number of requests that this router has sent to the candidate.
	sent int64
	// total is what all routers have observed, as this one last knew it.
	total rollout.Report
	// openShare is the share of requests without a session that the candidate gets during
	// the trial.
	openShare float64
	// rejectionReason says why the candidate was rejected, "" if it was not.
	rejectionReason string
	// firstSeenAt is when this router first saw the roll-out.
	firstSeenAt time.Time
	// loggedShare is the candidate's share that was logged last.
	loggedShare float64
	// runningPinned reports whether this router has pinned the sessions that it served
	// before it knew of the roll-out.
	runningPinned bool
}

func newReleaseSelector(ro *Router) *releaseSelector {
	return &releaseSelector{router: ro, sessions: newSessions(), states: map[policy.ServiceID]*rolloutState{}, paces: newPaces()}
}

// selectionReason says why a release was selected for a request. Logs and metrics
// show it.
type selectionReason string

const (
	// reasonNoRollout: the service has no roll-out, or it has ended.
	reasonNoRollout selectionReason = "no_rollout"
	// reasonRejected: the candidate was rejected.
	reasonRejected selectionReason = "rejected"
	// reasonPromoted: every request goes to the candidate.
	reasonPromoted selectionReason = "promoted"
	// reasonAssigned: the session's hash assigns it.
	reasonAssigned selectionReason = "assigned"
	// reasonKept: the session has run on this release before.
	reasonKept selectionReason = "kept"
	// reasonRetry: an attempt of the request has failed.
	reasonRetry selectionReason = "retry"
	// reasonNoCapacity: no endpoint of the selected release had capacity.
	reasonNoCapacity selectionReason = "no_capacity"
)

// selection is the release selected for a request: its endpoints, and those of the
// release in use as a fallback if none of the former has capacity.
type selection struct {
	endpoints, fallback []policy.Endpoint
	reason              selectionReason
}

// selectRelease selects the release for a call. During a trial it may ask another
// router for the release of the call's session.
func (rs *releaseSelector) selectRelease(ctx context.Context, ca *call) selection {
	ro, ok := rs.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok {
		return selection{endpoints: rs.router.fleet.forService(time.Now(), ca.service.ID), reason: reasonNoRollout}
	}
	stable, candidate := rs.endpointsOf(ro)
	switch ro.State {
	case rpc.RolloutState_DONE:
		return selection{endpoints: candidate, reason: reasonNoRollout}
	case rpc.RolloutState_ABORTED:
		return selection{endpoints: stable, reason: reasonNoRollout}
	}
	now := time.Now()
	rm, rejected := rs.momentOf(now, ro)
	if rejected {
		return selection{endpoints: stable, reason: reasonRejected}
	}
	rm.available = len(candidate) > 0
	uses, reason := rs.usesCandidate(ctx, ca, ro, rm)
	// Asking for the session's release may have taken long enough for endpoints to leave.
	stable, candidate = rs.endpointsOf(ro)
	switch {
	case !uses:
		return selection{endpoints: stable, reason: reason}
	case len(candidate) == 0:
		return selection{endpoints: stable, reason: reasonNoCapacity}
	}
	return selection{endpoints: candidate, fallback: stable, reason: reason}
}

// endpointsOf returns the endpoints of the release in use and of the candidate.
func (rs *releaseSelector) endpointsOf(ro policy.Rollout) (stable, candidate []policy.Endpoint) {
	return splitByRelease(rs.router.fleet.forService(time.Now(), policy.ServiceID(ro.Service)), ro)
}

// momentOf returns a roll-out as it is now, and whether the candidate was rejected. It
// logs a change of the candidate's share.
func (rs *releaseSelector) momentOf(now time.Time, ro policy.Rollout) (rm rolloutMoment, rejected bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	st := rs.stateOf(now, ro)
	rm, rejected = rolloutMoment{Plan: rs.plan(ro, st), now: now, openShare: st.openShare}, st.rejectionReason != ""
	share := rm.Share(now)
	if rejected {
		share = 0
	}
	rs.logShare(ro, st, share)
	return rm, rejected
}

// logShare logs a change of the share of requests that the candidate gets from this
// router. The caller holds mu.
func (rs *releaseSelector) logShare(ro policy.Rollout, st *rolloutState, share float64) {
	if st.loggedShare == share {
		return
	}
	st.loggedShare = share
	rs.router.log.Info(event.ReleaseShareChanged, event.Fields{
		"service": ro.Service, "release": ro.ToVersion, "share": share, "open_share": st.openShare, "sent": st.total.Sent,
		"answers": st.total.Total().Candidate.Answers,
		"policy":  rs.router.holder.Set().Revision,
	})
}

// rolloutMoment is a roll-out as a request meets it. openShare is the share of requests without
// a session that the candidate gets before its promotion; available reports whether it has endpoints.
type rolloutMoment struct {
	rollout.Plan
	now       time.Time
	openShare float64
	available bool
}

// usesCandidate reports whether a request goes to the candidate, and why. At a share
// of 1 every request does. Below that, sessions are assigned by their hash, the same at
// every router, and the first half of the roll-out leaves those that run on the release
// in use there. Requests without a session are assigned by their own hash. A request that has
// failed at any endpoint is retried on the release in use.
func (rs *releaseSelector) usesCandidate(ctx context.Context, ca *call, ro policy.Rollout, rm rolloutMoment) (bool, selectionReason) {
	share, id, fraction := rm.Share(rm.now), ca.request.Session, ca.request.sessionFraction(ro.ToVersion)
	inTrial := fraction < rm.TrialShare
	proposed := inTrial && share > 0 && rm.available
	switch {
	case share >= 1:
		return true, reasonPromoted
	case len(ca.failedEndpoints) > 0:
		return false, reasonRetry
	case id == "":
		return fraction < rm.openShare && rm.available, reasonAssigned
	case !inTrial || !rm.KeepsSessions(rm.now):
		return proposed, reasonAssigned
	}
	uses := rs.pin(ctx, ro, id, proposed)
	if uses != proposed {
		return uses, reasonKept
	}
	return uses, reasonAssigned
}

// recordSend counts a request that is sent to a candidate, and records the release that a
// session's request is sent to.
func (rs *releaseSelector) recordSend(now time.Time, ca *call, en policy.Endpoint, reason selectionReason) {
	rs.update(ca.service.ID, en, func(st *rolloutState, candidate bool) {
		if candidate {
			st.sent++
		}
	})
	id := ca.request.Session
	if id == "" {
		return
	}
	key := sessionKey{ca.service.ID, id}
	if last, ok := rs.sessions.release(now, key, rs.sessionRetention()); ok && string(last) != en.Release {
		rs.logMove(ca, last, en, reason)
	}
	rs.sessions.record(now, key, policy.ReleaseID(en.Release))
}

// logMove logs and counts a session that continues on another release.
func (rs *releaseSelector) logMove(ca *call, from policy.ReleaseID, en policy.Endpoint, reason selectionReason) {
	rs.router.metrics.SessionMoves.Add(context.Background(), 1, metric.With(metric.KeyCause, string(reason)))
	rs.router.log.InfoLimited(event.SessionMoved, event.Fields{
		"request": ca.request.ID, "session": ca.request.Session, "service": en.Service, "from": from, "to": en.Release, "reason": reason,
	})
}

// splitByRelease returns the endpoints of the release in use and of a roll-out's candidate. The
// roll-out's record tells which release is in use. Without endpoints of that release, all are in
// use whose release no order has named. Endpoints of a withdrawn release get nothing, even
// if there are no others: the release was found to be bad, and a refused caller may come back.
func splitByRelease(ens []policy.Endpoint, ro policy.Rollout) (inUse, candidate []policy.Endpoint) {
	var unordered []policy.Endpoint
	for _, en := range ens {
		switch {
		case en.Release == ro.ToVersion:
			candidate = append(candidate, en)
		case ro.FromVersion != "" && en.Release == ro.FromVersion:
			inUse = append(inUse, en)
		case !ro.Withdrawn(en.Release):
			unordered = append(unordered, en)
		}
	}
	switch {
	case ro.FromVersion == ro.ToVersion:
		// The release in use was ordered again.
		return candidate, candidate
	case len(inUse) == 0:
		return unordered, candidate
	}
	return inUse, candidate
}

// stateOf returns the state of a roll-out. It creates one if there is none or if
// the service's last roll-out had another candidate. The caller holds mu.
func (rs *releaseSelector) stateOf(now time.Time, ro policy.Rollout) *rolloutState {
	id := policy.ServiceID(ro.Service)
	st, ok := rs.states[id]
	if !ok || st.candidate != policy.ReleaseID(ro.ToVersion) {
		st = &rolloutState{candidate: policy.ReleaseID(ro.ToVersion), firstSeenAt: now}
		rs.states[id] = st
	}
	return st
}

const (
	// trialDelay is the time from the start of a roll-out to its trial in a small
	// group. Routers take this long to learn of the start and to pin the sessions that
	// stay on the release in use. In larger groups it is longer, up to maxTrialDelay.
	trialDelay    = 2500 * time.Millisecond
	maxTrialDelay = 4 * time.Second
	// maxTrialDelayShare limits the delay to a share of the roll-out's duration.
	maxTrialDelayShare = 0.3
)

// plan returns the schedule of a roll-out. It begins at the recorded start or, as
// long as there is none, when this router first saw the roll-out.
func (rs *releaseSelector) plan(ro policy.Rollout, st *rolloutState) rollout.Plan {
	started := st.firstSeenAt
	if ro.StartedAtMs > 0 {
		started = time.UnixMilli(ro.StartedAtMs)
	}
	duration := quantity.Milliseconds(ro.DurationMs)
	delay := min(rs.router.peers.ScaleInterval(trialDelay), maxTrialDelay, time.Duration(maxTrialDelayShare*float64(duration)))
	pl := rollout.Plan{StartedAt: started, TrialAt: started.Add(delay), DeadlineAt: started.Add(duration), TrialShare: ro.TrialShare}
	if ro.PromotedAtMs > 0 {
		pl.PromotedAt = time.UnixMilli(ro.PromotedAtMs)
	}
	return pl
}
