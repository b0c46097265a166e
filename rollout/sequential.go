// Package rollout judges a candidate version against the one in use.
//
// A Test is a sequential test by betting (Waudby-Smith and Ramdas, 2024): for
// losses from 0 to 1 whose mean is at most the accepted one, its value rarely
// grows, and exceeds 1/alpha at any time with probability alpha at most. It may
// be looked at after every answer, and so stops a bad version early.
package rollout

import (
	"math"

	"tanagerpoint.example/tanager/policy"
)

// alpha is the probability of stopping a good version, by one test.
const alpha = 0.003

// bets are the shares of the stake that the test mixes over.
var bets = [...]float64{0.05, 0.15, 0.4, 0.8}

// SequentialTest accumulates evidence that a mean loss is above the accepted one.
type SequentialTest struct {
	// logWealth holds the logarithm of what each bet has come to.
	logWealth [len(bets)]float64
}

// Observe adds a loss from 0 to 1; accepted is the largest mean loss of a good
// version, between 0 and 1.
func (st *SequentialTest) Observe(loss, accepted float64) {
	accepted = min(0.99, max(0.001, accepted))
	for i, be := range bets {
		st.logWealth[i] += math.Log1p(be / accepted * (loss - accepted))
	}
}

// LogEvidence is the mean of the bets' wealth, as a logarithm.
func (st *SequentialTest) LogEvidence() float64 {
	top := st.logWealth[0]
	for _, lw := range st.logWealth {
		top = max(top, lw)
	}
	sum := 0.0
	for _, lw := range st.logWealth {
		sum += math.Exp(lw - top)
	}
	return top + math.Log(sum/float64(len(bets)))
}

// Rejects tells whether the candidate is bad.
func (st *SequentialTest) Rejects() bool { return st.LogEvidence() > -math.Log(alpha) }

// Baseline follows the losses of the version in use.
type Baseline struct {
	count float64
	mean  float64
}

// baselineWindow is how many of the last losses the baseline weighs.
const baselineWindow = 2000

// Observe adds a loss.
func (ba *Baseline) Observe(loss float64) {
	ba.count = min(baselineWindow, ba.count+1)
	ba.mean += (loss - ba.mean) / ba.count
}

// AcceptedLoss is the largest mean loss that a good candidate may have: the
// baseline's, what chance adds to it, and a margin. prior is the mean before
// any loss was seen.
func (ba *Baseline) AcceptedLoss(prior, margin float64) float64 {
	const priorWeight = 20
	mean := (ba.mean*ba.count + prior*priorWeight) / (ba.count + priorWeight)
	chance := 2 * math.Sqrt(mean*(1-mean)/(ba.count+priorWeight))
	return mean + chance + margin
}

const (
	failurePrior  = 0.005
	failureMargin = 0.01
	slowPrior     = 0.05
	slowMargin    = 0.05
	// slowFactor times the version in use's mean first token is slow.
	slowFactor = 3
)

// Outcome is what one answer shows at the entry.
type Outcome struct {
	Failed bool
	// FirstToken is the seconds to the first token, or their ratio to what was
	// expected; 0 when unknown.
	FirstToken float64
	// TimedOut tells that the wait for the first token was given up. Under load
	// that happens to good versions too: it counts as slow, not as a failure.
	TimedOut bool
}

// HealthTest judges a candidate by what entries see at once: errors, silence and
// slowness. It is not safe for concurrent use.
type HealthTest struct {
	failures       SequentialTest
	slow           SequentialTest
	stableFailures Baseline
	stableSlow     Baseline
	meanFirstToken float64
	Answers        int64
	Failures       int64
}

// Stable adds an outcome of the version in use.
func (ht *HealthTest) Stable(ou Outcome) {
	ht.stableFailures.Observe(loss(ou.Failed))
	if ou.FirstToken > 0 || ou.TimedOut {
		ht.stableSlow.Observe(loss(ht.isSlow(ou)))
	}
	if ou.FirstToken <= 0 {
		return
	}
	const smoothing = 0.02
	if ht.meanFirstToken == 0 {
		ht.meanFirstToken = ou.FirstToken
	}
	ht.meanFirstToken += smoothing * (ou.FirstToken - ht.meanFirstToken)
}

// Candidate adds an outcome of the candidate.
func (ht *HealthTest) Candidate(ou Outcome) {
	ht.Answers++
	if ou.Failed {
		ht.Failures++
	}
	ht.failures.Observe(loss(ou.Failed), ht.stableFailures.AcceptedLoss(failurePrior, failureMargin))
	if (ou.FirstToken > 0 || ou.TimedOut) && ht.meanFirstToken > 0 {
		ht.slow.Observe(loss(ht.isSlow(ou)), ht.stableSlow.AcceptedLoss(slowPrior, slowMargin))
	}
}

func (ht *HealthTest) isSlow(ou Outcome) bool {
	return ou.TimedOut || ht.meanFirstToken > 0 && ou.FirstToken > slowFactor*ht.meanFirstToken
}

// RejectionReason gives why the candidate is bad, "" while it is not.
func (ht *HealthTest) RejectionReason() string {
	switch {
	case ht.failures.Rejects():
		return "errors or silence"
	case ht.slow.Rejects():
		return "slow first token"
	}
	return ""
}

func loss(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// QualityTest judges a candidate by ratings. It is not safe for concurrent use.
type QualityTest struct {
	test     SequentialTest
	base     QualityBaseline
	Answers  int64
	margin   float64
	expected float64
}

// QualityBaseline follows the ratings of the version in use.
type QualityBaseline struct {
	count, mean, squares float64
}

// NewQualityTest gives a judge; expected is the quality that the record states for
// the version in use, margin the loss of quality that is accepted.
func NewQualityTest(expected, margin float64) *QualityTest {
	return &QualityTest{expected: expected, margin: margin}
}

// Stable adds a rating of the version in use.
func (qt *QualityTest) Stable(quality float64) {
	ba := &qt.base
	ba.count++
	delta := quality - ba.mean
	ba.mean += delta / ba.count
	ba.squares += delta * (quality - ba.mean)
}

// Candidate adds a rating of the candidate.
func (qt *QualityTest) Candidate(quality float64) {
	qt.Answers++
	qt.test.Observe(1-quality, 1-qt.acceptedQuality())
}

// acceptedQuality is the least mean quality of a good candidate.
func (qt *QualityTest) acceptedQuality() float64 {
	const priorWeight = 5
	mean := (qt.base.mean*qt.base.count + qt.expected*priorWeight) / (qt.base.count + priorWeight)
	spread := 0.1
	if qt.base.count > 1 {
		spread = math.Sqrt(qt.base.squares / (qt.base.count - 1))
	}
	return mean - qt.margin - 2*spread/math.Sqrt(qt.base.count+priorWeight)
}

// Rejects tells whether the candidate is worse than accepted.
func (qt *QualityTest) Rejects() bool { return qt.test.Rejects() }

// NextShare gives the share after the one a roll-out is at; false when it is
// at its last.
func NextShare(ro policy.Rollout) (float64, bool) {
	for _, st := range ro.Steps {
		if st > ro.Share {
			return st, true
		}
	}
	return ro.Share, false
}
