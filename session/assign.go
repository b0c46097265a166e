package session

import (
	"math/rand/v2"

	"tanagerpoint.example/tanager/policy"
)

// Assign chooses the version of a new session on a model: during a roll-out
// the candidate gets its share, unless suspect says that it is bad. draw is
// from 0 to 1.
func Assign(se *policy.Set, mo policy.Model, draw float64, suspect func(policy.VersionID) bool) policy.VersionID {
	stable := policy.VersionID(mo.StableVersion)
	ro, ok := se.ActiveRollout(mo.ID)
	if !ok {
		return stable
	}
	candidate := policy.VersionID(ro.ToVersion)
	ve, ok := se.Versions.ByID(candidate)
	if !ok || !ve.Live() || suspect(candidate) || draw >= ro.CandidateShare() {
		return policy.VersionID(ro.FromVersion)
	}
	return candidate
}

// Draw gives a number from 0 to 1 for Assign.
func Draw() float64 { return rand.Float64() }
