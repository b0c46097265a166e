package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerpoint.example/tanager/placement"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/retry"
	"tanagerpoint.example/tanager/rpc"
)

const (
	lossRate   = 50.0
	lossBegins = 20 * time.Second
	lossEnds   = 40 * time.Second
	lossLength = 60 * time.Second
	lossTries  = 3
)

// losing is a run in which every third replica is lost for a while.
type losing struct {
	*loop
	rng      *rand.Rand
	started  time.Time
	replicas []policy.Endpoint
	pool     *placement.Pool
	tracker  *placement.Tracker
	budget   *retry.Budget
	received int
	sent     int
	// lastFailed is when a request last failed during the loss.
	lastFailed time.Duration
}

func newLosing(seed uint64) *losing {
	lo := &losing{loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 5)), tracker: placement.NewTracker(seed), budget: retry.NewBudget(0.1)}
	lo.started = lo.now
	for i := range 10 {
		lo.replicas = append(lo.replicas, policy.Endpoint{ID: policy.EndpointID(fmt.Sprint("replica-", i)), Endpoint: &rpc.Endpoint{Slots: 8}})
	}
	lo.pool = placement.NewPool(lo.replicas)
	return lo
}

func (lo *losing) since() time.Duration { return lo.now.Sub(lo.started) }

func (lo *losing) lost(replica int) bool {
	return replica%3 == 0 && lo.since() > lossBegins && lo.since() < lossEnds
}

// run lets requests come; attempt makes one attempt at a request, and tells
// whether it failed and whether there may be another.
func (lo *losing) run(attempt func(try int, tried *[]policy.EndpointID) (failed, more bool)) {
	for at := time.Duration(0); at < lossLength; at += time.Duration(lo.rng.ExpFloat64() / lossRate * float64(time.Second)) {
		lo.loop.run(at - lo.since())
		lo.received++
		lo.budget.Received()
		var tried []policy.EndpointID
		failed, more := true, true
		for try := 0; try < lossTries && failed && more; try++ {
			failed, more = attempt(try, &tried)
		}
		if failed && lo.since() < lossEnds {
			lo.lastFailed = lo.since() - lossBegins
		}
	}
}

// plainAttempt sends to any replica.
func (lo *losing) plainAttempt(int, *[]policy.EndpointID) (failed, more bool) {
	lo.sent++
	return lo.lost(lo.rng.IntN(len(lo.replicas))), true
}

// ourAttempt decides by the code that serves.
func (lo *losing) ourAttempt(try int, tried *[]policy.EndpointID) (failed, more bool) {
	if try > 0 && !lo.budget.Take() {
		return true, false
	}
	en, ok := lo.tracker.Choose(lo.now, lo.pool, 0, *tried, func(policy.Endpoint) bool { return true })
	if !ok {
		return true, false
	}
	lo.sent++
	*tried = append(*tried, en.ID)
	failed = lo.lost(slices.IndexFunc(lo.replicas, func(other policy.Endpoint) bool { return other.ID == en.ID }))
	result := placement.Succeeded
	if failed {
		result = placement.Failed
	}
	lo.tracker.Done(lo.now, en.ID, result)
	return failed, true
}

func (lo *losing) ratio() float64 { return float64(lo.sent) / float64(lo.received) }

// measureRetries measures the requests sent while a failure domain is lost.
func measureRetries(seed uint64) Row {
	mine, base := newLosing(seed), newLosing(seed)
	mine.run(mine.ourAttempt)
	base.run(base.plainAttempt)
	return Row{
		Measure:   "requests sent for each received while a failure domain is lost; time until none fails",
		Baselines: fmt.Sprintf("plain retries, three tries: %.2f, %.1f s", base.ratio(), base.lastFailed.Seconds()),
		Figure:    fmt.Sprintf("%.3f, %.1f s", mine.ratio(), mine.lastFailed.Seconds()),
		Target:    "<= 1.1; within 5 s", Met: mine.ratio() <= 1.1 && mine.lastFailed <= 5*time.Second,
	}
}
