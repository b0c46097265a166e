package rollout

import (
	"fmt"
	"maps"
	"slices"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// Report is what one router, or several, have observed of a roll-out.
type Report struct {
	// Routes count the answers by route. The route "" stands for those of unknown routes.
	Routes map[policy.RouteID]RouteTallies
	// Sent is the number of requests sent to the candidate.
	Sent int64
	// StableInFlight is the number of requests in flight on the release in use.
	StableInFlight int64
	// RejectionReason says why a router has rejected the candidate, "" if none has.
	RejectionReason string
	Evidence        Evidence
}

// ReportOf returns the report of a message.
func ReportOf(he *rpc.VersionHealth) Report {
	re := Report{
		Routes:         map[policy.RouteID]RouteTallies{},
		Sent:           countBounds.Clamp(he.GetSent()),
		StableInFlight: countBounds.Clamp(he.GetStableInFlight()),
	}
	candidate := Tally{Answers: he.GetAnswers(), Failures: he.GetFailures()}.bounded()
	stable := Tally{Answers: he.GetStableAnswers(), Failures: he.GetStableFailures()}.bounded()
	for _, rh := range he.GetRoutes() {
		rt := routeTalliesOf(rh)
		re.addRoute(policy.RouteID(rh.GetRoute()), rt)
		candidate.subtract(rt.Candidate)
		stable.subtract(rt.Stable)
	}
	re.addRoute("", RouteTallies{Candidate: candidate.bounded(), Stable: stable.bounded()})
	if he.GetSuspect() {
		re.RejectionReason = he.GetReason()
	}
	re.Evidence.Slow.Add(he.GetSlowEvidence())
	re.Evidence.Pace.Add(he.GetPaceEvidence())
	return re
}

// addRoute adds the tallies of a route.
func (re Report) addRoute(id policy.RouteID, rt RouteTallies) {
	if !rt.empty() {
		re.Routes[id] = re.Routes[id].Add(rt)
	}
}

// countBounds are those of a router's answers of a release.
var countBounds = quantity.Bounds[int64]{Min: 0, Max: 1 << 40}

// secondsBounds are those of the times of a router's answers, added up.
var secondsBounds = quantity.Bounds[float64]{Min: 0, Max: 1 << 40}

// routeTalliesOf returns the tallies of a message. Those of endpoints are left out if they are more
// than the whole.
func routeTalliesOf(rh *rpc.RouteHealth) RouteTallies {
	out := RouteTallies{Candidate: tallyOf(rh.GetCandidate()), Stable: tallyOf(rh.GetStable()), Endpoints: map[policy.EndpointID]Tally{}}
	rest := out.Candidate
	for _, et := range rh.GetEndpoints() {
		part := tallyOf(et.GetTally())
		rest.subtract(part)
		out.Endpoints[policy.EndpointID(et.GetEndpoint())] = part
	}
	if min(rest.Answers, rest.Failures, rest.Timed, rest.Slow, rest.Whole) < 0 {
		out.Endpoints = nil
	}
	return out
}

func tallyOf(ta *rpc.ReleaseTally) Tally {
	return Tally{
		Answers: ta.GetAnswers(), Failures: ta.GetFailures(), Timed: ta.GetTimed(), Slow: ta.GetSlow(),
		Whole: ta.GetWhole(), WholeSeconds: ta.GetWholeSeconds(),
	}.bounded()
}

// bounded returns a tally without the odd numbers that another daemon may have sent.
func (ta Tally) bounded() Tally {
	ta.Answers, ta.Timed, ta.Whole = countBounds.Clamp(ta.Answers), countBounds.Clamp(ta.Timed), countBounds.Clamp(ta.Whole)
	ta.Failures = quantity.Bounds[int64]{Min: 0, Max: ta.Answers}.Clamp(ta.Failures)
	ta.Slow = quantity.Bounds[int64]{Min: 0, Max: ta.Timed}.Clamp(ta.Slow)
	ta.WholeSeconds = secondsBounds.Clamp(ta.WholeSeconds)
	return ta
}

// maxEndpointTallies is the number of tallies by route and endpoint up to which they are reported. The
// sums of a large group would carry far more, again and again, between failure domains.
const maxEndpointTallies = 32

// Message returns the report of a candidate as a message.
func (re Report) Message(candidate string) *rpc.VersionHealth {
	sum := re.Total()
	out := &rpc.VersionHealth{
		Version: candidate, Answers: sum.Candidate.Answers, Failures: sum.Candidate.Failures,
		StableAnswers: sum.Stable.Answers, StableFailures: sum.Stable.Failures,
		StableInFlight: re.StableInFlight, Sent: re.Sent,
		Suspect: re.RejectionReason != "", Reason: re.RejectionReason,
		SlowEvidence: re.Evidence.Slow.LogWealth(), PaceEvidence: re.Evidence.Pace.LogWealth(),
	}
	tallies := 0
	for _, rt := range re.Routes {
		tallies += len(rt.Endpoints)
	}
	for id, rt := range re.Routes {
		if id != "" {
			out.Routes = append(out.Routes, rt.message(id, tallies <= maxEndpointTallies))
		}
	}
	return out
}

// message returns the tallies of a route as a message, with those of its endpoints or without.
func (rt RouteTallies) message(id policy.RouteID, withEndpoints bool) *rpc.RouteHealth {
	out := &rpc.RouteHealth{Route: string(id), Candidate: rt.Candidate.message(), Stable: rt.Stable.message()}
	for en, ta := range rt.Endpoints {
		if withEndpoints {
			out.Endpoints = append(out.Endpoints, &rpc.EndpointTally{Endpoint: string(en), Tally: ta.message()})
		}
	}
	return out
}

func (ta Tally) message() *rpc.ReleaseTally {
	return &rpc.ReleaseTally{
		Answers: ta.Answers, Failures: ta.Failures, Timed: ta.Timed, Slow: ta.Slow,
		Whole: ta.Whole, WholeSeconds: ta.WholeSeconds,
	}
}

// WithoutRoutes returns the report with the tallies of all routes added up under no route's name.
func (re Report) WithoutRoutes() Report {
	re.Routes = map[policy.RouteID]RouteTallies{"": re.Total()}
	return re
}

// Total returns the tallies summed over all routes.
func (re Report) Total() RouteTallies { return sumOf(re.Routes) }

// Add returns what the routers of both reports have observed.
func (re Report) Add(other Report) Report {
	re.Routes = maps.Clone(re.Routes)
	if re.Routes == nil {
		re.Routes = map[policy.RouteID]RouteTallies{}
	}
	for id, rt := range other.Routes {
		re.addRoute(id, rt)
	}
	re.Sent += other.Sent
	re.StableInFlight += other.StableInFlight
	if re.RejectionReason == "" {
		re.RejectionReason = other.RejectionReason
	}
	re.Evidence.add(other.Evidence)
	return re
}

// rejectionOdds are the odds that a candidate is bad from which it is rejected.
const rejectionOdds = 100

// Verdict returns why the candidate is to be rejected, "" if it is not: a router has rejected
// it, or its failures or slow answers are too many.
func (re Report) Verdict() string {
	switch {
	case re.RejectionReason != "":
		return re.RejectionReason
	case failureDefect.compare(re.Routes).Odds >= rejectionOdds:
		return "errors or silence"
	case slowDefect.compare(re.Routes).Odds >= rejectionOdds:
		return "slow answers"
	}
	return re.Evidence.RejectionReason()
}

// RouteSummaries returns what has been counted on each route in words, for logs.
func (re Report) RouteSummaries() []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(re.Routes)) {
		ca, st := re.Routes[id].Candidate, re.Routes[id].Stable
		out = append(out, fmt.Sprintf("%q: candidate %d of %d failed, %d of %d slow; in use %d of %d failed, %d of %d slow", id,
			ca.Failures, ca.Answers, ca.Slow, ca.Timed, st.Failures, st.Answers, st.Slow, st.Timed))
	}
	return out
}
