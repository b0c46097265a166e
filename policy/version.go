package policy

import (
	"math"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/rpc"
)

// Model is a line of versions behind one name.
type Model struct {
	ID ModelID
	*rpc.Model
}

// Defaults sets nothing.
func (mo Model) Defaults() {}

// Validate finds mistakes.
func (mo Model) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	ve, ok := se.Versions.ByID(VersionID(mo.StableVersion))
	if !ok {
		li.Add(at("stable_version"), "no version %q", mo.StableVersion)
		return
	}
	if ve.Model != string(mo.ID) {
		li.Add(at("stable_version"), "version %q is of model %q", mo.StableVersion, ve.Model)
	}
}

// MicroCredits is an amount of money; a million make a credit.
type MicroCredits int64

// Tokens is a number of tokens.
type Tokens int64

// creditsPer1KToMicroCreditsPerToken converts a price of schema version 1.
const creditsPer1KToMicroCreditsPerToken = 1e6 / 1e3

// Version is one trained state of a model.
type Version struct {
	ID VersionID
	*rpc.Version
}

// Defaults sets what the record leaves out. A record of schema version 1 has
// one price in credits a thousand tokens in place of cost.
func (ve Version) Defaults() {
	if ve.State == rpc.VersionState_VERSION_STATE_UNSPECIFIED {
		ve.State = rpc.VersionState_LIVE
	}
	if ve.EngineModel == "" {
		ve.EngineModel = string(ve.ID)
	}
	if ve.Version.Cost == nil {
		price := int64(math.Round(ve.CostPer_1KTokens * creditsPer1KToMicroCreditsPerToken))
		ve.Version.Cost = &rpc.Cost{Input: price, Output: price}
	}
}

// Validate finds mistakes.
func (ve Version) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if _, ok := se.Models.ByID(ModelID(ve.Model)); !ok {
		li.Add(at("model"), "no model %q", ve.Model)
	}
	if ve.Version.Cost.GetInput() < 0 || ve.Version.Cost.GetOutput() < 0 {
		li.Add(at("cost"), "a price is negative")
	}
	if ve.Quality < 0 || ve.Quality > 1 {
		li.Add(at("quality"), "%v is outside 0 to 1", ve.Quality)
	}
}

// Live tells whether the version may get new work.
func (ve Version) Live() bool { return ve.State == rpc.VersionState_LIVE }

// Cost gives the price of an answer.
func (ve Version) Cost(input, output Tokens) MicroCredits {
	co := ve.Version.Cost
	return MicroCredits(int64(input)*co.GetInput() + int64(output)*co.GetOutput())
}
