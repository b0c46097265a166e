package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rollout"
)

const (
	// smallRollouts is the number of roll-outs of a small service simulated for each defect.
	smallRollouts = 300
	// smallDuration is the time that the operator leaves for each.
	smallDuration = 16 * time.Second
	// roundInterval is the time between two looks at what has been observed.
	roundInterval = 300 * time.Millisecond
	// trialDelay is the time from a roll-out's start to its trial.
	trialDelay = 2500 * time.Millisecond
)

// smallRoute is a route of the small service: its requests a second, and the share of them that
// fail on any good release.
type smallRoute struct {
	id        policy.RouteID
	perSecond float64
	failed    float64
}

var smallService = []smallRoute{{"checkout", 12, 0.004}, {"look-up", 5.3, 0.14}}

// smallStart is when the simulated roll-outs start.
var smallStart = time.Unix(0, 0)

// releaseFault is how a release of the small service is bad: it fails a share of the requests of
// one route, or of all if route is empty, from a time on.
type releaseFault struct {
	name    string
	share   float64
	route   policy.RouteID
	badFrom time.Time
}

// concerns reports whether requests of a route fail at a time.
func (rf releaseFault) concerns(now time.Time, id policy.RouteID) bool {
	return (rf.route == "" || rf.route == id) && !now.Before(rf.badFrom)
}

// smallRollout is a simulated roll-out of a release of the small service.
type smallRollout struct {
	rng      *rand.Rand
	fault    releaseFault
	progress rollout.Progress
}

func newSmallRollout(rng *rand.Rand, rf releaseFault) *smallRollout {
	return &smallRollout{rng: rng, fault: rf, progress: rollout.Progress{
		Started: true,
		Plan:    rollout.Plan{StartedAt: smallStart, TrialAt: smallStart.Add(trialDelay), DeadlineAt: smallStart.Add(smallDuration), TrialShare: 0.1},
		Report:  rollout.Report{Routes: map[policy.RouteID]rollout.RouteTallies{}},
	}}
}

// run simulates the roll-out until it ends, and returns whether it completed.
func (sr *smallRollout) run() bool {
	pr := &sr.progress
	for now := smallStart; ; now = now.Add(roundInterval) {
		pr.RejectionReason = pr.Verdict()
		switch pr.Next(now) {
		case rollout.ActionAbort:
			return false
		case rollout.ActionComplete:
			return true
		case rollout.ActionPromote:
			pr.PromotedAt = pr.PromotionTime(now)
		}
		share := pr.Share(now)
		if share < 1 {
			share = pr.OpenShare(now, smallStart, pr.Report, rollout.Exposure{Share: 0.15, Requests: 30})
		}
		for _, ro := range smallService {
			sr.sendRound(now, ro, share)
		}
	}
}

// sendRound sends the requests of a route that come in one round.
func (sr *smallRollout) sendRound(now time.Time, ro smallRoute, share float64) {
	perRound := ro.perSecond * roundInterval.Seconds()
	for at := sr.rng.ExpFloat64(); at < perRound; at += sr.rng.ExpFloat64() {
		ta := rollout.Tally{Answers: 1}
		candidate := sr.rng.Float64() < share
		failed := sr.rng.Float64() < ro.failed
		if candidate && sr.fault.concerns(now, ro.id) {
			failed = failed || sr.rng.Float64() < sr.fault.share
		}
		if failed {
			ta.Failures = 1
		}
		rt := sr.progress.Routes[ro.id]
		if candidate {
			sr.progress.Sent++
			rt.Candidate = rt.Candidate.Add(ta)
		} else {
			rt.Stable = rt.Stable.Add(ta)
		}
		sr.progress.Routes[ro.id] = rt
	}
}

// measureSmallRollouts measures which releases of a service with few requests are completed.
func measureSmallRollouts(seed uint64) []Row {
	return []Row{
		measureSmallRollout(seed, releaseFault{name: "good"}, 0.95, 1),
		measureSmallRollout(seed, releaseFault{name: "10% errors", share: 0.1}, 0, 0.1),
		measureSmallRollout(seed, releaseFault{name: "20% errors", share: 0.2}, 0, 0.01),
		measureSmallRollout(seed, releaseFault{name: "33% errors", share: 0.33}, 0, 0.01),
		measureSmallRollout(seed, releaseFault{name: "33% errors on one route", share: 0.33, route: "checkout"}, 0, 0.01),
		measureSmallRollout(seed, releaseFault{name: "33% errors from 8 s on", share: 0.33, badFrom: smallStart.Add(8 * time.Second)}, 0, 0.03),
	}
}

// measureSmallRollout measures the share of roll-outs with a fault that completed, which should be
// from least to most.
func measureSmallRollout(seed uint64, rf releaseFault, least, most float64) Row {
	rng := rand.New(rand.NewPCG(seed, 7))
	completed, exposed, requests := 0.0, 0.0, 0.0
	for range smallRollouts {
		sr := newSmallRollout(rng, rf)
		if sr.run() {
			completed++
		}
		total := sr.progress.Total()
		exposed += float64(total.Candidate.Answers)
		requests += float64(total.Candidate.Answers + total.Stable.Answers)
	}
	completed /= smallRollouts
	return Row{
		Measure:   fmt.Sprintf("roll-outs of a service with 17 requests a second, %v to the deadline, that complete: %s", smallDuration, rf.name),
		Baselines: "none run",
		Figure:    fmt.Sprintf("%.3f (of %d; %.0f of %.0f requests went to the release)", completed, smallRollouts, exposed/smallRollouts, requests/smallRollouts),
		Target:    fmt.Sprintf("%.2f to %.2f", least, most), Met: completed >= least && completed <= most,
	}
}
