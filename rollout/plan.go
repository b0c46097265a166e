package rollout

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerpoint.example/tanager/rpc"
)

const (
	// trialEnd is the fraction of the roll-out's duration at which the trial ends
	// at the earliest.
	trialEnd = 0.52
	// promotionDelay is the time from the decision that ends the trial until every
	// request goes to the candidate. It is enough for every router to learn of the
	// decision, so that they all act on it at the same moment.
	promotionDelay = 2500 * time.Millisecond
	// forcedEnd is the fraction of the duration after which the roll-out may
	// complete although requests still run on the release in use.
	forcedEnd = 0.88
	// sufficientAnswers is the number of the candidate's answers from which it may be
	// promoted and the roll-out may complete. Between forcedEnd and the deadline,
	// minAnswers are enough.
	sufficientAnswers = 30
	minAnswers        = 5
	// minFailures is the number of failures, and minDeviations the number of
	// standard deviations above the accepted count, from which the failures
	// summed over all routers show that a release is worse.
	minFailures   = 6
	minDeviations = 3.5
)

// Plan is the schedule of a roll-out. The candidate first gets no sessions, then
// a small share of them during the trial, then all requests. The roll-out
// completes once no request runs on the release in use. All routers follow the same
// plan: when the trial ends is decided once, ahead of time, and recorded in the store.
type Plan struct {
	StartedAt time.Time
	// TrialAt is the start of the trial. It is late enough for every router to
	// know the sessions that stay on the release in use.
	TrialAt    time.Time
	DeadlineAt time.Time
	// TrialShare is the share of sessions that the candidate gets during the trial. It
	// stays the same, so that no session switches between releases.
	TrialShare float64
	// PromotedAt is when the trial ends and every request goes to the candidate; zero
	// if that has not been decided.
	PromotedAt time.Time
}

// timeAt returns the time at a fraction of the roll-out's duration.
func (pl Plan) timeAt(fraction float64) time.Time {
	return pl.StartedAt.Add(time.Duration(fraction * float64(pl.DeadlineAt.Sub(pl.StartedAt))))
}

// Share returns the share of sessions, from 0 to 1, that the candidate gets. The trial lasts until the candidate is
// promoted, however long that takes: elapsed time does not show that a release is good.
func (pl Plan) Share(now time.Time) float64 {
	switch {
	case now.Before(pl.TrialAt):
		return 0
	case !pl.promoted(now):
		return pl.TrialShare
	}
	return 1
}

// KeepsSessions reports whether a session that runs on the release in use must stay
// there. That is so during the first half of the roll-out; after it, the trial may take
// any session of its share.
func (pl Plan) KeepsSessions(now time.Time) bool { return now.Before(pl.timeAt(trialEnd)) }

// promoted reports whether every request goes to the candidate.
func (pl Plan) promoted(now time.Time) bool {
	return !pl.PromotedAt.IsZero() && !now.Before(pl.PromotedAt)
}

// fullTrialEndpoints is the number of endpoints that produce enough answers for
// a trial at the full share. The share is halved from twice this number on.
const fullTrialEndpoints = 12

// TrialShare returns the share of sessions for a trial, given the maximum share
// and the number of endpoints of the release in use. With many endpoints a
// smaller share yields enough answers, and fewer requests meet a bad release. The share
// is halved for each doubling of the endpoints.
func TrialShare(maxShare float64, endpoints int) float64 {
	for n := endpoints; n >= 2*fullTrialEndpoints; n /= 2 {
		maxShare /= 2
	}
	return maxShare
}

// Action is the next step of a roll-out.
type Action int

// The possible actions.
const (
	ActionNone Action = iota
	// ActionStart records the start time.
	ActionStart
	// ActionPromote records when the trial ends and every request goes to the
	// candidate.
	ActionPromote
	// ActionAbort ends the roll-out and keeps the release in use.
	ActionAbort
	// ActionComplete ends the roll-out and stops the release in use.
	ActionComplete
)

// Progress is the state of a roll-out, summed over all routers.
type Progress struct {
	Plan
	// Started reports whether the start time has been recorded.
	Started bool
	Report
}

// Next returns the action that is due.
func (pr Progress) Next(now time.Time) Action {
	switch {
	case pr.RejectionReason != "":
		return ActionAbort
	case !pr.Started:
		return ActionStart
	case pr.readyToPromote(now):
		return ActionPromote
	case pr.readyToComplete(now):
		return ActionComplete
	case now.After(pr.DeadlineAt):
		// There were too few answers by the deadline, and nobody waits for the
		// roll-out any more.
		return ActionAbort
	}
	return ActionNone
}

