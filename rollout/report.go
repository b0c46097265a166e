package rollout

import (
	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// Report is what one router, or several, have observed of a roll-out.
type Report struct {
	// Candidate and Stable count the answers of the candidate and of the release in use.
	Candidate, Stable Counts
	// StableInFlight is the number of requests in flight on the release in use.
	StableInFlight int64
	// RejectionReason says why a router has rejected the candidate, "" if none has.
	RejectionReason string
	Evidence        Evidence
}

// ReportOf returns the report of a message.
func ReportOf(he *rpc.VersionHealth) Report {
	re := Report{
		Candidate:      countsOf(he.GetAnswers(), he.GetFailures()),
		Stable:         countsOf(he.GetStableAnswers(), he.GetStableFailures()),
		StableInFlight: countBounds.Clamp(he.GetStableInFlight()),
	}
	if he.GetSuspect() {
		re.RejectionReason = he.GetReason()
	}
	re.Evidence.Failures.Add(he.GetFailureEvidence())
	re.Evidence.Slow.Add(he.GetSlowEvidence())
	re.Evidence.Pace.Add(he.GetPaceEvidence())
	return re
}

// countBounds are those of a router's answers of a release.
var countBounds = quantity.Bounds[int64]{Min: 0, Max: 1 << 40}

// countsOf returns the counts of a message. Failures are among the answers.
func countsOf(answers, failures int64) Counts {
	answers = countBounds.Clamp(answers)
	return Counts{Answers: answers, Failures: quantity.Bounds[int64]{Min: 0, Max: answers}.Clamp(failures)}
}

// Message returns the report of a candidate as a message.
func (re Report) Message(candidate string) *rpc.VersionHealth {
	return &rpc.VersionHealth{
		Version: candidate, Answers: re.Candidate.Answers, Failures: re.Candidate.Failures,
		StableAnswers: re.Stable.Answers, StableFailures: re.Stable.Failures, StableInFlight: re.StableInFlight,
		Suspect: re.RejectionReason != "", Reason: re.RejectionReason,
		FailureEvidence: re.Evidence.Failures.LogWealth(), SlowEvidence: re.Evidence.Slow.LogWealth(),
		PaceEvidence: re.Evidence.Pace.LogWealth(),
	}
}

// Add returns what the routers of both reports have observed.
func (re Report) Add(other Report) Report {
	re.Candidate, re.Stable = re.Candidate.Add(other.Candidate), re.Stable.Add(other.Stable)
	re.StableInFlight += other.StableInFlight
	if re.RejectionReason == "" {
		re.RejectionReason = other.RejectionReason
	}
	re.Evidence.add(other.Evidence)
	return re
}

// Verdict returns why the candidate is to be rejected, "" if it is not: a router has rejected
// it, or its failures or slow answers are few at each router but too many in total.
func (re Report) Verdict() string {
	switch {
	case re.RejectionReason != "":
		return re.RejectionReason
	case re.Candidate.SignificantlyWorse(re.Stable):
		return "failures over all routers"
	case re.Evidence.RejectionReason() != "":
		return re.Evidence.RejectionReason() + " over all routers"
	}
	return ""
}
