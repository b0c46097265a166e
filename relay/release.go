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

// healthPrefix is the prefix of the routers' items on releases under roll-out:
// release/SERVICE/VM.
const healthPrefix = "release/"

// releaseSelector decides which release of a service a request runs on, and judges
// the releaseSelector that are rolled out.
//
// mu guards trials. The sessions' own lock is taken after it.
type releaseSelector struct {
	router   *Router
	sessions *sessions
	mu       sync.Mutex
	trials   map[policy.ServiceID]*trial
}

// trial is a release under roll-out as this router sees it.
type trial struct {
	target policy.ReleaseID
	health rollout.HealthTest
	// stable counts the answers of the release in use in the same time.
	stable rollout.Counts
	// rejectionReason is why the release is rejectionReason, "" while it is not known to be.
	rejectionReason string
	// settledHere and settledElsewhere are the sessions settled on the release in use, as seen
	// by this router and as told by the others.
	settledHere, settledElsewhere settledSessions
	// peerAnswers counts the other routers' answers of the new release.
	peerAnswers int64
	// firstSeenAt is when this router learnt of the roll-out.
	firstSeenAt time.Time
}

func newReleaseSelector(ro *Router) *releaseSelector {
	return &releaseSelector{router: ro, sessions: newSessions(), trials: map[policy.ServiceID]*trial{}}
}

// endpointsFor gives those that a call may be sent to, and those that may have it
// when none of them can.
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

// usesCandidate tells whether a request goes to a release under roll-out: one of a
// session that goes on stays where the session was, a new one goes by the
// share. A request that failed on trial goes on with the release in use.
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

// recordSend notes which release a request goes to.
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

// retentionFactor times the time between a session's requests is how long it is
// remembered: that time runs from the end of the request before, which may last.
const retentionFactor = 2

func splitByRelease(ens []policy.Endpoint, release string) (others, of []policy.Endpoint) {
	for _, en := range ens {
		if en.Release == release {
			of = append(of, en)
		} else {
			others = append(others, en)
		}
	}
	return others, of
}

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

// recordSettled notes the sessions that go on with the release in use as a trial begins.
func (rs *releaseSelector) recordSettled(now time.Time, ro policy.Rollout, tr *trial) {
	exposed := rs.router.options().Rollout.GetExposedShare()
	rs.sessions.forEachSince(policy.ServiceID(ro.Service), now.Add(-rs.sessionRetention()), func(id SessionID, se lastRequest) {
		if se.release != tr.target && hashFraction(ro.ToVersion, string(id)) < exposed {
			tr.settledHere.record(se.at, hashSession(id))
		}
	})
}

const (
	// trialDelay is how long routers take to tell each other the sessions that
	// go on with the release in use, in a small group.
	trialDelay = 2500 * time.Millisecond
	// maxTrialDelayShare is the part of a roll-out's time that this may take.
	maxTrialDelayShare = 0.3
)

// plan gives the roll-out's times: from when it was taken up, or was seen here.
func (rs *releaseSelector) plan(ro policy.Rollout, tr *trial) rollout.Plan {
	started := tr.firstSeenAt
	if ro.StartedAtMs > 0 {
		started = time.UnixMilli(ro.StartedAtMs)
	}
	duration := time.Duration(ro.DurationMs) * time.Millisecond
	delay := min(rs.router.peers.Paced(trialDelay), time.Duration(maxTrialDelayShare*float64(duration)))
	return rollout.Plan{StartedAt: started, TrialAt: started.Add(delay), DeadlineAt: started.Add(duration)}
}

// observe takes in an answer, or a failure, of an endpoint.
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

// reject stops a release at this router.
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

// refresh takes in what the other routers saw: one that found a release bad
// stops it everywhere, and so do failures that are few at each router.
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

// peerReports is what the other routers told of a roll-out.
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
	for _, it := range pe.Board().Under(healthPrefix + ro.Service + "/") {
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

// inFlightTTL is how long a router's word on its requests in flight counts.
const inFlightTTL = 4 * time.Second

func healthKey(service, vm string) string { return healthPrefix + service + "/" + vm }

// publish tells the other routers what this one saw.
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

// stableInFlight counts this router's requests on the release in use.
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

// RolloutProgress judges a roll-out that is under way.
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
