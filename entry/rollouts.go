package entry

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
	"tanagerpoint.example/tanager/rpc"
)

// HealthPrefix is the key prefix of the items in which entries publish the health
// of candidate versions. The keys have the form health/ROLLOUT/VM.
const HealthPrefix = "health/"

// rollouts tests candidate versions by the outcomes that this entry observes. When
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
	// reason is why the candidate was rejected, "" when it was not.
	reason string
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

// observe records an attempt's outcome if a roll-out of its model is active, and
// marks the candidate as suspect once the health test rejects it.
func (ro *rollouts) observe(tg target, ou rollout.Outcome) {
	rec, ok := ro.holder.Set().ActiveRollout(tg.model)
	if !ok {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ob := ro.getLocked(rec)
	switch tg.version.ID {
	case policy.VersionID(rec.FromVersion):
		ob.health.Stable(ou)
	case policy.VersionID(rec.ToVersion):
		ob.health.Candidate(ou)
		if ob.reason = ob.health.RejectionReason(); ob.reason != "" && !ro.suspects[tg.version.ID] {
			ro.suspects[tg.version.ID] = true
			ro.log.Warn(event.VersionSuspect, nil, event.Fields{"version": tg.version.ID, "reason": ob.reason})
		}
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

// refresh removes the state of ended roll-outs, and sets the suspects from the
// rejections by this entry and those that the other entries published.
func (ro *rollouts) refresh() {
	se := ro.holder.Set()
	reported := map[policy.VersionID]bool{}
	for _, it := range ro.peers.Table().List(HealthPrefix) {
		var he rpc.VersionHealth
		if proto.Unmarshal(it.Value, &he) == nil && he.GetSuspect() {
			reported[policy.VersionID(he.GetVersion())] = true
		}
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for id := range ro.observed {
		if rec, ok := se.Rollouts.ByID(id); !ok || !rec.Active() {
			delete(ro.observed, id)
		}
	}
	ro.suspects = map[policy.VersionID]bool{}
	for _, rec := range se.Rollouts.List() {
		id := policy.VersionID(rec.ToVersion)
		ob, ok := ro.observed[rec.ID]
		if rec.Active() && (reported[id] || ok && ob.reason != "") {
			ro.suspects[id] = true
		}
	}
}

// publish sends this entry's counts of answers and failures of candidate versions,
// and whether and why it rejected them, to the other daemons.
func (ro *rollouts) publish() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for id, ob := range ro.observed {
		ro.peers.Publish(HealthPrefix+string(id)+"/"+string(ro.peers.VM()), &rpc.VersionHealth{
			Version: ob.rollout.ToVersion, Answers: ob.health.Answers, Failures: ob.health.Failures,
			Suspect: ob.reason != "", Reason: ob.reason,
		})
	}
}
