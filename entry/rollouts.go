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

// HealthPrefix is the prefix of the entries' items on candidate versions:
// health/ROLLOUT/VM.
const HealthPrefix = "health/"

// rollouts judges candidate versions by what this entry sees, and stops a bad
// one at once; the other entries hear of it, and a steward aborts the roll-out.
//
// mu guards guards and suspects. The board's lock is taken before it.
type rollouts struct {
	peers  *peer.Group
	holder *configuration.Holder
	log    *event.Log

	mu     sync.Mutex
	guards map[policy.RolloutID]*guarded
	// suspects are the versions that this entry or another one found bad.
	suspects map[policy.VersionID]bool
}

type guarded struct {
	rollout policy.Rollout
	// since is the record's state that the counts belong to.
	since  rolloutPhase
	guard  rollout.HealthTest
	reason string
}

// rolloutPhase tells two runs of one roll-out record apart.
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
		guards: map[policy.RolloutID]*guarded{}, suspects: map[policy.VersionID]bool{},
	}
}

// suspect tells whether a candidate must get no new sessions.
func (ro *rollouts) suspect(id policy.VersionID) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.suspects[id]
}

// candidate tells whether a target's version is on trial.
func (ro *rollouts) candidate(tg target) bool {
	rec, ok := ro.holder.Set().ActiveRollout(tg.model)
	return ok && policy.VersionID(rec.ToVersion) == tg.version.ID
}

// observe adds an attempt's outcome.
func (ro *rollouts) observe(tg target, ou rollout.Outcome) {
	rec, ok := ro.holder.Set().ActiveRollout(tg.model)
	if !ok {
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	gu := ro.get(rec)
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

func (ro *rollouts) get(rec policy.Rollout) *guarded {
	gu, ok := ro.guards[rec.ID]
	if !ok || gu.since != phaseOf(rec) {
		gu = &guarded{since: phaseOf(rec)}
		ro.guards[rec.ID] = gu
	}
	gu.rollout = rec
	return gu
}

// refresh forgets ended roll-outs, and learns which versions others suspect.
func (ro *rollouts) refresh() {
	se := ro.holder.Set()
	reported := map[policy.VersionID]bool{}
	for _, it := range ro.peers.Board().Under(HealthPrefix) {
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

// publish tells the others what this entry saw of candidates.
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
