package relay

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// healthPrefix is the key prefix under which each router publishes its results of
// a service's roll-out: release/SERVICE/VM.
const healthPrefix = "release/"

// releaseSelector selects the release of a service that a request runs on, and
// tests releases that are being rolled out.
//
// mu guards trials. The sessions' own lock is taken after it.
type releaseSelector struct {
	router   *Router
	sessions *sessions
	mu       sync.Mutex
	trials   map[policy.ServiceID]*trial
}

// trial is this router's state of a roll-out.
type trial struct {
	target policy.ReleaseID
	health rollout.HealthTest
	// stable counts the answers of the release in use during the roll-out.
	stable rollout.Counts
	// rejectionReason says why the release is bad, "" while it is not known to be.
	rejectionReason string
	// settledHere and settledElsewhere are the sessions that stay on the release
	// in use, as seen by this router and as published by the others.
	settledHere, settledElsewhere settledSessions
	// peerAnswers is the number of the new release's answers at the other routers.
	peerAnswers int64
	// firstSeenAt is when this router first saw the roll-out.
	firstSeenAt time.Time
}

func newReleaseSelector(ro *Router) *releaseSelector {
	return &releaseSelector{router: ro, sessions: newSessions(), trials: map[policy.ServiceID]*trial{}}
}

// endpointsFor returns the endpoints of the release selected for a call, and
// those of the release in use as a fallback if none of the former has capacity.
func (rs *releaseSelector) endpointsFor(now time.Time, ca *call) (ens, fallback []policy.Endpoint) {
	all := rs.router.fleet.forService(now, ca.service.ID)
	ro, ok := rs.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok {
		return all, nil
	}
	current, target := splitByRelease(all, ro.ToVersion)
	switch ro.State {
	case rpc.RolloutState_DONE:
		return target, nil
	case rpc.RolloutState_ABORTED:
		return current, nil
	}
	rs.mu.Lock()
	tr := rs.trialOf(now, ro)
	exposed := rollout.TrialShare(rs.router.options().Rollout.GetExposedShare(), len(current))
	share := rs.plan(ro, tr).Share(now, exposed, tr.peerAnswers+tr.health.Answers)
	bad := tr.rejectionReason != ""
	rs.mu.Unlock()
	if bad || len(target) == 0 || !rs.usesCandidate(now, ca, ro, share) {
		return current, nil
	}
	return target, current
}

