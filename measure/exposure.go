package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tanagerpoint.example/tanager/rollout"
)

const (
	rolloutRuns = 400
	// maxExposed bounds one roll-out's answers.
	maxExposed = 5000
	// baselineAnswers of the version in use have been seen at the start, and
	// baselinePerAnswer come with each answer of the candidate.
	baselineAnswers   = 500
	baselinePerAnswer = 4
	// fixedWindow is the baseline check's number of answers.
	fixedWindow = 200
)

// fault is how a candidate differs from the version in use.
type fault struct {
	name string
	// failed and slow are probabilities, quality is added.
	failed  float64
	slow    float64
	quality float64
}

const (
	usualFailed  = 0.005
	usualSlow    = 0.03
	usualQuality = 0.82
	slowSeconds  = 1.2
	usualSeconds = 0.2
)

func draw(rng *rand.Rand, fa fault) (rollout.Outcome, float64) {
	ou := rollout.Outcome{FirstToken: usualSeconds * (0.7 + 0.6*rng.Float64())}
	if rng.Float64() < usualSlow+fa.slow {
		ou.FirstToken = slowSeconds
	}
	if rng.Float64() < usualFailed+fa.failed {
		ou = rollout.Outcome{Failed: true}
	}
	return ou, min(1, max(0, usualQuality+fa.quality+rng.NormFloat64()*ratingNoise))
}

// judge is a way of stopping a candidate.
type judge interface {
	stable(ou rollout.Outcome, quality float64)
	// candidate takes in an answer, and tells whether to stop.
	candidate(ou rollout.Outcome, quality float64) bool
}

// sequential is the code that serves.
type sequential struct {
	guard   rollout.HealthTest
	quality *rollout.QualityTest
}

func newSequential() judge {
	return &sequential{quality: rollout.NewQualityTest(usualQuality, 0.02)}
}

func (se *sequential) stable(ou rollout.Outcome, quality float64) {
	se.guard.Stable(ou)
	if !ou.Failed {
		se.quality.Stable(quality)
	}
}

func (se *sequential) candidate(ou rollout.Outcome, quality float64) bool {
	se.guard.Candidate(ou)
	if !ou.Failed {
		se.quality.Candidate(quality)
	}
	return se.guard.RejectionReason() != "" || se.quality.Rejects()
}

// windowed looks at each full window of answers, by the same margins.
type windowed struct {
	base, window sums
}

type sums struct{ n, failed, slow, quality float64 }

func newWindowed() judge { return &windowed{} }

func (su *sums) add(ou rollout.Outcome, quality float64) {
	su.n++
	if ou.Failed {
		su.failed++
		return
	}
	if ou.FirstToken > 3*usualSeconds {
		su.slow++
	}
	su.quality += quality
}

func (wi *windowed) stable(ou rollout.Outcome, quality float64) { wi.base.add(ou, quality) }

func (wi *windowed) candidate(ou rollout.Outcome, quality float64) bool {
	wi.window.add(ou, quality)
	if wi.window.n < fixedWindow {
		return false
	}
	wo, ba := wi.window, wi.base
	wi.window = sums{}
	worse := func(rate, base, margin float64) bool {
		const deviations = 3
		return rate > base+margin+deviations*math.Sqrt(max(base, 0.005)/wo.n)
	}
	answers := max(1, wo.n-wo.failed)
	lost := ba.quality/(ba.n-ba.failed) - wo.quality/answers
	return worse(wo.failed/wo.n, ba.failed/ba.n, 0.01) ||
		worse(wo.slow/wo.n, ba.slow/ba.n, 0.05) ||
		lost > 0.02+3*ratingNoise/math.Sqrt(answers)
}

// exposed gives the mean number of answers before the stop, and the share of
// roll-outs that were stopped.
func exposed(seed uint64, fa fault, make func() judge) (answers, stopped float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for range rolloutRuns {
		ju := make()
		for range baselineAnswers {
			ju.stable(draw(rng, fault{}))
		}
		n := 0
		for n < maxExposed {
			n++
			if ju.candidate(draw(rng, fa)) {
				stopped++
				break
			}
			for range baselinePerAnswer {
				ju.stable(draw(rng, fault{}))
			}
		}
		answers += float64(n)
	}
	return answers / rolloutRuns, stopped / rolloutRuns
}

// measureExposure measures answers by a bad version before it is stopped.
func measureExposure(seed uint64) []Row {
	_, mineFalse := exposed(seed, fault{}, newSequential)
	_, baseFalse := exposed(seed, fault{}, newWindowed)
	out := []Row{{
		Measure:   fmt.Sprintf("good roll-outs stopped, of %d with %d answers", rolloutRuns, maxExposed),
		Baselines: fmt.Sprintf("fixed window of %d: %.2f%%", fixedWindow, 100*baseFalse),
		Figure:    fmt.Sprintf("%.2f%%", 100*mineFalse), Target: "<= 1%", Met: mineFalse <= 0.01,
	}}
	for _, fa := range []fault{
		{name: "10% errors", failed: 0.10},
		{name: "silence: 50% fail", failed: 0.50},
		{name: "30% slow", slow: 0.30},
		{name: "quality -0.1", quality: -0.1},
		{name: "quality -0.3", quality: -0.3},
	} {
		mine, stopped := exposed(seed, fa, newSequential)
		base, baseStopped := exposed(seed, fa, newWindowed)
		out = append(out, Row{
			Measure:   "answers by a bad version before it is stopped: " + fa.name,
			Baselines: fmt.Sprintf("fixed window %.0f (%.0f%% stopped)", base, 100*baseStopped),
			Figure:    fmt.Sprintf("%.1f (%.0f%% stopped)", mine, 100*stopped),
			Target:    "half of it or less", Met: mine <= base/2 && stopped >= 0.99,
		})
	}
	return out
}
