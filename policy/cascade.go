package policy

import (
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

// Cascade is a list of models, cheapest first. One of them is chosen for each
// request, so that the mean quality reaches a target at the least cost.
type Cascade struct {
	ID CascadeID
	*rpc.Cascade
}

// Defaults does nothing: a cascade has no defaults.
func (ca Cascade) Defaults() {}

// Validate adds a finding to li for an empty list of models, for each model that
// does not exist, and for a quality target or rated share outside 0 to 1.
func (ca Cascade) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if len(ca.Models) == 0 {
		li.Add(at("models"), "no models listed")
	}
	for _, id := range ca.Models {
		if _, ok := se.Models.ByID(ModelID(id)); !ok {
			li.Add(at("models"), "no model %q", id)
		}
	}
	if !shareBounds.Contain(ca.QualityTarget) {
		li.Add(at("quality_target"), "%v is not between 0 and 1", ca.QualityTarget)
	}
	if !shareBounds.Contain(ca.RatedShare) {
		li.Add(at("rated_share"), "%v is not between 0 and 1", ca.RatedShare)
	}
}
