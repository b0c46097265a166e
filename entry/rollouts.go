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

// rollouts evaluates candidate versions by the outcomes that this entry observes.
// It immediately stops assigning new sessions to a bad candidate and publishes
// the finding, by which the other entries stop too and a steward aborts the
// roll-out.
//
// mu guards guards and suspects. publish holds it while it takes the locks of the
// peer group and of the board; mu is never taken while one of these is held.
type rollouts struct {
	peers  *peer.Group
	holder *configuration.Holder
	log    *event.Log

	mu     sync.Mutex
	guards map[policy.RolloutID]*guardedRollout
	// suspects are the candidate versions that this entry or another one found bad.
	suspects map[policy.VersionID]bool
}

// guardedRollout is an active roll-out and the outcomes observed in it.
type guardedRollout struct {
	rollout policy.Rollout
	// phase identifies the run of the record that the counts belong to.
	phase rolloutPhase
	guard rollout.HealthTest
	// reason is why the candidate was found bad, "" when it was not.
	reason string
}

// rolloutPhase distinguishes two runs of one roll-out record by their versions.
type rolloutPhase struct {
	to   policy.VersionID
	from policy.VersionID
}

func phaseOf(ro policy.Rollout) rolloutPhase {
	return rolloutPhase{to: policy.VersionID(ro.ToVersion), from: policy.VersionID(ro.FromVersion)}
}

func newRollouts(pe *peer.Group, ho *configuration.Holder, lo *event.Log) *rollouts {
	return &rollouts{
		peers: pe, holder: ho, log: lo,
		guards: map[policy.RolloutID]*guardedRollout{}, suspects: map[policy.VersionID]bool{},
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

// observe records an attempt's outcome if its model is being rolled out, and marks
// the candidate as suspect once the guard finds it bad.
func (ro *rollouts) observe(tg target, ou rollout.Outcome) {
	rec, ok := ro.holder.Set().ActiveRollout(tg.model)
	if !ok {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	gu := ro.getLocked(rec)
	switch tg.version.ID {
	case policy.VersionID(rec.FromVersion):
		gu.guard.Stable(ou)
	case policy.VersionID(rec.ToVersion):
		gu.guard.Candidate(ou)
		if gu.reason = gu.guard.RejectionReason(); gu.reason != "" && !ro.suspects[tg.version.ID] {
			ro.suspects[tg.version.ID] = true
			ro.log.Warn(event.VersionSuspect, nil, event.Fields{"version": tg.version.ID, "reason": gu.reason})
		}
	}
}

// getLocked returns the state of a roll-out, and starts it anew when the record's
// versions have changed. mu must be held.
func (ro *rollouts) getLocked(rec policy.Rollout) *guardedRollout {
	gu, ok := ro.guards[rec.ID]
	if !ok || gu.phase != phaseOf(rec) {
		gu = &guardedRollout{phase: phaseOf(rec)}
		ro.guards[rec.ID] = gu
	}
	gu.rollout = rec
	return gu
}

// refresh removes the state of ended roll-outs, and sets the suspects from this
// entry's findings and those that the other entries published.
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
	for id := range ro.guards {
		if rec, ok := se.Rollouts.ByID(id); !ok || !rec.Active() {
			delete(ro.guards, id)
		}
	}
	ro.suspects = map[policy.VersionID]bool{}
	for _, rec := range se.Rollouts.List() {
		id := policy.VersionID(rec.ToVersion)
		gu, ok := ro.guards[rec.ID]
		if rec.Active() && (reported[id] || ok && gu.reason != "") {
			ro.suspects[id] = true
		}
	}
}

// publish sends this entry's counts and findings on candidate versions to the
// other daemons.
func (ro *rollouts) publish() {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for id, gu := range ro.guards {
		ro.peers.Publish(HealthPrefix+string(id)+"/"+string(ro.peers.VM()), &rpc.VersionHealth{
			Version: gu.rollout.ToVersion, Answers: gu.guard.Answers, Failures: gu.guard.Failures,
			Suspect: gu.reason != "", Reason: gu.reason,
		})
	}
}
