package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/metric"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// healthPrefix is the key prefix under which each router publishes its results of
// a service's roll-out: release/SERVICE/VM.
const healthPrefix = "release/"

// releaseSelector selects the release of a service that a request runs on, and
// tests releases that are being rolled out. In a roll-out, the candidate is the
// new release; "stable" in a name refers to the release in use.
//
// mu guards states. The sessions' own lock is taken after it.
type releaseSelector struct {
	router   *Router
	sessions *sessions
	mu       sync.Mutex
	states   map[policy.ServiceID]*rolloutState
}

// rolloutState is this router's state of a roll-out.
type rolloutState struct {
	candidate policy.ReleaseID
	health    rollout.HealthTest
	// stable counts the answers of the release in use during the roll-out.
	stable rollout.Counts
	// rejectionReason says why the candidate was rejected, "" if it was not.
	rejectionReason string
	// settledHere and settledElsewhere are the sessions that stay on the release
	// in use, as seen by this router and as published by the others.
	settledHere, settledElsewhere settledSessions
	// peerAnswers is the number of the candidate's answers at the other routers.
	peerAnswers int64
	// firstSeenAt is when this router first saw the roll-out.
	firstSeenAt time.Time
	// loggedShare is the candidate's share that was logged last.
	loggedShare float64
}

func newReleaseSelector(ro *Router) *releaseSelector {
	return &releaseSelector{router: ro, sessions: newSessions(), states: map[policy.ServiceID]*rolloutState{}}
}

// selectionReason says why a release was selected for a request. Logs and metrics
// show it.
type selectionReason string

