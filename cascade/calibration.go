package cascade

import (
	"math"

	"tanagerpoint.example/tanager/policy"
)

// Confidence is a model's opinion of its own answer, from 0 to 1.
type Confidence float64

// quality is the chance that an answer is good, from 0 to 1.
type quality float64

const (
	// evenConfidence is the confidence at which an answer is as likely good as not, and
	// confidenceError the standard deviation of models' opinions from the truth.
	evenConfidence  = 0.5
	confidenceError = 0.2
	// confidenceBins is the number of intervals of equal width into which confidences are
	// sorted.
	confidenceBins = 5
	// binWindow is the number of most recent values that a mean counts.
	binWindow = 200
	// calibrationPrior is the number of answers that an estimate counts for which is used
	// before answers have been seen.
	calibrationPrior = 8
	// expectedClosing is the part of a small model's doubt that the largest model is expected
	// to remove, before answers have been seen. Models between remove less.
	expectedClosing = 0.75
	// maxSteps is the number of pairs of models, of each route and of all routes, of which answers
	// are kept.
	maxSteps = 4096
)

// quality returns the chance that an answer with a confidence is good.
func (co Confidence) quality() quality {
	return quality(0.5 * math.Erfc(float64(evenConfidence-co)/(confidenceError*math.Sqrt2)))
}

// bin averages values, as the qualities of the answers in one interval, over a window of values.
type bin struct {
	weight float64
	mean   float64
}

func (bi *bin) add(value float64) {
	bi.weight = min(binWindow, bi.weight+1)
	bi.mean += (value - bi.mean) / bi.weight
}

// combine returns the mean, combined with a prior value.
func (bi bin) combine(prior float64) float64 {
	return (bi.mean*bi.weight + prior*calibrationPrior) / (bi.weight + calibrationPrior)
}

func binOf(co Confidence) int {
	return max(0, min(confidenceBins-1, int(co*confidenceBins)))
}

// stepKey identifies the answers of a model and those of a larger model to the same requests of a
// route.
type stepKey struct {
	route    policy.RouteID
	from, to policy.ModelID
}

func (sk stepKey) pair() modelPair { return modelPair{sk.from, sk.to} }

// stepBins holds, by the smaller model's confidence, the quality of the larger model's answers.
type stepBins [confidenceBins]bin

// calibration estimates how good a larger model's answer will be, from the confidences of both
// models' answers to the same requests. A route with few answers uses those of all routes.
type calibration struct {
	steps  map[stepKey]*stepBins
	totals map[modelPair]*stepBins
}

// modelPair is a model and a larger one.
type modelPair struct{ from, to policy.ModelID }

func newCalibration() calibration {
	return calibration{steps: map[stepKey]*stepBins{}, totals: map[modelPair]*stepBins{}}
}

// entryOf returns the entry of a key, a new one if there is none. If there are as many as may be kept,
// a new one takes the place of any other.
func entryOf[K comparable, V any](entries map[K]*V, key K, most int) *V {
	if en, ok := entries[key]; ok {
		return en
	}
	for old := range entries {
		if len(entries) < most {
			break
		}
		delete(entries, old)
	}
	en := new(V)
	entries[key] = en
	return en
}

// addStep adds the confidences of two models' answers to the same request.
func (ca calibration) addStep(key stepKey, before, after Confidence) {
	ofRoute, total := entryOf(ca.steps, key, maxSteps), entryOf(ca.totals, key.pair(), maxSteps)
	ofRoute[binOf(before)].add(float64(after.quality()))
	total[binOf(before)].add(float64(after.quality()))
}

// expected returns the quality to expect of a larger model's answer after a smaller model's
// with a confidence. reach is how far the larger model is on the way from the smaller one to
// the largest, from 0 to 1.
func (ca calibration) expected(key stepKey, co Confidence, reach float64) quality {
	known := float64(co.quality())
	out := known + expectedClosing*reach*reach*(1-known)
	for _, sb := range []*stepBins{ca.totals[key.pair()], ca.steps[key]} {
		if sb != nil {
			out = sb[binOf(co)].combine(out)
		}
	}
	return quality(out)
}
