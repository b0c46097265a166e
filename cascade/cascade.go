// Package cascade selects, for each request, the model that meets the quality
// target at the lowest cost.
//
// The selection is an online linear program: minimise cost subject to a mean
// quality at the target. Its dual price of quality rises while the expected
// quality of the selected models is below the target and falls while it is above
// (primal-dual bandits with knapsacks, after Agrawal and Devanur, 2014). Expected
// quality is estimated from ratings for each kind of work. Without new ratings
// the estimates do not change, and neither does the share of requests that each
// model gets.
package cascade

import (
	"math/rand/v2"

	"tanagerpoint.example/tanager/policy"
)

// WorkKind is a kind of work, as named by the caller.
type WorkKind string

const (
	// priorWeight is the number of ratings that the quality stated in the policy
	// record counts for.
	priorWeight = 4
	// ratingWindow is the number of most recent ratings that an estimate averages.
	ratingWindow = 150
	// priceStepSize is the change of the price for each unit by which the expected
	// quality of a choice is below the target. maxPrice bounds the price.
	priceStepSize = 0.25
	maxPrice      = 200
	// exploreShare is the share of choices that are made at random, so that a change in any
	// model's quality is noticed: of requests that may go to any model, and of answers for
	// which there are several larger models.
	exploreShare = 0.02
	// maxKinds is the maximum number of kinds of work with their own estimates.
	maxKinds = 256
	// targetMargin is added to the quality target to allow for errors of the
	// estimates.
	targetMargin = 0.002
)

// Arm is a model that can be selected, in the terms of bandit algorithms.
type Arm struct {
	Model   policy.ModelID
	Version policy.VersionID
	// Cost is the expected cost of the answer.
	Cost policy.MicroCredits
	// Quality is the quality stated in the policy record, before any rating.
	Quality float64
}

// estimate is a version's mean rating for one kind of work. Its weight is the
// number of ratings, up to ratingWindow.
type estimate struct {
	weight float64
	mean   float64
}

type key struct {
	kind    WorkKind
	version policy.VersionID
}

// Chooser selects models for one cascade. It is not safe for concurrent use.
type Chooser struct {
	rng       *rand.Rand
	price     float64
	estimates map[key]estimate
	kinds     map[WorkKind]bool
}

// NewChooser returns a Chooser without ratings. seed initialises the random
// numbers used for exploration.
func NewChooser(seed uint64) *Chooser {
	return &Chooser{
		rng:       rand.New(rand.NewPCG(seed, 0)),
		price:     1,
		estimates: map[key]estimate{},
		kinds:     map[WorkKind]bool{},
	}
}

// Price returns the dual price of quality: the value of one unit of quality as a
// multiple of the most expensive arm's cost.
func (ch *Chooser) Price() float64 { return ch.price }

// AddRating adds a rating, from 0 to 1, to the estimate for a version and a kind of
// work. Once there are maxKinds, it ignores ratings of new kinds.
func (ch *Chooser) AddRating(kind WorkKind, version policy.VersionID, quality float64) {
	if !ch.kinds[kind] && len(ch.kinds) >= maxKinds {
		return
	}
	ch.kinds[kind] = true
	es := ch.estimates[key{kind, version}]
	es.weight = min(ratingWindow, es.weight+1)
	es.mean += (quality - es.mean) / es.weight
	ch.estimates[key{kind, version}] = es
}

// SetEstimate sets the estimate for a version and a kind of work.
func (ch *Chooser) SetEstimate(kind WorkKind, version policy.VersionID, weight, mean float64) {
	ch.kinds[kind] = true
	ch.estimates[key{kind, version}] = estimate{weight: weight, mean: mean}
}

// Estimate returns the weight and the mean rating for a version and a kind of
// work; both are 0 without ratings.
func (ch *Chooser) Estimate(kind WorkKind, version policy.VersionID) (weight, mean float64) {
	es := ch.estimates[key{kind, version}]
	return es.weight, es.mean
}

// Quality returns the expected quality of an arm: its mean rating, combined with
// the quality stated in the policy record.
func (ch *Chooser) Quality(kind WorkKind, ar Arm) float64 {
	es := ch.estimates[key{kind, ar.Version}]
	return (es.mean*es.weight + ar.Quality*priorWeight) / (es.weight + priorWeight)
}

// Choice is the selected arm, with the values that led to it. Explored reports
// whether the arm was selected at random. Quality is the expected quality of the
// best arm even then, and Price the price after its update for this request.
type Choice struct {
	Index    int
	Explored bool
	Quality  float64
	Price    float64
}

// Choose selects an arm for one request and updates the price of quality. target
// is the mean quality to reach, from 0 to 1; arms must not be empty.
func (ch *Chooser) Choose(kind WorkKind, arms []Arm, target float64) Choice {
	best := ch.bestArm(kind, arms)
	quality := ch.Quality(kind, arms[best])
	ch.price = min(maxPrice, max(0, ch.price+priceStepSize*(target+targetMargin-quality)))
	if len(arms) > 1 && ch.rng.Float64() < exploreShare {
		return Choice{Index: ch.rng.IntN(len(arms)), Explored: true, Quality: quality, Price: ch.price}
	}
	return Choice{Index: best, Quality: quality, Price: ch.price}
}

// bestArm returns the index of the arm with the highest value: its quality times
// the price, less its cost relative to the most expensive arm.
func (ch *Chooser) bestArm(kind WorkKind, arms []Arm) int {
	maxCost := 1.0
	for _, ar := range arms {
		maxCost = max(maxCost, float64(ar.Cost))
	}
	best, bestValue := 0, 0.0
	for i, ar := range arms {
		value := ch.price*ch.Quality(kind, ar) - float64(ar.Cost)/maxCost
		if i == 0 || value > bestValue {
			best, bestValue = i, value
		}
	}
	return best
}
