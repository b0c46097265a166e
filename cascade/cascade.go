// Package cascade chooses, for each request, the model that holds the quality
// target for the least cost.
//
// The choice is an online linear program: minimise cost subject to mean quality
// at the target. Its dual price of quality rises while the chosen models'
// expected quality is below the target and falls while it is above (primal-dual
// bandits with knapsacks, after Agrawal and Devanur, 2014). Expected quality is
// learned by kind of work from ratings. Without ratings the estimates stand
// still, and so does the mix of models.
package cascade

import (
	"math/rand/v2"

	"tanagerpoint.example/tanager/policy"
)

// WorkKind is a kind of work, as callers name it.
type WorkKind string

const (
	// priorWeight is how many ratings the record's own quality counts for.
	priorWeight = 4
	// ratingWindow is how many of the last ratings an estimate weighs.
	ratingWindow = 150
	// priceStepSize is how fast the price of quality moves.
	priceStepSize = 0.25
	maxPrice      = 200
	// exploreShare of the requests try another model, to learn of drift.
	exploreShare = 0.02
	// maxKinds bounds the kinds of work told apart.
	maxKinds = 256
	// targetMargin is added to the target, against errors of the estimates.
	targetMargin = 0.002
)

// Arm is one model that may be chosen.
type Arm struct {
	Model   policy.ModelID
	Version policy.VersionID
	// Cost is the expected cost of the answer.
	Cost policy.MicroCredits
	// Quality is what the record states, before any rating.
	Quality float64
}

// estimate is a version's rated quality for one kind of work.
type estimate struct {
	weight float64
	mean   float64
}

type key struct {
	work    WorkKind
	version policy.VersionID
}

// Chooser decides for one cascade. It is not safe for concurrent use.
type Chooser struct {
	rng       *rand.Rand
	price     float64
	estimates map[key]estimate
	kinds     map[WorkKind]bool
}

// NewChooser gives a chooser that knows no ratings; seed drives its chances.
func NewChooser(seed uint64) *Chooser {
	return &Chooser{
		rng:       rand.New(rand.NewPCG(seed, 0)),
		price:     1,
		estimates: map[key]estimate{},
		kinds:     map[WorkKind]bool{},
	}
}

// Price gives the price of quality: how much of the dearest arm's cost one
// unit of quality is worth.
func (ch *Chooser) Price() float64 { return ch.price }

// AddRating learns one rating, from 0 to 1.
func (ch *Chooser) AddRating(work WorkKind, version policy.VersionID, quality float64) {
	if !ch.kinds[work] && len(ch.kinds) >= maxKinds {
		return
	}
	ch.kinds[work] = true
	es := ch.estimates[key{work, version}]
	es.weight = min(ratingWindow, es.weight+1)
	es.mean += (quality - es.mean) / es.weight
	ch.estimates[key{work, version}] = es
}

// SetEstimate replaces what is known of a version for a kind of work.
func (ch *Chooser) SetEstimate(work WorkKind, version policy.VersionID, weight, mean float64) {
	ch.kinds[work] = true
	ch.estimates[key{work, version}] = estimate{weight: weight, mean: mean}
}

// Estimate gives what is known of a version for a kind of work.
func (ch *Chooser) Estimate(work WorkKind, version policy.VersionID) (weight, mean float64) {
	es := ch.estimates[key{work, version}]
	return es.weight, es.mean
}

// Quality gives the expected quality of an arm.
func (ch *Chooser) Quality(work WorkKind, ar Arm) float64 {
	es := ch.estimates[key{work, ar.Version}]
	return (es.mean*es.weight + ar.Quality*priorWeight) / (es.weight + priorWeight)
}

// Choice is a decision and why.
type Choice struct {
	Index    int
	Explored bool
	Quality  float64
	Price    float64
}

// Choose picks among arms for one request, and moves the price of quality.
func (ch *Chooser) Choose(work WorkKind, arms []Arm, target float64) Choice {
	best := ch.bestArm(work, arms)
	quality := ch.Quality(work, arms[best])
	ch.price = min(maxPrice, max(0, ch.price+priceStepSize*(target+targetMargin-quality)))
	if len(arms) > 1 && ch.rng.Float64() < exploreShare {
		return Choice{Index: ch.rng.IntN(len(arms)), Explored: true, Quality: quality, Price: ch.price}
	}
	return Choice{Index: best, Quality: quality, Price: ch.price}
}

// bestArm weighs quality at its price against cost, relative to the dearest arm.
func (ch *Chooser) bestArm(work WorkKind, arms []Arm) int {
	maxCost := 1.0
	for _, ar := range arms {
		maxCost = max(maxCost, float64(ar.Cost))
	}
	best, bestValue := 0, 0.0
	for i, ar := range arms {
		value := ch.price*ch.Quality(work, ar) - float64(ar.Cost)/maxCost
		if i == 0 || value > bestValue {
			best, bestValue = i, value
		}
	}
	return best
}
