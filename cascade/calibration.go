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
	// calibrationWindow is the number of most recent answers that an estimate averages.
	calibrationWindow = 200
	// calibrationPrior is the number of answers that an estimate counts for which is used
	// before answers have been seen.
	calibrationPrior = 8
	// expectedClosing is the part of a small model's doubt that the largest model is expected
	// to remove, before answers have been seen. Models between remove less.
	expectedClosing = 0.75
)

// quality returns the chance that an answer with a confidence is good.
func (co Confidence) quality() quality {
	return quality(0.5 * math.Erfc(float64(evenConfidence-co)/(confidenceError*math.Sqrt2)))
}

// bin averages the qualities of the answers in one interval, over a window of answers.
type bin struct {
	weight float64
	mean   float64
}

func (bi *bin) add(qu quality) {
	bi.weight = min(calibrationWindow, bi.weight+1)
	bi.mean += (float64(qu) - bi.mean) / bi.weight
}

// combine returns the mean, combined with a prior value.
func (bi bin) combine(prior float64) float64 {
	return (bi.mean*bi.weight + prior*calibrationPrior) / (bi.weight + calibrationPrior)
}

func binOf(co Confidence) int {
	return max(0, min(confidenceBins-1, int(co*confidenceBins)))
}

// stepKey identifies the answers of a model and those of a larger model to the same requests.
// Without a route it stands for all routes.
type stepKey struct {
	route    policy.RouteID
	from, to policy.ModelID
}

// stepBins holds, by the smaller model's confidence, the quality of the larger model's answers.
type stepBins [confidenceBins]bin

// calibration estimates how good a larger model's answer will be, from the confidences of both
// models' answers to the same requests. A route with few answers uses those of all routes.
type calibration struct {
	steps map[stepKey]*stepBins
}

func newCalibration() calibration { return calibration{steps: map[stepKey]*stepBins{}} }

// addStep adds the confidences of two models' answers to the same request.
func (ca calibration) addStep(key stepKey, before, after Confidence) {
	for _, sk := range []stepKey{key, {from: key.from, to: key.to}} {
		sb, ok := ca.steps[sk]
		if !ok {
			if len(ca.steps) >= maxRoutes {
				clear(ca.steps)
			}
			sb = &stepBins{}
			ca.steps[sk] = sb
		}
		sb[binOf(before)].add(after.quality())
	}
}

// expected returns the quality to expect of a larger model's answer after a smaller model's
// with a confidence. reach is how far the larger model is on the way from the smaller one to
// the largest, from 0 to 1.
func (ca calibration) expected(key stepKey, co Confidence, reach float64) quality {
	known := float64(co.quality())
	out := known + expectedClosing*reach*reach*(1-known)
	for _, sk := range []stepKey{{from: key.from, to: key.to}, key} {
		if sb, ok := ca.steps[sk]; ok {
			out = sb[binOf(co)].combine(out)
		}
	}
	return quality(out)
}