const (
	// reasonNoRollout: the service has no roll-out, or it has ended.
	reasonNoRollout selectionReason = "no_rollout"
	// reasonRejected: the candidate was rejected or has no endpoints.
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

// selectRelease selects the release for a call.
func (rs *releaseSelector) selectRelease(now time.Time, ca *call) selection {
	all := rs.router.fleet.forService(now, ca.service.ID)
	ro, ok := rs.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok {
		return selection{endpoints: all, reason: reasonNoRollout}
	}
	stable, candidate := splitByRelease(all, ro.ToVersion)
	switch ro.State {
	case rpc.RolloutState_DONE:
		return selection{endpoints: candidate, reason: reasonNoRollout}
	case rpc.RolloutState_ABORTED:
		return selection{endpoints: stable, reason: reasonNoRollout}
	}
	rs.mu.Lock()
	st := rs.stateOf(now, ro)
	exposed := rollout.TrialShare(rs.router.options().Rollout.GetExposedShare(), len(stable))
	share := rs.plan(ro, st).Share(now, exposed)
	if st.rejectionReason != "" {
		share = 0
	}
	rs.logShare(ro, st, share, len(stable))
	rejected := st.rejectionReason != ""
	rs.mu.Unlock()
	if rejected || len(candidate) == 0 {
		return selection{endpoints: stable, reason: reasonRejected}
	}
	uses, reason := rs.usesCandidate(now, ca, ro, share)
	if !uses {
		return selection{endpoints: stable, reason: reason}
	}
	return selection{endpoints: candidate, fallback: stable, reason: reason}
}

// logShare logs a change of the share of requests that the candidate gets from this
// router. The caller holds mu.
func (rs *releaseSelector) logShare(ro policy.Rollout, st *rolloutState, share float64, endpoints int) {
	if st.loggedShare == share {
		return
	}
	st.loggedShare = share
	rs.router.log.Info(event.ReleaseShareChanged, event.Fields{
		"service": ro.Service, "release": ro.ToVersion, "share": share, "answers": st.peerAnswers + st.health.Answers,
		"endpoints": endpoints, "policy": rs.router.holder.Set().Revision,
	})
}

// usesCandidate reports whether a request goes to the candidate, and why. At a share
// of 1 every request does. Below that, a running session stays on its release and new
// sessions are assigned by the share, but a request that has failed at any
// endpoint is retried on the release in use.
func (rs *releaseSelector) usesCandidate(now time.Time, ca *call, ro policy.Rollout, share float64) (bool, selectionReason) {
	if share >= 1 {
		return true, reasonPromoted
	}
	if len(ca.failedEndpoints) > 0 {
		return false, reasonRetry
	}
	retention := rs.sessionRetention()
	if last, ok := rs.sessions.release(now, sessionKey{ca.service.ID, ca.request.Session}, retention); ok {
		return string(last) == ro.ToVersion, reasonKept
	}
	if ca.request.sessionFraction(ro.ToVersion) >= share {
		return false, reasonAssigned
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.stateOf(now, ro).settledElsewhere.seenSince(hashSession(ca.request.Session), now.Add(-retention)) {
		return false, reasonKept
	}
	return true, reasonAssigned
}

// sessionRetention returns how long a session is remembered after it was last seen.
func (rs *releaseSelector) sessionRetention() time.Duration {
	return retentionFactor * rs.router.options().Serving.GetSessionKeep().AsDuration()
}

// recordSend records the release that a session's request is sent to. If that is
// the release in use and the session's hash may assign it to the candidate during
// the trial, it records for the other routers that the session is settled.
func (rs *releaseSelector) recordSend(now time.Time, ca *call, en policy.Endpoint, reason selectionReason) {
	id := ca.request.Session
	if id == "" {
		return
	}
	key := sessionKey{ca.service.ID, id}
	if last, ok := rs.sessions.release(now, key, rs.sessionRetention()); ok && string(last) != en.Release {
		rs.logMove(ca, last, en, reason)
	}
	rs.sessions.record(now, key, policy.ReleaseID(en.Release))
	ro, ok := rs.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok || !ro.Active() || en.Release == ro.ToVersion || ca.request.sessionFraction(ro.ToVersion) >= rs.router.options().Rollout.GetExposedShare() {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.stateOf(now, ro).settledHere.record(now, hashSession(id))
}

// logMove logs and counts a session that continues on another release.
func (rs *releaseSelector) logMove(ca *call, from policy.ReleaseID, en policy.Endpoint, reason selectionReason) {
	rs.router.metrics.SessionMoves.Add(context.Background(), 1, metric.With(metric.KeyCause, string(reason)))
	rs.router.log.InfoLimited(event.SessionMoved, event.Fields{
		"request": ca.request.ID, "session": ca.request.Session, "service": en.Service, "from": from, "to": en.Release, "reason": reason,
	})
}

// retentionFactor is the multiple of the setting session_keep for which a session
// is remembered. session_keep runs from the end of a session's previous request,
// but the router remembers when it was sent, and it may itself take long.
const retentionFactor = 2

func splitByRelease(ens []policy.Endpoint, release string) (others, matching []policy.Endpoint) {
	for _, en := range ens {
		if en.Release == release {
			matching = append(matching, en)
		} else {
			others = append(others, en)
		}
	}
	return others, matching
}

// stateOf returns the state of a roll-out. It creates one if there is none or if
// the service's last roll-out had another candidate. The caller holds mu.
func (rs *releaseSelector) stateOf(now time.Time, ro policy.Rollout) *rolloutState {
	id := policy.ServiceID(ro.Service)
	st, ok := rs.states[id]
	if !ok || st.candidate != policy.ReleaseID(ro.ToVersion) {
		st = &rolloutState{candidate: policy.ReleaseID(ro.ToVersion), firstSeenAt: now, settledHere: settledSessions{}, settledElsewhere: settledSessions{}}
		rs.states[id] = st
		rs.recordSettled(now, ro, st)
	}
	return st
}

// recordSettled records which running sessions are settled on the release in use
// when this router first sees a roll-out. The caller holds mu.
func (rs *releaseSelector) recordSettled(now time.Time, ro policy.Rollout, st *rolloutState) {
	exposed := rs.router.options().Rollout.GetExposedShare()
	rs.sessions.forEachSince(policy.ServiceID(ro.Service), now.Add(-rs.sessionRetention()), func(id SessionID, lr lastRequest) {
		if lr.release != st.candidate && hashFraction(ro.ToVersion, string(id)) < exposed {
			st.settledHere.record(lr.at, hashSession(id))
		}
	})
}

const (
	// trialDelay is the time from the start of a roll-out to its trial in a small
	// group. Routers take this long to exchange the sessions that stay on the
	// release in use. In larger groups the delay is longer.
	trialDelay = 2500 * time.Millisecond
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
	duration := time.Duration(ro.DurationMs) * time.Millisecond
	delay := min(rs.router.peers.ScaleInterval(trialDelay), time.Duration(maxTrialDelayShare*float64(duration)))
	pl := rollout.Plan{StartedAt: started, TrialAt: started.Add(delay), DeadlineAt: started.Add(duration)}
	if ro.PromotedAtMs > 0 {
		pl.PromotedAt = time.UnixMilli(ro.PromotedAtMs)
	}
	return pl
}

// observe adds the outcome of an attempt at an endpoint.
func (rs *releaseSelector) observe(id policy.ServiceID, en policy.Endpoint, ou rollout.Outcome) {
	ro, ok := rs.router.holder.Set().ServiceRollout(id)
	if !ok || !ro.Active() {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	st := rs.stateOf(time.Now(), ro)
	if policy.ReleaseID(en.Release) != st.candidate {
		st.health.Stable(ou)
		st.stable.Observe(ou)
		return
	}
	st.health.Candidate(ou)
	if reason := st.health.RejectionReason(); reason != "" {
		rs.reject(ro, st, reason)
	}
}

// reject makes this router send no more requests to a candidate. The caller holds
// mu.
func (rs *releaseSelector) reject(ro policy.Rollout, st *rolloutState, reason string) {
	if st.rejectionReason != "" {
		return
	}
	st.rejectionReason = reason
	rs.router.log.Warn(event.VersionSuspect, nil, event.Fields{
		"service": ro.Service, "release": st.candidate, "reason": reason,
		"answers": st.health.Answers, "failures": st.health.Failures,
	})
}

// refresh applies the other routers' results. A candidate that any router rejected
// is rejected here too, and so is one whose failures are few at each router but
// too many in total.
func (rs *releaseSelector) refresh() {
	se, now := rs.router.holder.Set(), time.Now()
	for _, ro := range se.Rollouts.List() {
		if ro.Service == "" || !ro.Active() {
			continue
		}
		reports := rs.collectPeerReports(ro)
		rs.mu.Lock()
		st := rs.stateOf(now, ro)
		st.peerAnswers = reports.candidate.Answers
		for _, ha := range reports.settled {
			st.settledElsewhere.record(now, ha)
		}
		st.settledElsewhere.prune(now.Add(-rs.sessionRetention()))
		candidate := reports.candidate.Add(rollout.Counts{Answers: st.health.Answers, Failures: st.health.Failures})
		switch {
		case reports.rejectionReason != "":
			rs.reject(ro, st, reports.rejectionReason)
		case candidate.SignificantlyWorse(reports.stable.Add(st.stable)):
			rs.reject(ro, st, "failures over all routers")
		}
		rs.mu.Unlock()
	}
}

// peerReports holds the other routers' published results of a roll-out, summed
// over them. rejectionReason is that of a router that rejected the candidate, ""
// if none did.
type peerReports struct {
	rejectionReason   string
	candidate, stable rollout.Counts
	stableInFlight    int64
	settled           []sessionHash
}

func (rs *releaseSelector) collectPeerReports(ro policy.Rollout) peerReports {
	var out peerReports
	pe := rs.router.peers
	own := healthKey(ro.Service, string(pe.VM()))
	for _, it := range pe.Table().List(healthPrefix + ro.Service + "/") {
		var he rpc.VersionHealth
		if it.Key == own || proto.Unmarshal(it.Value, &he) != nil || he.GetVersion() != ro.ToVersion {
			continue
		}
		if he.GetSuspect() {
			out.rejectionReason = he.GetReason()
		}
		out.candidate = out.candidate.Add(rollout.Counts{Answers: he.GetAnswers(), Failures: he.GetFailures()})
		out.stable = out.stable.Add(rollout.Counts{Answers: he.GetStableAnswers(), Failures: he.GetStableFailures()})
		if time.Since(it.WrittenAt) < inFlightTTL {
			out.stableInFlight += he.GetStableInFlight()
			for _, ha := range he.GetStableSessions() {
				out.settled = append(out.settled, sessionHash(ha))
			}
		}
	}
	return out
}

// inFlightTTL is how long the requests in flight and the settled sessions that a
// router has published are used. Its counts of answers and failures do not expire.
const inFlightTTL = 4 * time.Second

func healthKey(service, vm string) string { return healthPrefix + service + "/" + vm }

// publish publishes this router's results of all roll-outs.
func (rs *releaseSelector) publish() {
	for _, ro := range rs.router.holder.Set().Rollouts.List() {
		if ro.Service == "" || !ro.Active() {
			continue
		}
		inFlight := rs.stableInFlight(ro)
		rs.mu.Lock()
		now := time.Now()
		st := rs.stateOf(now, ro)
		st.settledHere.prune(now.Add(-rs.sessionRetention()))
		he := &rpc.VersionHealth{
			Version: ro.ToVersion, Answers: st.health.Answers, Failures: st.health.Failures,
			StableAnswers: st.stable.Answers, StableFailures: st.stable.Failures,
			Suspect: st.rejectionReason != "", Reason: st.rejectionReason, StableInFlight: inFlight,
		}
		for ha := range st.settledHere {
			he.StableSessions = append(he.StableSessions, uint32(ha))
		}
		slices.Sort(he.StableSessions)
		rs.mu.Unlock()
		rs.router.peers.Publish(healthKey(ro.Service, string(rs.router.peers.VM())), he)
	}
}

// stableInFlight returns the number of this router's requests on the release in
// use.
func (rs *releaseSelector) stableInFlight(ro policy.Rollout) int64 {
	sum := 0
	loads := rs.router.balancer.Loads()
	for _, en := range rs.router.holder.Set().Endpoints.List() {
		if en.Service == ro.Service && en.Release != ro.ToVersion {
			sum += loads[en.ID].Running
		}
	}
	return int64(sum)
}

// RolloutProgress returns the progress of a roll-out over all routers.
func (ro *Router) RolloutProgress(now time.Time, rec policy.Rollout) rollout.Progress {
	reports := ro.releases.collectPeerReports(rec)
	inFlight := ro.releases.stableInFlight(rec)
	ro.releases.mu.Lock()
	defer ro.releases.mu.Unlock()
	st := ro.releases.stateOf(now, rec)
	pr := rollout.Progress{
		Plan: ro.releases.plan(rec, st), Started: rec.StartedAtMs > 0, RejectionReason: st.rejectionReason,
		Answers: reports.candidate.Answers + st.health.Answers, StableInFlight: reports.stableInFlight + inFlight,
	}
	if pr.RejectionReason == "" {
		pr.RejectionReason = reports.rejectionReason
	}
	return pr
}
