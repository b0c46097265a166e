package policy

import (
	"math"

	"tanagerpoint.example/tanager/finding"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// Model is a name that callers request. A request for it runs on one of the
// model's versions.
type Model struct {
	ID ModelID
	*rpc.Model
}

// Defaults does nothing: a model has no defaults.
func (mo Model) Defaults() {}

// Validate adds a finding to li if the stable version does not exist or belongs to
// another model.
func (mo Model) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	ve, ok := se.Versions.ByID(VersionID(mo.StableVersion))
	if !ok {
		li.Add(at("stable_version"), "no version %q", mo.StableVersion)
		return
	}
	if ve.Model != string(mo.ID) {
		li.Add(at("stable_version"), "version %q belongs to model %q", mo.StableVersion, ve.Model)
	}
}

// MicroCredits is an amount of money in millionths of a credit.
type MicroCredits int64

// Tokens is a number of tokens.
type Tokens int64

// creditsPer1KToMicroCreditsPerToken converts a price of schema version 1, in
// credits per 1000 tokens, to micro-credits per token.
const creditsPer1KToMicroCreditsPerToken = 1e6 / 1e3

// Version is one trained set of weights of a model.
type Version struct {
	ID VersionID
	*rpc.Version
}

// Defaults sets the state, the engine's model name and the cost if they are not set.
// A record of schema version 1 has one price for input and output, in credits per
// 1000 tokens, instead of a cost.
func (ve Version) Defaults() {
	if ve.State == rpc.VersionState_VERSION_STATE_UNSPECIFIED {
		ve.State = rpc.VersionState_LIVE
	}
	if ve.EngineModel == "" {
		ve.EngineModel = string(ve.ID)
	}
	if ve.Version.Cost == nil {
		price := anyPrice.Of(math.Round(ve.CostPer_1KTokens * creditsPer1KToMicroCreditsPerToken))
		ve.Version.Cost = &rpc.Cost{Input: price, Output: price}
	}
}

// anyPrice are the bounds of a price, which may be negative until it is validated.
var anyPrice = quantity.Bounds[int64]{Min: math.MinInt64, Max: math.MaxInt64}

// Validate adds a finding to li for a model that does not exist, a negative price,
// and a quality outside 0 to 1.
func (ve Version) Validate(li *finding.List, pl finding.Place, se *Set) {
	at := specPlace(pl)
	if _, ok := se.Models.ByID(ModelID(ve.Model)); !ok {
		li.Add(at("model"), "no model %q", ve.Model)
	}
	if ve.Version.Cost.GetInput() < 0 || ve.Version.Cost.GetOutput() < 0 {
		li.Add(at("cost"), "input or output price is negative")
	}
	if !shareBounds.Contain(ve.Quality) {
		li.Add(at("quality"), "%v is not between 0 and 1", ve.Quality)
	}
}

// Live reports whether the version may get new work, that is, is not withdrawn.
func (ve Version) Live() bool { return ve.State == rpc.VersionState_LIVE }

// Cost returns the price of an answer with the given numbers of tokens, or the largest one if it
// is larger.
func (ve Version) Cost(input, output Tokens) MicroCredits {
	co := ve.Version.Cost
	return MicroCredits(quantity.Sum(priceOf(input, co.GetInput()), priceOf(output, co.GetOutput())))
}

// priceOf returns the price of tokens. Neither they nor their price are negative.
func priceOf(tokens Tokens, price int64) int64 {
	return quantity.Product(max(0, int64(tokens)), max(0, price))
}