// usesCandidate reports whether a request goes to the release under roll-out.
// A running session stays on its release; new sessions are assigned by the share.
// A request that failed on the candidate is retried on the release in use.
func (rs *releaseSelector) usesCandidate(now time.Time, ca *call, ro policy.Rollout, share float64) bool {
	if share >= 1 {
		return true
	}
	if len(ca.failedEndpoints) > 0 {
		return false
	}
	retention := rs.sessionRetention()
	if last, ok := rs.sessions.release(now, sessionKey{ca.service.ID, ca.request.Session}, retention); ok {
		return string(last) == ro.ToVersion
	}
	if ca.request.sessionFraction(ro.ToVersion) >= share {
		return false
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return !rs.trialOf(now, ro).settledElsewhere.seenSince(hashSession(ca.request.Session), now.Add(-retention))
}

func (rs *releaseSelector) sessionRetention() time.Duration {
	return retentionFactor * rs.router.options().Serving.GetSessionKeep().AsDuration()
}

// recordSend records the release that a session's request is sent to.
func (rs *releaseSelector) recordSend(now time.Time, ca *call, en policy.Endpoint) {
	id := ca.request.Session
	if id == "" {
		return
	}
	rs.sessions.record(now, sessionKey{ca.service.ID, id}, policy.ReleaseID(en.Release))
	ro, ok := rs.router.holder.Set().ServiceRollout(ca.service.ID)
	if !ok || !ro.Active() || en.Release == ro.ToVersion || ca.request.sessionFraction(ro.ToVersion) >= rs.router.options().Rollout.GetExposedShare() {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.trialOf(now, ro).settledHere.record(now, hashSession(id))
}

// retentionFactor is how many times the setting session_keep a session is
// remembered. session_keep runs from the end of the session's previous request,
// which may itself take long.
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

// trialOf returns the trial of a roll-out. It begins a new one if there is none or
// the last one was of another release. The caller holds mu.
func (rs *releaseSelector) trialOf(now time.Time, ro policy.Rollout) *trial {
	id := policy.ServiceID(ro.Service)
	tr, ok := rs.trials[id]
	if !ok || tr.target != policy.ReleaseID(ro.ToVersion) {
		tr = &trial{target: policy.ReleaseID(ro.ToVersion), firstSeenAt: now, settledHere: settledSessions{}, settledElsewhere: settledSessions{}}
		rs.trials[id] = tr
		rs.recordSettled(now, ro, tr)
	}
	return tr
}

// recordSettled records the sessions that stay on the release in use as a trial
// begins. The caller holds mu.
func (rs *releaseSelector) recordSettled(now time.Time, ro policy.Rollout, tr *trial) {
	exposed := rs.router.options().Rollout.GetExposedShare()
	rs.sessions.forEachSince(policy.ServiceID(ro.Service), now.Add(-rs.sessionRetention()), func(id SessionID, lr lastRequest) {
		if lr.release != tr.target && hashFraction(ro.ToVersion, string(id)) < exposed {
			tr.settledHere.record(lr.at, hashSession(id))
		}
	})
}

const (
	// trialDelay is how long routers in a small group take to exchange the
	// sessions that stay on the release in use.
	trialDelay = 2500 * time.Millisecond
	// maxTrialDelayShare limits that delay to a share of the roll-out's duration.
	maxTrialDelayShare = 0.3
)

// plan returns the schedule of a roll-out. It begins at the recorded start or, as
// long as there is none, when this router first saw the roll-out.
func (rs *releaseSelector) plan(ro policy.Rollout, tr *trial) rollout.Plan {
	started := tr.firstSeenAt
	if ro.StartedAtMs > 0 {
		started = time.UnixMilli(ro.StartedAtMs)
	}
	duration := time.Duration(ro.DurationMs) * time.Millisecond
	delay := min(rs.router.peers.ScaleInterval(trialDelay), time.Duration(maxTrialDelayShare*float64(duration)))
	return rollout.Plan{StartedAt: started, TrialAt: started.Add(delay), DeadlineAt: started.Add(duration)}
}

// observe adds the outcome of an attempt at an endpoint.
func (rs *releaseSelector) observe(id policy.ServiceID, en policy.Endpoint, ou rollout.Outcome) {
	ro, ok := rs.router.holder.Set().ServiceRollout(id)
	if !ok || !ro.Active() {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	tr := rs.trialOf(time.Now(), ro)
	if policy.ReleaseID(en.Release) != tr.target {
		tr.health.Stable(ou)
		tr.stable.Observe(ou)
		return
	}
	tr.health.Candidate(ou)
	if reason := tr.health.RejectionReason(); reason != "" {
		rs.reject(ro, tr, reason)
	}
}

// reject stops sending requests to a release at this router. The caller holds mu.
func (rs *releaseSelector) reject(ro policy.Rollout, tr *trial, reason string) {
	if tr.rejectionReason != "" {
		return
	}
	tr.rejectionReason = reason
	rs.router.log.Warn(event.VersionSuspect, nil, event.Fields{
		"service": ro.Service, "release": tr.target, "reason": reason,
		"answers": tr.health.Answers, "failures": tr.health.Failures,
	})
}

// refresh applies the other routers' results. A release that any router rejected
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
		tr := rs.trialOf(now, ro)
		tr.peerAnswers = reports.target.Answers
		for _, ha := range reports.settled {
			tr.settledElsewhere.record(now, ha)
		}
		tr.settledElsewhere.prune(now.Add(-rs.sessionRetention()))
		target := reports.target.Add(rollout.Counts{Answers: tr.health.Answers, Failures: tr.health.Failures})
		switch {
		case reports.rejectionReason != "":
			rs.reject(ro, tr, reports.rejectionReason)
		case target.SignificantlyWorse(reports.stable.Add(tr.stable)):
			rs.reject(ro, tr, "failures over all routers")
		}
		rs.mu.Unlock()
	}
}

// peerReports is the sum of the other routers' published results of a roll-out.
type peerReports struct {
	rejectionReason string
	target, stable  rollout.Counts
	stableInFlight  int64
	settled         []sessionHash
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
		out.target = out.target.Add(rollout.Counts{Answers: he.GetAnswers(), Failures: he.GetFailures()})
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

// inFlightTTL is how long a router's published requests in flight and sessions
// are used.
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
		tr := rs.trialOf(now, ro)
		tr.settledHere.prune(now.Add(-rs.sessionRetention()))
		he := &rpc.VersionHealth{
			Version: ro.ToVersion, Answers: tr.health.Answers, Failures: tr.health.Failures,
			StableAnswers: tr.stable.Answers, StableFailures: tr.stable.Failures,
			Suspect: tr.rejectionReason != "", Reason: tr.rejectionReason, StableInFlight: inFlight,
		}
		for ha := range tr.settledHere {
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
	tr := ro.releases.trialOf(now, rec)
	pr := rollout.Progress{
		Plan: ro.releases.plan(rec, tr), Started: rec.StartedAtMs > 0, RejectionReason: tr.rejectionReason,
		Answers: reports.target.Answers + tr.health.Answers, StableInFlight: reports.stableInFlight + inFlight,
	}
	if pr.RejectionReason == "" {
		pr.RejectionReason = reports.rejectionReason
	}
	return pr
}