// Apply returns a roll-out's specification after an action, and why the action was due.
// It returns nil if the action changes nothing.
func (pr Progress) Apply(now time.Time, ac Action, spec *rpc.Rollout) (next *rpc.Rollout, why string) {
	if ac == ActionNone {
		return nil, ""
	}
	next = proto.CloneOf(spec)
	next.StartedAtMs, next.TrialShare = pr.StartedAt.UnixMilli(), pr.TrialShare
	switch ac {
	case ActionAbort:
		next.State, why = rpc.RolloutState_ABORTED, pr.RejectionReason
		if why == "" {
			why = "not proved before the deadline"
		}
	case ActionPromote:
		next.PromotedAtMs, why = pr.promotionTime(now).UnixMilli(), "promoted"
	case ActionComplete:
		next.State, why = rpc.RolloutState_DONE, "proved"
	default:
		next.State, why = rpc.RolloutState_RUNNING, "started"
	}
	return next, why
}

// readyToPromote reports whether the end of the trial is to be decided: the candidate
// has enough answers, and the trial may end as soon as all routers know.
func (pr Progress) readyToPromote(now time.Time) bool {
	if !pr.PromotedAt.IsZero() || now.After(pr.DeadlineAt) {
		return false
	}
	if now.Add(promotionDelay).Before(pr.timeAt(trialEnd)) {
		return false
	}
	if now.Add(promotionDelay).After(pr.timeAt(forcedEnd)) {
		return pr.Candidate.Answers >= minAnswers
	}
	return pr.Candidate.Answers >= sufficientAnswers
}

// promotionTime returns when every request is to go to the candidate if that is
// decided now: not before the earliest end of the trial, and late enough for all
// routers to know. Shortly before the deadline only half of the time left is used.
func (pr Progress) promotionTime(now time.Time) time.Time {
	at := now.Add(min(promotionDelay, pr.DeadlineAt.Sub(now)/2))
	if earliest := pr.timeAt(trialEnd); at.Before(earliest) {
		return earliest
	}
	return at
}

// readyToComplete reports whether the candidate has enough answers to replace the
// release in use. After the deadline it still may, in case no router could record
// the completion earlier because the store did not answer.
func (pr Progress) readyToComplete(now time.Time) bool {
	// StableInFlight includes the requests admitted to the release in use just
	// before the trial ended only after the routers' next exchange.
	const exchangeDelay = 1500 * time.Millisecond
	switch {
	case now.After(pr.DeadlineAt):
		return pr.Candidate.Answers >= sufficientAnswers
	case !pr.promoted(now):
		return false
	case now.After(pr.timeAt(forcedEnd)):
		return pr.Candidate.Answers >= minAnswers
	default:
		return pr.Candidate.Answers >= sufficientAnswers && pr.StableInFlight == 0 && !now.Before(pr.PromotedAt.Add(exchangeDelay))
	}
}

// Counts holds the numbers of a release's answers and failures. Answers
// includes the failures.
type Counts struct {
	Answers  int64
	Failures int64
}

// Observe counts an outcome.
func (co *Counts) Observe(ou Outcome) {
	co.Answers++
	if ou.Failed {
		co.Failures++
	}
}

// Add returns the sum of both counts.
func (co Counts) Add(other Counts) Counts {
	return Counts{Answers: co.Answers + other.Answers, Failures: co.Failures + other.Failures}
}

// SignificantlyWorse reports whether there are more failures than chance
// explains, given the counts of the release in use. It accepts the failure rate of
// the release in use plus failureMargin. That rate is estimated as if
// priorAnswers answers at the rate failurePrior had been counted before.
func (co Counts) SignificantlyWorse(stable Counts) bool {
	if co.Failures < minFailures {
		return false
	}
	const priorAnswers = 20
	meanRate := (float64(stable.Failures) + failurePrior*priorAnswers) / (float64(stable.Answers) + priorAnswers)
	acceptedRate := meanRate + failureMargin
	expected := acceptedRate * float64(co.Answers)
	deviation := math.Sqrt(max(1, expected*(1-acceptedRate)))
	return float64(co.Failures) > expected+minDeviations*deviation
}
