package policy

import (
	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

// Cascade picks among models for a quality target.
type Cascade struct {
	ID CascadeID
	*rpc.Cascade
}

// Defaults sets nothing.
func (ca Cascade) Defaults() {}

// Validate finds mistakes.
func (ca Cascade) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if len(ca.Models) == 0 {
		li.Add(at("models"), "names no model")
	}
	for _, id := range ca.Models {
		if _, ok := se.Models.ByID(ModelID(id)); !ok {
			li.Add(at("models"), "no model %q", id)
		}
	}
	if ca.QualityTarget < 0 || ca.QualityTarget > 1 {
		li.Add(at("quality_target"), "%v is outside 0 to 1", ca.QualityTarget)
	}
	if ca.RatedShare < 0 || ca.RatedShare > 1 {
		li.Add(at("rated_share"), "%v is outside 0 to 1", ca.RatedShare)
	}
}
