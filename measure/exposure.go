package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tanagerpoint.example/tanager/rollout"
)

const (
	// rolloutRuns is the number of roll-outs simulated for each defect.
	rolloutRuns = 400
	// maxExposed bounds the answers by the candidate in one roll-out.
	maxExposed = 5000
	// stableAnswers is the number of answers by the version in use before the
	// roll-out, stablePerCandidate their number for each answer by the candidate.
	stableAnswers      = 500
	stablePerCandidate = 4
	// fixedWindow is the window of the baseline detector, in answers.
	fixedWindow = 200
)

// defect is how a candidate differs from the version in use.
type defect struct {
	name string
	// failed and slow are added to the probabilities of the version in use, quality to
	// its mean quality.
	failed  float64
	slow    float64
	quality float64
}

// The version in use, which the names call stable as package rollout does, fails and
// is slow with these probabilities. Its answers have this mean quality, and take
// stableSeconds to the first token, give or take 30%, or slowSeconds if they are slow.
const (
	stableFailed  = 0.005
	stableSlow    = 0.03
	stableQuality = 0.82
	slowSeconds   = 1.2
	stableSeconds = 0.2
)

// sampleAnswer returns the outcome and the rating of a random answer of a version
// with a defect.
func sampleAnswer(rng *rand.Rand, df defect) (rollout.Outcome, float64) {
	ou := rollout.Outcome{FirstToken: stableSeconds * (0.7 + 0.6*rng.Float64())}
	if rng.Float64() < stableSlow+df.slow {
		ou.FirstToken = slowSeconds
	}
	if rng.Float64() < stableFailed+df.failed {
		ou = rollout.Outcome{Failed: true}
	}
	return ou, min(1, max(0, stableQuality+df.quality+rng.NormFloat64()*ratingNoise))
}

// detector decides when to stop the roll-out of a candidate.
type detector interface {
	// addStable adds an answer of the version in use.
	addStable(ou rollout.Outcome, quality float64)
	// addCandidate adds an answer of the candidate, and reports whether to stop.
	addCandidate(ou rollout.Outcome, quality float64) bool
}

// sequential is the detector that is used in production.
type sequential struct {
	health  rollout.HealthTest
	quality *rollout.QualityTest
}

func newSequential() detector {
	return &sequential{quality: rollout.NewQualityTest(stableQuality, 0.02)}
}

func (se *sequential) addStable(ou rollout.Outcome, quality float64) {
	se.health.Stable(ou)
	if !ou.Failed {
		se.quality.Stable(quality)
	}
}

func (se *sequential) addCandidate(ou rollout.Outcome, quality float64) bool {
	se.health.Candidate(ou)
	if !ou.Failed {
		se.quality.Candidate(quality)
	}
	return se.health.RejectionReason() != "" || se.quality.Rejects()
}

// windowed is the baseline detector: it compares each full window of the candidate's
// answers with all answers of the version in use, with the margins of sequential.
type windowed struct {
	stable, window outcomeSums
}

// outcomeSums are the numbers of answers, of failed ones and of slow ones, and the sum
// of the quality of those that did not fail.
type outcomeSums struct{ n, failed, slow, quality float64 }

func newWindowed() detector { return &windowed{} }

func (su *outcomeSums) add(ou rollout.Outcome, quality float64) {
	su.n++
	if ou.Failed {
		su.failed++
		return
	}
	if ou.FirstToken > 3*stableSeconds {
		su.slow++
	}
	su.quality += quality
}

func (wi *windowed) addStable(ou rollout.Outcome, quality float64) { wi.stable.add(ou, quality) }

func (wi *windowed) addCandidate(ou rollout.Outcome, quality float64) bool {
	wi.window.add(ou, quality)
	if wi.window.n < fixedWindow {
		return false
	}
	wo, st := wi.window, wi.stable
	wi.window = outcomeSums{}
	worse := func(rate, stableRate, margin float64) bool {
		const deviations = 3
		return rate > stableRate+margin+deviations*math.Sqrt(max(stableRate, 0.005)/wo.n)
	}
	answers := max(1, wo.n-wo.failed)
	qualityLoss := st.quality/(st.n-st.failed) - wo.quality/answers
	return worse(wo.failed/wo.n, st.failed/st.n, 0.01) ||
		worse(wo.slow/wo.n, st.slow/st.n, 0.05) ||
		qualityLoss > 0.02+3*ratingNoise/math.Sqrt(answers)
}

// simulateRollouts simulates rolloutRuns roll-outs. It returns the mean number of
// answers by the candidate until the roll-out was stopped or maxExposed was reached,
// and the share of roll-outs that were stopped.
func simulateRollouts(seed uint64, df defect, newDetector func() detector) (answers, stopped float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for range rolloutRuns {
		de := newDetector()
		for range stableAnswers {
			de.addStable(sampleAnswer(rng, defect{}))
		}
		n := 0
		for n < maxExposed {
			n++
			if de.addCandidate(sampleAnswer(rng, df)) {
				stopped++
				break
			}
			for range stablePerCandidate {
				de.addStable(sampleAnswer(rng, defect{}))
			}
		}
		answers += float64(n)
	}
	return answers / rolloutRuns, stopped / rolloutRuns
}

// measureExposure measures the answers by a bad version before its roll-out is
// stopped, and how often the roll-out of a good version is.
func measureExposure(seed uint64) []Row {
	_, productionFalse := simulateRollouts(seed, defect{}, newSequential)
	_, baselineFalse := simulateRollouts(seed, defect{}, newWindowed)
	out := []Row{{
		Measure:   fmt.Sprintf("good roll-outs stopped, of %d with %d answers", rolloutRuns, maxExposed),
		Baselines: fmt.Sprintf("fixed window of %d: %.2f%%", fixedWindow, 100*baselineFalse),
		Figure:    fmt.Sprintf("%.2f%%", 100*productionFalse), Target: "<= 1%", Met: productionFalse <= 0.01,
	}}
	for _, df := range []defect{
		{name: "10% errors", failed: 0.10},
		{name: "silence: 50% fail", failed: 0.50},
		{name: "30% slow", slow: 0.30},
		{name: "quality -0.1", quality: -0.1},
		{name: "quality -0.3", quality: -0.3},
	} {
		production, stopped := simulateRollouts(seed, df, newSequential)
		baseline, baselineStopped := simulateRollouts(seed, df, newWindowed)
		out = append(out, Row{
			Measure:   "answers by a bad version before it is stopped: " + df.name,
			Baselines: fmt.Sprintf("fixed window %.0f (%.0f%% stopped)", baseline, 100*baselineStopped),
			Figure:    fmt.Sprintf("%.1f (%.0f%% stopped)", production, 100*stopped),
			Target:    "half of it or less", Met: production <= baseline/2 && stopped >= 0.99,
		})
	}
	return out
}
