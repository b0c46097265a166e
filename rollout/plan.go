package rollout

import (
	"math"
	"time"
)

const (
	// trialShare of the time a release is tried on a share of the sessions that
	// does not change, so that no session moves to and fro.
	trialShare = 0.52
	// lastShare of the time is when the release in use is given up even though
	// requests still run on it.
	lastShare = 0.88
	// leastFailures and leastDeviations say when failures over all routers show
	// that a release is worse.
	leastFailures   = 6
	leastDeviations = 3.5
)

// Plan is the course of a roll-out in time: a trial on a small share, then all
// requests, then the end of the release in use once nothing runs on it.
type Plan struct {
	StartedAt  time.Time
	DeadlineAt time.Time
}

// at gives the time at a share of the plan.
func (pl Plan) at(share float64) time.Time {
	return pl.StartedAt.Add(time.Duration(share * float64(pl.DeadlineAt.Sub(pl.StartedAt))))
}

// Share gives the share of sessions for the new release; exposed is that of
// the trial.
func (pl Plan) Share(now time.Time, exposed float64) float64 {
	if now.Before(pl.at(trialShare)) {
		return exposed
	}
	return 1
}

// Complete tells whether the release in use may be stopped.
func (pl Plan) Complete(now time.Time, stableInFlight int64) bool {
	if now.Before(pl.at(trialShare)) {
		return false
	}
	// Requests admitted just before the move count at the next exchange.
	const settle = 1500 * time.Millisecond
	if now.Sub(pl.at(trialShare)) < settle {
		return false
	}
	return stableInFlight == 0 || now.After(pl.at(lastShare))
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

// Plus adds up.
func (co Counts) Plus(other Counts) Counts {
	return Counts{Answers: co.Answers + other.Answers, Failures: co.Failures + other.Failures}
}

// Worse tells whether failures are too many for chance, beside those of the
// release in use.
func (co Counts) Worse(stable Counts) bool {
	if co.Failures < leastFailures {
		return false
	}
	const priorAnswers = 20
	mean := (float64(stable.Failures) + failurePrior*priorAnswers) / (float64(stable.Answers) + priorAnswers)
	accepted := mean + failureMargin
	expected := accepted * float64(co.Answers)
	deviation := math.Sqrt(max(1, expected*(1-accepted)))
	return float64(co.Failures) > expected+leastDeviations*deviation
}
