// Package rollout decides whether a candidate is worse than the version in use,
// and when a roll-out goes on to its next step. Versions of models are rolled out
// by stewards and entries, releases of services by routers. The tests are the same
// for both, and "version" in their comments includes releases. "Stable" in a name
// refers to the version in use.
//
// A SequentialTest is a sequential test by betting (Waudby-Smith and Ramdas,
// 2024). It starts with a wealth of 1 and bets at each loss that the mean loss is
// above the accepted one. For losses from 0 to 1 whose mean is at most the
// accepted one, the probability that the wealth ever exceeds 1/alpha is at most
// alpha. The test can therefore be evaluated after every answer and stops a bad
// version early.
package rollout

import (
	"math"
	"slices"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

// alpha is the maximum probability that one test rejects a good version.
const alpha = 0.003

// bets are the fractions of the wealth that are staked at each loss. The test
// keeps one wealth for each of them and evaluates their mean.
var bets = [...]float64{0.05, 0.15, 0.4, 0.8}

// SequentialTest accumulates evidence that a mean loss is above the accepted one.
type SequentialTest struct {
	// logWealth is the logarithm of the wealth of each bet.
	logWealth [len(bets)]float64
}

// Observe adds a loss from 0 to 1. accepted is the largest mean loss of a good
// version; it is limited to the range from 0.001 to 0.99.
func (st *SequentialTest) Observe(loss, accepted float64) {
	accepted = min(0.99, max(0.001, accepted))
	for i, be := range bets {
		st.logWealth[i] += math.Log1p(be / accepted * (loss - accepted))
	}
}

// LogWealth returns the logarithms of the wealth of each bet. They tell other daemons what this
// one has observed; see Add.
func (st *SequentialTest) LogWealth() []float64 { return slices.Clone(st.logWealth[:]) }

// Add adds the evidence of another daemon's test, as LogWealth returned it there. Each test is
// a bet that a good version does not win, and so is the product of all: together they reject a
// good version no more often than one of them does. Evidence of another number of bets, from
// another version of the program, is left out, and so is what is not a number.
func (st *SequentialTest) Add(logWealth []float64) {
	if len(logWealth) != len(bets) || slices.ContainsFunc(logWealth, math.IsNaN) {
		return
	}
	for i, lw := range logWealth {
		st.logWealth[i] += wealthBounds.Clamp(lw)
	}
}

// wealthBounds are those of the logarithm of a wealth, far beyond what rejects a candidate.
var wealthBounds = quantity.Bounds[float64]{Min: -1e6, Max: 1e6}

// LogEvidence returns the logarithm of the mean wealth over all bets.
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

// Rejects reports whether the evidence suffices to reject the candidate.
func (st *SequentialTest) Rejects() bool { return st.LogEvidence() > -math.Log(alpha) }

// movingMean is the mean of the most recent values.
type movingMean struct {
	count float64
	mean  float64
}

// observe adds a value to the mean of so many.
func (mm *movingMean) observe(value, window float64) {
	mm.count = min(window, mm.count+1)
	mm.mean += (value - mm.mean) / mm.count
}

const (
	// baselineWindow and firstTokenWindow are the numbers of most recent losses, and of most
	// recent times to first token, that are averaged.
	baselineWindow   = 2000
	firstTokenWindow = 50
)

// Baseline estimates the mean loss of the version in use.
type Baseline struct{ movingMean }

// Observe adds a loss from 0 to 1.
func (ba *Baseline) Observe(loss float64) { ba.observe(loss, baselineWindow) }

// AcceptedLoss returns the largest mean loss of a good candidate: the baseline's
// mean plus two standard errors and the margin. prior is the mean assumed before
// any loss is observed; it counts as much as priorWeight losses.
func (ba *Baseline) AcceptedLoss(prior, margin float64) float64 {
	const priorWeight = 20
	mean := (ba.mean*ba.count + prior*priorWeight) / (ba.count + priorWeight)
	chance := 2 * math.Sqrt(mean*(1-mean)/(ba.count+priorWeight))
	return mean + chance + margin
}

const (
	// failureMargin and slowMargin are the shares of failures and of slow answers beyond
	// those of the version in use that are accepted, slowPrior is the share of slow answers
	// that is assumed of it at first.
	failureMargin = 0.01
	slowPrior     = 0.05
	slowMargin    = 0.05
	// slowFactor is the multiple of the mean time to first token, or to a whole answer, of
	// the version in use above which an answer is slow.
	slowFactor = 3
	// minDelay is the shortest delay of a whole answer that callers notice.
	minDelay = 20 * time.Millisecond
	// slowPaceFactor is the multiple of the usual time between two events above which a
	// stream is slow. It varies less than the time to first token, which includes queueing.
	slowPaceFactor = 2
)

// Outcome is the result of one attempt, as seen by the entry or router.
type Outcome struct {
	// Route is the route of the request, or the rank of work at entries.
	Route policy.RouteID
	// Endpoint is the endpoint of the attempt.
	Endpoint policy.EndpointID
	Failed   bool
	// FirstToken is the time to the first token, in seconds at entries and as a
	// ratio to the expected time at routers; it is 0 when unknown.
	FirstToken float64
	// Took is the time to the whole answer, 0 if the answer is a stream or has failed.
	Took time.Duration
	// TimedOut reports whether the wait for the first token timed out. This happens
	// to good versions under load too, so it counts as slow, not as a failure.
	TimedOut bool
}

// HealthTest counts the outcomes of a candidate and of the version in use by route, for Compare,
// and rejects a candidate by slow first tokens and slow streams, which are known without waiting
// for ratings. It is not safe for concurrent use.
type HealthTest struct {
	routes         map[policy.RouteID]*routeOutcomes
	slow           SequentialTest
	pace           SequentialTest
	stableSlow     Baseline
	stablePace     Baseline
	meanFirstToken movingMean
}

// routeOutcomes are the outcomes on one route.
type routeOutcomes struct {
	RouteTallies
	// usual is the usual time to a whole answer, 0 if it is not known.
	usual time.Duration
}

// maxRoutes bounds the routes that are counted by themselves.
const maxRoutes = 32

// route returns the outcomes on a route. Those of the routes beyond maxRoutes are counted together.
func (ht *HealthTest) route(id policy.RouteID) *routeOutcomes {
	if ht.routes == nil {
		ht.routes = map[policy.RouteID]*routeOutcomes{}
	}
	if _, ok := ht.routes[id]; !ok && len(ht.routes) >= maxRoutes {
		id = ""
	}
	ro, ok := ht.routes[id]
	if !ok {
		ro = &routeOutcomes{}
		ht.routes[id] = ro
	}
	return ro
}

// SetUsualTimes sets the usual times to whole answers: those of the version in use at all daemons.
// A daemon's own first answers are too few to tell.
func (ht *HealthTest) SetUsualTimes(total Report) {
	for id, rt := range total.Routes {
		if ro, ok := ht.routes[id]; ok {
			ro.usual = rt.Stable.usualTime()
		}
	}
}

// count adds an outcome to a version's tally.
func (ro *routeOutcomes) count(ta *Tally, ou Outcome) {
	ta.Answers++
	if ou.Failed {
		ta.Failures++
	}
	if ou.Took <= 0 {
		return
	}
	ta.Whole++
	ta.WholeSeconds += ou.Took.Seconds()
	if ro.usual <= 0 {
		return
	}
	ta.Timed++
	if ou.Took > max(slowFactor*ro.usual, ro.usual+minDelay) {
		ta.Slow++
	}
}

// countCandidate adds an outcome of the candidate.
func (ro *routeOutcomes) countCandidate(ou Outcome) {
	ro.count(&ro.Candidate, ou)
	if ro.Endpoints == nil {
		ro.Endpoints = map[policy.EndpointID]Tally{}
	}
	ta := ro.Endpoints[ou.Endpoint]
	ro.count(&ta, ou)
	ro.Endpoints[ou.Endpoint] = ta
}

// Stable adds an outcome of the version in use.
func (ht *HealthTest) Stable(ou Outcome) {
	ro := ht.route(ou.Route)
	ro.count(&ro.Stable, ou)
	if ou.FirstToken > 0 || ou.TimedOut {
		ht.stableSlow.Observe(loss(ht.isSlow(ou)))
	}
	if ou.FirstToken > 0 {
		ht.meanFirstToken.observe(ou.FirstToken, firstTokenWindow)
	}
}

// Candidate adds an outcome of the candidate.
func (ht *HealthTest) Candidate(ou Outcome) {
	ht.route(ou.Route).countCandidate(ou)
	if (ou.FirstToken > 0 || ou.TimedOut) && ht.meanFirstToken.count > 0 {
		ht.slow.Observe(loss(ht.isSlow(ou)), ht.stableSlow.AcceptedLoss(slowPrior, slowMargin))
	}
}

// Routes returns what has been counted, by route.
func (ht *HealthTest) Routes() map[policy.RouteID]RouteTallies {
	out := map[policy.RouteID]RouteTallies{}
	for id, ro := range ht.routes {
		out[id] = ro.Add(RouteTallies{})
	}
	return out
}

// StablePace adds the time between two events of a stream of the version in use, as a ratio
// to the usual one.
func (ht *HealthTest) StablePace(ratio float64) {
	ht.stablePace.Observe(loss(ratio > slowPaceFactor))
}

// CandidatePace adds that of a stream of the candidate.
func (ht *HealthTest) CandidatePace(ratio float64) {
	ht.pace.Observe(loss(ratio > slowPaceFactor), ht.stablePace.AcceptedLoss(slowPrior, slowMargin))
}

func (ht *HealthTest) isSlow(ou Outcome) bool {
	return ou.TimedOut || ht.meanFirstToken.count > 0 && ou.FirstToken > slowFactor*ht.meanFirstToken.mean
}

// Evidence is the evidence against a candidate by its times, of one daemon or of several.
type Evidence struct {
	Slow, Pace SequentialTest
}

// add adds the evidence of other daemons.
func (ev *Evidence) add(other Evidence) {
	ev.Slow.Add(other.Slow.logWealth[:])
	ev.Pace.Add(other.Pace.logWealth[:])
}

// Evidence returns the evidence against the candidate.
func (ht *HealthTest) Evidence() Evidence {
	return Evidence{Slow: ht.slow, Pace: ht.pace}
}

// Report returns what has been counted as a report.
func (ht *HealthTest) Report() Report {
	return Report{Routes: ht.Routes(), Evidence: ht.Evidence()}
}

// RejectionReason says why the candidate is bad; it returns "" while it is not
// rejected.
func (ht *HealthTest) RejectionReason() string { return ht.Report().Verdict() }

// RejectionReason says why the candidate is bad; it returns "" while the evidence does not
// suffice to reject it.
func (ev Evidence) RejectionReason() string {
	switch {
	case ev.Slow.Rejects():
		return "slow first token"
	case ev.Pace.Rejects():
		return "slow stream"
	}
	return ""
}

func loss(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// QualityTest rejects a candidate by ratings. Ratings counts those of the
// candidate. It is not safe for concurrent use.
type QualityTest struct {
	test     SequentialTest
	base     QualityBaseline
	Ratings  int64
	margin   float64
	expected float64
}

// QualityBaseline accumulates the mean of the ratings of the version in use and the
// sum of their squared deviations from it (Welford's algorithm).
type QualityBaseline struct {
	count, mean, squaredDeviations float64
}

// NewQualityTest returns a test without ratings. expected is the quality that the
// policy record states for the version in use; margin is the accepted loss of
// quality.
func NewQualityTest(expected, margin float64) *QualityTest {
	return &QualityTest{expected: expected, margin: margin}
}

// Stable adds a rating, from 0 to 1, of the version in use.
func (qt *QualityTest) Stable(quality float64) {
	ba := &qt.base
	ba.count++
	delta := quality - ba.mean
	ba.mean += delta / ba.count
	ba.squaredDeviations += delta * (quality - ba.mean)
}

// Candidate adds a rating, from 0 to 1, of the candidate.
func (qt *QualityTest) Candidate(quality float64) {
	qt.Ratings++
	qt.test.Observe(1-quality, 1-qt.acceptedQuality())
}

// acceptedQuality returns the lowest mean quality of a good candidate: the
// baseline's mean, less the margin and two standard errors. The quality stated in
// the policy record counts as much as priorWeight ratings.
func (qt *QualityTest) acceptedQuality() float64 {
	const priorWeight = 5
	mean := (qt.base.mean*qt.base.count + qt.expected*priorWeight) / (qt.base.count + priorWeight)
	spread := 0.1
	if qt.base.count > 1 {
		spread = math.Sqrt(qt.base.squaredDeviations / (qt.base.count - 1))
	}
	return mean - qt.margin - 2*spread/math.Sqrt(qt.base.count+priorWeight)
}

// Rejects reports whether the ratings suffice to reject the candidate.
func (qt *QualityTest) Rejects() bool { return qt.test.Rejects() }

// NextShare returns the candidate's share at the roll-out's next step. It returns
// the current share and false at the last step.
func NextShare(ro policy.Rollout) (float64, bool) {
	for _, st := range ro.Steps {
		if st > ro.Share {
			return st, true
		}
	}
	return ro.Share, false
}
