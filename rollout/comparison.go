package rollout

import (
	"maps"
	"math"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

// Tally counts a release's answers on one route. Failures are among Answers.
type Tally struct {
	Answers, Failures int64
	// Timed is the number of whole answers that were compared with the usual time, Slow that of
	// those among them that took far longer.
	Timed, Slow int64
	// Whole is the number of whole answers, WholeSeconds the sum of their times.
	Whole        int64
	WholeSeconds float64
}

// Add returns the sum of both tallies.
func (ta Tally) Add(other Tally) Tally {
	return Tally{
		Answers: ta.Answers + other.Answers, Failures: ta.Failures + other.Failures,
		Timed: ta.Timed + other.Timed, Slow: ta.Slow + other.Slow,
		Whole: ta.Whole + other.Whole, WholeSeconds: ta.WholeSeconds + other.WholeSeconds,
	}
}

// minWhole is the number of whole answers from which their mean time is known well enough.
const minWhole = 10

// usualTime returns the mean time to a whole answer, 0 if too few are known.
func (ta Tally) usualTime() time.Duration {
	if ta.Whole < minWhole {
		return 0
	}
	return quantity.Seconds(ta.WholeSeconds / float64(ta.Whole))
}

// subtract removes answers that are among those of the tally.
func (ta *Tally) subtract(part Tally) {
	ta.Answers -= part.Answers
	ta.Failures -= part.Failures
	ta.Timed -= part.Timed
	ta.Slow -= part.Slow
	ta.Whole -= part.Whole
	ta.WholeSeconds -= part.WholeSeconds
}

// RouteTallies are those of the candidate and of the version in use on one route.
type RouteTallies struct {
	Candidate, Stable Tally
	// Endpoints are the parts of Candidate by endpoint. Some may be missing.
	Endpoints map[policy.EndpointID]Tally
}

// empty reports whether nothing has been counted.
func (rt RouteTallies) empty() bool { return rt.Candidate == Tally{} && rt.Stable == Tally{} }

// Add returns the sums of both.
func (rt RouteTallies) Add(other RouteTallies) RouteTallies {
	out := RouteTallies{Candidate: rt.Candidate.Add(other.Candidate), Stable: rt.Stable.Add(other.Stable)}
	out.Endpoints = map[policy.EndpointID]Tally{}
	maps.Copy(out.Endpoints, rt.Endpoints)
	for id, ta := range other.Endpoints {
		out.Endpoints[id] = out.Endpoints[id].Add(ta)
	}
	return out
}

// atEndpoint returns the tallies as if one endpoint alone ran the candidate, and its others the
// version in use.
func (rt RouteTallies) atEndpoint(id policy.EndpointID) RouteTallies {
	out := RouteTallies{Candidate: rt.Endpoints[id], Stable: rt.Stable.Add(rt.Candidate)}
	out.Stable.subtract(out.Candidate)
	return out
}

// Opinion is what the answers of a candidate, compared with those of the version in use, say of it.
type Opinion struct {
	// Odds are the odds that the candidate is bad. They are 1 before the first answer.
	Odds float64
	// ExpectedLoss is the share of all requests that the candidate is expected to fail, or to
	// answer slowly, beyond those of the version in use. It weighs how bad the candidate may
	// be by how likely that is.
	ExpectedLoss float64
}

// Compare compares a candidate with the version in use, each route by itself: some routes fail
// far more often than others on any version.
func Compare(routes map[policy.RouteID]RouteTallies) Opinion {
	failures, slow := failureDefect.compare(routes), slowDefect.compare(routes)
	if slowDefect.totalTraffic(routes) == 0 {
		// All answers are streams; see HealthTest.
		return failures
	}
	return Opinion{Odds: max(failures.Odds, slow.Odds), ExpectedLoss: failures.ExpectedLoss + slow.ExpectedLoss}
}

// sumOf returns the sums over all routes.
func sumOf(routes map[policy.RouteID]RouteTallies) RouteTallies {
	var out RouteTallies
	for _, rt := range routes {
		out = out.Add(rt)
	}
	return out
}

// defect is a kind of bad answer.
type defect struct {
	// acceptedShare is the share of answers beyond those of the version in use that a good
	// candidate may spoil.
	acceptedShare float64
	// badShares are the shares that a bad candidate may spoil, each as likely as the others.
	badShares []float64
	// count returns how many answers could have the defect, and how many have it.
	count func(ta Tally) (answers, defects int64)
}

var (
	failureDefect = defect{
		acceptedShare: failureMargin,
		badShares:     []float64{0.03, 0.06, 0.12, 0.25, 0.5, 0.95},
		count:         func(ta Tally) (int64, int64) { return ta.Answers, ta.Failures },
	}
	slowDefect = defect{
		acceptedShare: slowMargin,
		badShares:     []float64{0.12, 0.25, 0.5, 0.95},
		count:         func(ta Tally) (int64, int64) { return ta.Timed, ta.Slow },
	}
)

const (
	// priorDefects and priorAnswers are what is assumed of a route at the version in use
	// before its first answer.
	priorDefects = 0.1
	priorAnswers = 2
	// maxDefects bounds the work of a comparison. More defects count as so many, among
	// proportionally fewer answers.
	maxDefects = 1000
	// maxEvidence keeps the odds finite.
	maxEvidence = 500
)

// compare weighs hypotheses by how well they explain what was counted: the candidate is good, one
// of its endpoints perhaps in trouble, or it is bad on all routes alike, or bad on a single route.
// A priori it is as likely good as bad, and as likely bad on all routes as on one.
func (de defect) compare(routes map[policy.RouteID]RouteTallies) Opinion {
	total := de.totalTraffic(routes)
	if total == 0 {
		return Opinion{Odds: 1, ExpectedLoss: 1}
	}
	prior := 0.5 / float64(len(de.badShares))
	odds, loss := 0.0, 0.0
	for _, share := range de.badShares {
		onAll := 0.0
		for _, rt := range routes {
			evidence := de.evidence(rt, share)
			onAll += evidence
			onOne := prior * math.Exp(min(evidence, maxEvidence)) / float64(len(routes))
			odds += onOne
			loss += onOne * share * de.traffic(rt) / total
		}
		everywhere := prior * math.Exp(min(onAll, maxEvidence))
		odds += everywhere
		loss += everywhere * share
	}
	good := 1 - endpointTrouble + endpointTrouble*de.troubleLikelihood(routes)
	return Opinion{Odds: odds / good, ExpectedLoss: loss / (good + odds)}
}

const (
	// endpointTrouble is the probability that one endpoint of a good candidate is in trouble.
	endpointTrouble = 0.005
	// minEndpoints is the number of endpoints from which trouble of one of them can be told from
	// a bad candidate.
	minEndpoints = 3
)

// troubleLikelihood returns the likelihood ratio of a good candidate of which one endpoint, any of
// them, spoils a share of its answers, and of a good candidate without trouble.
func (de defect) troubleLikelihood(routes map[policy.RouteID]RouteTallies) float64 {
	endpoints := sumOf(routes).Endpoints
	if len(endpoints) < minEndpoints {
		return 1
	}
	sum := 0.0
	for id := range endpoints {
		for _, share := range de.badShares {
			evidence := 0.0
			for _, rt := range routes {
				evidence += de.logLikelihood(rt.atEndpoint(id), share)
			}
			sum += math.Exp(min(evidence, maxEvidence))
		}
	}
	return sum / float64(len(endpoints)*len(de.badShares))
}

// traffic returns the answers of both versions on a route that could have the defect.
func (de defect) traffic(rt RouteTallies) float64 {
	candidate, _ := de.count(rt.Candidate)
	stable, _ := de.count(rt.Stable)
	return float64(candidate + stable)
}

// totalTraffic returns the sum of traffic over all routes.
func (de defect) totalTraffic(routes map[policy.RouteID]RouteTallies) float64 {
	sum := 0.0
	for _, rt := range routes {
		sum += de.traffic(rt)
	}
	return sum
}

// evidence returns the logarithm of the likelihood ratio of a candidate that spoils a share of
// its answers on a route, and of a good one. A good one spoils none or the accepted share,
// whichever explains the answers better.
func (de defect) evidence(rt RouteTallies, share float64) float64 {
	return de.logLikelihood(rt, share) - max(0, de.logLikelihood(rt, de.acceptedShare))
}

// logLikelihood returns the logarithm of the likelihood ratio of a candidate that spoils a share
// of its answers on a route, and of one that spoils none. The rate of defects of the version in
// use is not known exactly: given its answers, it has a beta distribution, with parameters a and
// b. Each of the candidate's k defects among n answers is one at that rate, or one of the share:
//
//	(1-share)^(n-k) * sum for j = 0 to k of C(k,j) share^(k-j) B(a+j,b+n-j) / B(a+k,b+n-k)
//
// The sum is added up from j = k, where the term is 1, by the ratio of one term to the next.
func (de defect) logLikelihood(rt RouteTallies, share float64) float64 {
	answers, defects := de.count(rt.Candidate)
	stableAnswers, stableDefects := de.count(rt.Stable)
	n, k := float64(answers), float64(defects)
	if k > maxDefects {
		n, k = n*maxDefects/k, maxDefects
	}
	a := priorDefects + float64(stableDefects)
	b := priorAnswers - priorDefects + float64(stableAnswers-stableDefects)
	logSum, logTerm := 0.0, 0.0
	for j := k; j > 0; j-- {
		logTerm += math.Log(share * j / (k - j + 1) * (b + n - j) / (a + j - 1))
		logSum = logAdd(logSum, logTerm)
	}
	return (n-k)*math.Log1p(-share) + logSum
}

// logAdd returns the logarithm of the sum of two numbers, given their logarithms.
func logAdd(a, b float64) float64 {
	return max(a, b) + math.Log1p(math.Exp(min(a, b)-max(a, b)))
}
