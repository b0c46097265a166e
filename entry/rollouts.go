package entry

import (
	"sync"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
)

// HealthPrefix is the key prefix of the items in which entries publish the health
// of candidate versions. The keys have the form health/ROLLOUT/VM.
const HealthPrefix = "health/"

// rollouts tests candidate versions by the outcomes that all entries observe. When
// it rejects a candidate, this entry assigns no new sessions to it from then on and
// publishes the rejection, after which the other entries assign none either and a
// steward aborts the roll-out.
//
// mu guards observed and suspects. publish holds it while it takes the locks of the
// peer group and of its table; mu is never taken while one of these is held.
type rollouts struct {
	peers  *peer.Group
	holder *configuration.Holder
	log    *event.Log

	mu       sync.Mutex
	observed map[policy.RolloutID]*observedRollout
	// suspects are the candidate versions that this entry or another one rejected.
	suspects map[policy.VersionID]bool
}

// observedRollout is an active roll-out and the outcomes observed in it.
type observedRollout struct {
	rollout policy.Rollout
	// versions are the versions whose outcomes are in health.
	versions versionPair
	health   rollout.HealthTest
	// reason is why this entry rejected the candidate by what it knew of all entries' outcomes,
	// "" when it did not.
	reason string
}

// report returns what this entry has observed.
func (ob *observedRollout) report() rollout.Report {
	re := ob.health.Report()
	re.RejectionReason = ob.reason
	return re
}

// versionPair holds the versions of a roll-out. When they change, the same record
// stands for another roll-out.
type versionPair struct {
	to   policy.VersionID
	from policy.VersionID
}

func versionPairOf(ro policy.Rollout) versionPair {
	return versionPair{to: policy.VersionID(ro.ToVersion), from: policy.VersionID(ro.FromVersion)}
}

func newRollouts(pe *peer.Group, ho *configuration.Holder, lo *event.Log) *rollouts {
	return &rollouts{
		peers: pe, holder: ho, log: lo,
		observed: map[policy.RolloutID]*observedRollout{}, suspects: map[policy.VersionID]bool{},
	}
}

// isSuspect reports whether a candidate must get no new sessions.
func (ro *rollouts) isSuspect(id policy.VersionID) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.suspects[id]
}

// isCandidate reports whether a target's version is the candidate of an active
// roll-out.
func (ro *rollouts) isCandidate(tg target) bool {
	rec, ok := ro.holder.Set().ActiveRollout(tg.model)
	return ok && policy.VersionID(rec.ToVersion) == tg.version.ID
}

// observe records an attempt's outcome if a roll-out of its model is active.
func (ro *rollouts) observe(tg target, rank policy.RankID, ou rollout.Outcome) {
	rec, ok := ro.holder.Set().ActiveRollout(tg.model)
	if !ok {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ob := ro.getLocked(rec)
	ou.Route = policy.RouteID(rank)
	switch tg.version.ID {
	case policy.VersionID(rec.FromVersion):
		ob.health.Stable(ou)
	case policy.VersionID(rec.ToVersion):
		ob.health.Candidate(ou)
	}
}

// getLocked returns the state of a roll-out, and starts it anew when the record's
// versions have changed. mu must be held.
func (ro *rollouts) getLocked(rec policy.Rollout) *observedRollout {
	ob, ok := ro.observed[rec.ID]
	if !ok || ob.versions != versionPairOf(rec) {
		ob = &observedRollout{versions: versionPairOf(rec)}
		ro.observed[rec.ID] = ob
	}
	ob.rollout = rec
	return ob
}

// HealthKeys returns the prefix of the keys under which all entries publish their reports on a
// roll-out.
func HealthKeys(id policy.RolloutID) string { return HealthPrefix + string(id) + "/" }

// ownKey returns the key under which this entry publishes its report on a roll-out.
func (ro *rollouts) ownKey(id policy.RolloutID) string { return HealthKeys(id) + string(ro.peers.VM()) }

// verdict returns why a candidate is to be rejected, by the outcomes at all entries, "" if it is not.
func (ro *rollouts) verdict(rec policy.Rollout, own rollout.Report) string {
	for it, re := range ro.peers.Table().Reports(HealthKeys(rec.ID), rec.ToVersion) {
		if it.Key != ro.ownKey(rec.ID) {
			own = own.Add(re)
		}
	}
	return own.Verdict()
}

// refresh removes the state of ended roll-outs, and sets the suspects: the candidates that this
// entry or another one rejects by the outcomes at all of them.
func (ro *rollouts) refresh() {
	se := ro.holder.Set()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for id := range ro.observed {
		if rec, ok := se.Rollouts.ByID(id); !ok || !rec.Active() {
			delete(ro.observed, id)
		}
	}
	ro.suspects = map[policy.VersionID]bool{}
	for _, rec := range se.Rollouts.List() {
		if rec.Model != "" && rec.Active() {
			ro.judgeLocked(rec)
		}
	}
}

// judgeLocked marks the candidate of a roll-out as suspect if it is rejected. mu must be held.
func (ro *rollouts) judgeLocked(rec policy.Rollout) {
	ob := ro.getLocked(rec)
	reason := ro.verdict(rec, ob.report())
	if reason == "" {
		return
	}
	ro.suspects[policy.VersionID(rec.ToVersion)] = true
	if ob.reason == "" {
		ob.reason = reason
		ro.log.Warn(event.VersionSuspect, nil, event.Fields{"version": rec.ToVersion, "reason": reason, "routes": ob.health.Report().RouteSummaries()})
	}
}

// publish sends this entry's reports on candidate versions to the other daemons.
func (ro *rollouts) publish() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for id, ob := range ro.observed {
		ro.peers.Publish(ro.ownKey(id), ob.report().Message(ob.rollout.ToVersion))
	}
}
