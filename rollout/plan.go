package rollout

import (
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
	// completionDelay is the time from the promotion until the roll-out completes. All
	// requests go to the candidate meanwhile, and the release in use could still serve them
	// again. It covers the routers' next exchange, after which Report.StableInFlight includes
	// the requests admitted just before the promotion.
	completionDelay = 1500 * time.Millisecond
	// provenLoss is the expected loss of a candidate that may be promoted as soon as the
	// plan permits. As time runs out, up to acceptedLoss is enough: to wait for more answers
	// is then to turn the candidate away.
	provenLoss   = 0.004
	acceptedLoss = 0.02
	// acceptedOdds are the odds of a bad candidate up to which it is taken for good. A route with
	// few requests adds little to the loss, however bad the candidate is there.
	acceptedOdds = 1
	// revertedLoss and revertedOdds are the limits after forcedEnd for a candidate that has been
	// promoted. They are higher, as to go back moves all requests once more.
	revertedLoss = 0.03
	revertedOdds = 3
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
		// The candidate is not proven by the deadline, and nobody waits for the
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
			why = "not proven before the deadline"
		}
	case ActionPromote:
		next.PromotedAtMs, why = pr.PromotionTime(now).UnixMilli(), "promoted"
	case ActionComplete:
		next.State, why = rpc.RolloutState_DONE, "proven"
	default:
		next.State, why = rpc.RolloutState_RUNNING, "started"
	}
	return next, why
}

// lossLimit returns the expected loss up to which a candidate is taken for good. It rises while
// time runs out, so that the candidates with the best answers are taken first and the others get
// more of them.
func (pr Progress) lossLimit(now time.Time) float64 {
	from, to := pr.timeAt(forcedEnd).Add(-promotionDelay), pr.timeAt(forcedEnd)
	late := float64(now.Sub(from)) / float64(to.Sub(from))
	return provenLoss + (acceptedLoss-provenLoss)*max(0, min(1, late))
}

// proven reports whether the candidate's answers show that it is good. That they do not show it
// to be bad is not enough.
func (pr Progress) proven(now time.Time) bool {
	op := Compare(pr.Routes)
	if pr.promoted(now) && now.After(pr.timeAt(forcedEnd)) {
		return op.ExpectedLoss <= revertedLoss && op.Odds <= revertedOdds
	}
	return op.ExpectedLoss <= pr.lossLimit(now) && op.Odds <= acceptedOdds
}

// readyToPromote reports whether the end of the trial is to be decided: the candidate
// is proven, and the trial may end as soon as all routers know.
func (pr Progress) readyToPromote(now time.Time) bool {
	if !pr.PromotedAt.IsZero() || now.After(pr.DeadlineAt) {
		return false
	}
	return !now.Add(promotionDelay).Before(pr.timeAt(trialEnd)) && pr.proven(now)
}

// PromotionTime returns when every request is to go to the candidate if that is
// decided now: not before the earliest end of the trial, and late enough for all
// routers to know. Shortly before the deadline only half of the time left is used.
func (pr Progress) PromotionTime(now time.Time) time.Time {
	at := now.Add(min(promotionDelay, pr.DeadlineAt.Sub(now)/2))
	if earliest := pr.timeAt(trialEnd); at.Before(earliest) {
		return earliest
	}
	return at
}

// readyToComplete reports whether the candidate may replace the release in use: it is proven,
// and has had all requests for a while. After the deadline it still may, in case no router could
// record the completion earlier because the store did not answer.
func (pr Progress) readyToComplete(now time.Time) bool {
	if now.After(pr.DeadlineAt) {
		return pr.proven(now)
	}
	watched := min(completionDelay, pr.DeadlineAt.Sub(pr.PromotedAt)/2)
	if !pr.promoted(now) || now.Before(pr.PromotedAt.Add(watched)) || !pr.proven(now) {
		return false
	}
	return pr.StableInFlight == 0 || now.After(pr.timeAt(forcedEnd))
}

// Safe reports whether a candidate may get a share of all sessions, for roll-outs by steps. Of a
// small share less is lost if the candidate is bad after all, so fewer answers must have shown that
// it is good.
func (re Report) Safe(share float64) bool {
	return share*Compare(re.Routes).ExpectedLoss <= provenLoss
}

// Exposure bounds the requests that an unproved candidate may get.
type Exposure struct {
	// Share is the share of all requests of the roll-out that it may get, Requests the number
	// beyond that.
	Share, Requests float64
}

const (
	// exposureReserve is the part of the exposure that trials are planned with. The rest is for
	// requests that come faster than expected, and for those that are not yet known of.
	exposureReserve = 0.85
	// maxOpenShare is the largest share of a service's requests that a trial gets, however few
	// they are.
	maxOpenShare = 0.5
	// minCountTime is how long requests are counted before their rate is used.
	minCountTime = 1500 * time.Millisecond
)

// OpenShare returns the share that the candidate gets during the trial of requests without a
// session. They may run on either release, so that no router needs to know the share of another,
// and the share is as large as the exposure permits: a service of few requests would otherwise
// give too few answers to tell a good candidate from a bad one. The report's requests have been
// counted since countedFrom.
func (pl Plan) OpenShare(now, countedFrom time.Time, re Report, ex Exposure) float64 {
	if countedFrom.Before(pl.StartedAt) {
		countedFrom = pl.StartedAt
	}
	counted := now.Sub(countedFrom)
	requests := float64(re.Total().Stable.Answers + re.Sent)
	if counted < minCountTime || requests == 0 {
		return 0
	}
	rate := requests / counted.Seconds()
	budget := exposureReserve * (ex.Share*rate*pl.DeadlineAt.Sub(pl.StartedAt).Seconds() + ex.Requests)
	if float64(re.Sent) >= budget {
		return 0
	}
	trial := pl.timeAt(forcedEnd).Sub(pl.StartedAt) - promotionDelay - minCountTime
	return min(maxOpenShare, budget/(rate*max(minCountTime, trial).Seconds()))
}
