package session

import (
	"math/rand/v2"

	"tanagerpoint.example/tanager/policy"
)

// Assign returns the version for a new session on a model. Without a roll-out
// that is the stable version. During a roll-out it is the candidate version if draw
// is below the candidate's share, unless the candidate is not live or suspect
// reports that it performs badly, and otherwise the version that the roll-out
// starts from. draw is a random number in [0, 1).
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

// Draw returns a random number in [0, 1) for Assign.
func Draw() float64 { return rand.Float64() }
