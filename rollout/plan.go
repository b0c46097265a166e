package rollout

import (
	"math"
	"time"
)

const (
	// trialEnd of the time a release is tried on a share of the sessions that
	// does not change, so that no session moves to and fro.
	trialEnd = 0.52
	// forcedEnd of the time is when the release in use is given up even though
	// requests still run on it.
	forcedEnd = 0.88
	// sufficientAnswers end a trial, and fewestAnswers do when time runs out.
	sufficientAnswers = 30
	minAnswers        = 5
	// minFailures and leastDeviations say when failures over all routers show
	// that a release is worse.
	minFailures   = 6
	minDeviations = 3.5
)

// Plan is the course of a roll-out in time: a trial on a small share, then all
// requests, then the end of the release in use once nothing runs on it.
type Plan struct {
	StartedAt time.Time
	// TrialAt is when the trial begins: by then every entry knows the sessions
	// that go on with the release in use.
	TrialAt    time.Time
	DeadlineAt time.Time
}

// timeAt gives the time timeAt a share of the plan.
func (pl Plan) timeAt(share float64) time.Time {
	return pl.StartedAt.Add(time.Duration(share * float64(pl.DeadlineAt.Sub(pl.StartedAt))))
}

// Share gives the share of sessions for the new release; exposed is that of
// the trial. Time alone proves nothing: the trial lasts until enough answers
// have been seen, also by routers that have all started anew.
func (pl Plan) Share(now time.Time, exposed float64, answers int64) float64 {
	switch {
	case now.Before(pl.TrialAt):
		return 0
	case now.Before(pl.timeAt(trialEnd)) || answers < sufficientAnswers:
		return exposed
	}
	return 1
}

// fullTrialEndpoints is how many endpoints of the release in use serve so little that
// a trial needs its whole share of them.
const fullTrialEndpoints = 12

// TrialShare gives the share of the sessions that a trial takes, from the most that
// it may take and the endpoints of the release in use. Where many serve, a
// smaller share brings answers enough, and fewer sessions are on their way
// between routers that have not heard of them yet. It goes by powers of two,
// so that routers with slightly different counts agree.
func TrialShare(maxShare float64, endpoints int) float64 {
	for n := endpoints; n >= 2*fullTrialEndpoints; n /= 2 {
		maxShare /= 2
	}
	return maxShare
}

// Action is what is due in a roll-out.
type Action int

// The actions.
const (
	ActionNone Action = iota
	// ActionStart notes when the roll-out was taken up.
	ActionStart
	// ActionAbort gives the new release up.
	ActionAbort
	// ActionComplete stops the release in use.
	ActionComplete
)

// Progress is what is known of a roll-out over all entries.
type Progress struct {
	Plan
	// Started tells whether the time of its start is noted.
	Started bool
	// RejectionReason is why the release is bad, "" while it is not known to be.
	RejectionReason string
	// Answers are the new release's.
	Answers int64
	// StableInFlight are the requests that still run on the release in use.
	StableInFlight int64
}

// Next gives the action that is due.
func (pr Progress) Next(now time.Time) Action {
	switch {
	case pr.RejectionReason != "":
		return ActionAbort
	case !pr.Started:
		return ActionStart
	case pr.readyToComplete(now):
		return ActionComplete
	case now.After(pr.DeadlineAt):
		// Nobody has seen enough of it, and nobody waits for it any more.
		return ActionAbort
	}
	return ActionNone
}

func (pr Progress) readyToComplete(now time.Time) bool {
	// Requests admitted just before the move count at the next exchange.
	const exchangeDelay = 1500 * time.Millisecond
	switch {
	case now.Before(pr.timeAt(trialEnd).Add(exchangeDelay)):
		return false
	case now.After(pr.DeadlineAt):
		return pr.Answers >= sufficientAnswers
	case now.After(pr.timeAt(forcedEnd)):
		return pr.Answers >= minAnswers
	default:
		return pr.Answers >= sufficientAnswers && pr.StableInFlight == 0
	}
}

// Counts are a release's answers and failures.
type Counts struct {
	Answers  int64
	Failures int64
}

// Observe adds an outcome.
func (co *Counts) Observe(ou Outcome) {
	co.Answers++
	if ou.Failed {
		co.Failures++
	}
}

// Add adds up.
func (co Counts) Add(other Counts) Counts {
	return Counts{Answers: co.Answers + other.Answers, Failures: co.Failures + other.Failures}
}

// SignificantlyWorse tells whether failures are too many for chance, beside those of the
// release in use.
func (co Counts) SignificantlyWorse(stable Counts) bool {
	if co.Failures < minFailures {
		return false
	}
	const priorAnswers = 20
	mean := (float64(stable.Failures) + failurePrior*priorAnswers) / (float64(stable.Answers) + priorAnswers)
	accepted := mean + failureMargin
	expected := accepted * float64(co.Answers)
	deviation := math.Sqrt(max(1, expected*(1-accepted)))
	return float64(co.Failures) > expected+minDeviations*deviation
}
