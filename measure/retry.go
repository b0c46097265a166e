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
	// requestRate is in requests per second.
	requestRate    = 50.0
	lossStart      = 20 * time.Second
	lossEnd        = 40 * time.Second
	retryRunLength = 60 * time.Second
	maxAttempts    = 3
)

// retryRun simulates requests while every third replica is down from lossStart to
// lossEnd.
type retryRun struct {
	*eventLoop
	rng      *rand.Rand
	started  time.Time
	replicas []policy.Endpoint
	pool     *placement.Pool
	tracker  *placement.Tracker
	budget   *retry.Budget
	// received counts requests, sent the attempts at them.
	received int
	sent     int
	// lastFailed is the time from lossStart to the last failed request before
	// lossEnd.
	lastFailed time.Duration
}

func newRetryRun(seed uint64) *retryRun {
	rr := &retryRun{eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 5)), tracker: placement.NewTracker(seed), budget: retry.NewBudget(0.1)}
	rr.started = rr.now
	for i := range 10 {
		rr.replicas = append(rr.replicas, policy.Endpoint{ID: policy.EndpointID(fmt.Sprint("replica-", i)), Endpoint: &rpc.Endpoint{Slots: 8}})
	}
	rr.pool = placement.NewPool(rr.replicas)
	return rr
}

func (rr *retryRun) elapsed() time.Duration { return rr.now.Sub(rr.started) }

func (rr *retryRun) down(replica int) bool {
	return replica%3 == 0 && rr.elapsed() > lossStart && rr.elapsed() < lossEnd
}

// run runs the simulation. attempt makes one attempt at a request, and reports
// whether it failed and whether there may be another. try counts the attempts from 0.
// tried is where attempt can keep the replicas that the request was sent to.
func (rr *retryRun) run(attempt func(try int, tried *[]policy.EndpointID) (failed, more bool)) {
	for at := time.Duration(0); at < retryRunLength; at += time.Duration(rr.rng.ExpFloat64() / requestRate * float64(time.Second)) {
		rr.eventLoop.run(at - rr.elapsed())
		rr.received++
		rr.budget.Received()
		var tried []policy.EndpointID
		failed, more := true, true
		for try := 0; try < maxAttempts && failed && more; try++ {
			failed, more = attempt(try, &tried)
		}
		if failed && rr.elapsed() < lossEnd {
			rr.lastFailed = rr.elapsed() - lossStart
		}
	}
}

// randomAttempt sends to a random replica, which may have failed the request before.
func (rr *retryRun) randomAttempt(int, *[]policy.EndpointID) (failed, more bool) {
	rr.sent++
	return rr.down(rr.rng.IntN(len(rr.replicas))), true
}

// productionAttempt makes an attempt with the placement and the retry budget that
// the entries use in production.
func (rr *retryRun) productionAttempt(try int, tried *[]policy.EndpointID) (failed, more bool) {
	if try > 0 && !rr.budget.Take() {
		return true, false
	}
	en, ok := rr.tracker.Choose(rr.now, rr.pool, 0, *tried, func(policy.Endpoint) bool { return true })
	if !ok {
		return true, false
	}
	rr.sent++
	*tried = append(*tried, en.ID)
	failed = rr.down(slices.IndexFunc(rr.replicas, func(other policy.Endpoint) bool { return other.ID == en.ID }))
	result := placement.Succeeded
	if failed {
		result = placement.Failed
	}
	rr.tracker.Done(rr.now, en.ID, result)
	return failed, true
}

// ratio returns the number of attempts per request.
func (rr *retryRun) ratio() float64 { return float64(rr.sent) / float64(rr.received) }

// measureRetries measures the attempts per request while a failure domain is down,
// and how long requests fail.
func measureRetries(seed uint64) Row {
	production, baseline := newRetryRun(seed), newRetryRun(seed)
	production.run(production.productionAttempt)
	baseline.run(baseline.randomAttempt)
	return Row{
		Measure:   "requests sent for each received while a failure domain is lost; time until none fails",
		Baselines: fmt.Sprintf("plain retries, three tries: %.2f, %.1f s", baseline.ratio(), baseline.lastFailed.Seconds()),
		Figure:    fmt.Sprintf("%.3f, %.1f s", production.ratio(), production.lastFailed.Seconds()),
		Target:    "<= 1.1; within 5 s", Met: production.ratio() <= 1.1 && production.lastFailed <= 5*time.Second,
	}
}
