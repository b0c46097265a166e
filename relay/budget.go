package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/retry"
)

const (
	// usedBudgetShare is the share of the retry budget in the settings that the
	// routers use. The rest allows for requests in flight, by which the routers'
	// counts differ from the endpoints'.
	usedBudgetShare = 0.85
	// escalationShare is the share of the budget that may be used to send requests
	// again to a larger model; the rest is reserved for retries of failed
	// attempts.
	escalationShare = 0.88
	// failureShare is the share of the budget that retries of failed attempts may
	// use.
	failureShare = 1
	// minRouterCount is the smallest number of routers among which the setting
	// retry_slack is divided, as a router that has just started does not know the
	// others yet.
	minRouterCount = 8
)

// retryBudgets limits the retries of each service.
//
// mu guards the map. A budget's own lock is taken after it.
type retryBudgets struct {
	router    *Router
	mu        sync.Mutex
	byService map[policy.ServiceID]*retry.Window
}

func newRetryBudgets(ro *Router) *retryBudgets {
	return &retryBudgets{router: ro, byService: map[policy.ServiceID]*retry.Window{}}
}

func (rb *retryBudgets) get(now time.Time, id policy.ServiceID) *retry.Window {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	wi, ok := rb.byService[id]
	if !ok {
		sv := rb.router.options().Serving
		routers := max(minRouterCount, rb.router.routers.Load())
		slack := max(1, usedBudgetShare*float64(sv.GetRetrySlack())/float64(routers))
		wi = retry.NewWindow(now, sv.GetRetryWindow().AsDuration(), usedBudgetShare*sv.GetRetryRatio(), slack)
		rb.byService[id] = wi
	}
	return wi
}

// reset removes all budgets. They are created again from the current options.
func (rb *retryBudgets) reset() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	clear(rb.byService)
}

func (rb *retryBudgets) recordRequest(now time.Time, id policy.ServiceID) {
	rb.get(now, id).Received(now)
}

// take reports whether a retry is allowed within a share of the budget, and
// counts it.
func (rb *retryBudgets) take(now time.Time, id policy.ServiceID, share float64) bool {
	return rb.get(now, id).Take(now, share)
}

// allows reports whether a retry is allowed within a share of the budget, and does not count it.
func (rb *retryBudgets) allows(now time.Time, id policy.ServiceID, share float64) bool {
	return rb.get(now, id).Allows(now, share)
}

// usedSteps is the number of parts by which used measures the budget.
const usedSteps = 20

// used returns which part of a share of the budget is used, from 0 to 1.
func (rb *retryBudgets) used(now time.Time, id policy.ServiceID, share float64) float64 {
	wi := rb.get(now, id)
	low, high := 0, usedSteps
	for low < high {
		mid := (low + high) / 2
		if wi.Allows(now, share*float64(mid)/usedSteps) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return float64(low) / usedSteps
}
