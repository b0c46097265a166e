package relay

import (
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
// is rejected here too, and so is one whose failures or slow answers are few at each router
// but too many in total.
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
		candidate := reports.candidate.Add(rollout.Counts{Answers: st.health.Answers, Failures: st.health.Failures})
		evidence, own := reports.evidence, st.health.Evidence()
		evidence.Failures.Add(own.Failures.LogWealth())
		evidence.Slow.Add(own.Slow.LogWealth())
		switch {
		case reports.rejectionReason != "":
			rs.reject(ro, st, reports.rejectionReason)
		case candidate.SignificantlyWorse(reports.stable.Add(st.stable)):
			rs.reject(ro, st, "failures over all routers")
		case evidence.RejectionReason() != "":
			rs.reject(ro, st, evidence.RejectionReason()+" over all routers")
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
	evidence          rollout.Evidence
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
		out.evidence.Failures.Add(he.GetFailureEvidence())
		out.evidence.Slow.Add(he.GetSlowEvidence())
		if time.Since(it.WrittenAt) < inFlightTTL {
			out.stableInFlight += he.GetStableInFlight()
		}
	}
	return out
}

// inFlightTTL is how long the requests in flight that a router has published are used.
// Its counts of answers and failures do not expire.
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
		st := rs.stateOf(time.Now(), ro)
		ev := st.health.Evidence()
		he := &rpc.VersionHealth{
			Version: ro.ToVersion, Answers: st.health.Answers, Failures: st.health.Failures,
			StableAnswers: st.stable.Answers, StableFailures: st.stable.Failures,
			Suspect: st.rejectionReason != "", Reason: st.rejectionReason, StableInFlight: inFlight,
			FailureEvidence: ev.Failures.LogWealth(), SlowEvidence: ev.Slow.LogWealth(),
		}
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
	pl := ro.releases.plan(rec, st)
	if pl.TrialShare == 0 {
		pl.TrialShare = ro.releases.trialShare(rec)
	}
	pr := rollout.Progress{
		Plan: pl, Started: rec.StartedAtMs > 0, RejectionReason: st.rejectionReason,
		Answers: reports.candidate.Answers + st.health.Answers, StableInFlight: reports.stableInFlight + inFlight,
	}
	if pr.RejectionReason == "" {
		pr.RejectionReason = reports.rejectionReason
	}
	return pr
}

// trialShare returns the share of sessions that the candidate is to get during the
// trial of a roll-out.
func (rs *releaseSelector) trialShare(ro policy.Rollout) float64 {
	stable, _ := rs.endpointsOf(ro)
	return rollout.TrialShare(rs.router.options().Rollout.GetExposedShare(), len(stable))
}
