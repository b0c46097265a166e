package policy

import (
	"slices"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

const (
	defaultAnswersPerStep = 200
	defaultQualityMargin  = 0.02
)

// Rollout moves new sessions of a model step by step from one version to another
// or, if its field Service is set, replaces the endpoints of a service by those of
// another release. ToVersion is then the release.
type Rollout struct {
	ID RolloutID
	*rpc.Rollout
	// FencingToken is that of the steward that changed the record last, 0 if an
	// operator did.
	FencingToken int64
}

// Defaults sets the state, the steps, the answers per step and the quality margin
// if they are not set.
func (ro Rollout) Defaults() {
	if ro.State == rpc.RolloutState_ROLLOUT_STATE_UNSPECIFIED {
		ro.State = rpc.RolloutState_RUNNING
	}
	if len(ro.Steps) == 0 {
		ro.Steps = []float64{0.01, 0.05, 0.2, 0.5, 1}
	}
	if ro.AnswersPerStep == 0 {
		ro.AnswersPerStep = defaultAnswersPerStep
	}
	if ro.QualityMargin == 0 {
		ro.QualityMargin = defaultQualityMargin
	}
}

// Validate adds a finding to li for a model or version that does not exist, a
// version of another model, a roll-out from a version to itself, invalid shares, and
// a second active roll-out of the model. A roll-out of a service's release has rules
// of its own; see validateRelease.
func (ro Rollout) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if ro.Service != "" {
		ro.validateRelease(li, pl, se)
		return
	}
	if _, ok := se.Models.ByID(ModelID(ro.Model)); !ok {
		li.Add(at("model"), "no model %q", ro.Model)
	}
	for _, vr := range []struct{ key, id string }{{"from_version", ro.FromVersion}, {"to_version", ro.ToVersion}} {
		ve, ok := se.Versions.ByID(VersionID(vr.id))
		if !ok {
			li.Add(at(vr.key), "no version %q", vr.id)
			continue
		}
		if ve.Model != ro.Model {
			li.Add(at(vr.key), "version %q belongs to model %q", vr.id, ve.Model)
		}
	}
	if ro.FromVersion == ro.ToVersion {
		li.Add(at("to_version"), "same as from_version")
	}
	if !shareBounds.Contain(ro.Share) {
		li.Add(at("share"), "%v is not between 0 and 1", ro.Share)
	}
	previous := 0.0
	for _, st := range ro.Steps {
		if !shareBounds.Contain(st) || st <= previous {
			li.Add(at("steps"), "%v are not increasing shares, each greater than 0 and at most 1", ro.Steps)
			break
		}
		previous = st
	}
	for _, other := range se.Rollouts.List() {
		if other.ID != ro.ID && other.Model == ro.Model && ro.Active() && other.Active() {
			li.Add(at("model"), "roll-out %q of the same model is running or paused", other.ID)
		}
	}
}

// validateRelease validates a roll-out of a service's release. It adds a finding to
// li for a service that does not exist, a model set together with the service, a
// missing release and a duration that is not positive.
func (ro Rollout) validateRelease(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if _, ok := se.Services.ByID(ServiceID(ro.Service)); !ok {
		li.Add(at("service"), "no service %q", ro.Service)
	}
	if ro.Model != "" {
		li.Add(at("model"), "set together with service")
	}
	if ro.ToVersion == "" {
		li.Add(at("to_version"), "missing")
	}
	if ro.DurationMs <= 0 {
		li.Add(at("duration_ms"), "%d is not positive", ro.DurationMs)
	}
}

// maxWithdrawn is the number of withdrawn releases that are remembered. Their endpoints drain
// within seconds, and a service has few roll-outs in that time.
const maxWithdrawn = 8

// Succeed records in a roll-out of a service's release which releases are in use and which are
// withdrawn, given the service's roll-out before it. A completed release is in use; any other that
// was ordered is withdrawn, unless it is ordered again. It changes the message of the roll-out, which
// must not be in a Set.
func (ro Rollout) Succeed(previous Rollout) {
	inUse, withdrawn := previous.FromVersion, previous.WithdrawnVersions
	switch {
	case previous.State == rpc.RolloutState_DONE:
		inUse = previous.ToVersion
	case previous.ToVersion != "":
		withdrawn = append(slices.Clone(withdrawn), previous.ToVersion)
	}
	ro.FromVersion, ro.WithdrawnVersions = inUse, nil
	ro.AddWithdrawn(withdrawn)
}

// TakeReleases adds what another record of the same roll-out knows of the service's releases. The
// store lacks it if an order was replaced before a router recorded its start, or if a program
// wrote the start that does not know of it. It changes the message of the roll-out, which must not be
// in a Set.
func (ro Rollout) TakeReleases(other Rollout) {
	if ro.FromVersion == "" {
		ro.FromVersion = other.FromVersion
	}
	ro.AddWithdrawn(other.WithdrawnVersions)
}

// AddWithdrawn adds withdrawn releases, without the release that is ordered and the one in use. It
// changes the message of the roll-out, which must not be in a Set.
func (ro Rollout) AddWithdrawn(releases []string) {
	for _, re := range releases {
		if re != "" && re != ro.ToVersion && re != ro.FromVersion && !ro.Withdrawn(re) {
			ro.WithdrawnVersions = append(ro.WithdrawnVersions, re)
		}
	}
	ro.WithdrawnVersions = ro.WithdrawnVersions[max(0, len(ro.WithdrawnVersions)-maxWithdrawn):]
}

// Withdrawn reports whether a release was ordered before and did not come into use.
func (ro Rollout) Withdrawn(release string) bool {
	return slices.Contains(ro.WithdrawnVersions, release)
}

// Active reports whether the roll-out is running or paused.
func (ro Rollout) Active() bool {
	return ro.State == rpc.RolloutState_RUNNING || ro.State == rpc.RolloutState_PAUSED
}

// CandidateShare returns the share of new sessions that get to_version, 0 if the
// roll-out is not active.
func (ro Rollout) CandidateShare() float64 {
	if !ro.Active() {
		return 0
	}
	return ro.Share
}
