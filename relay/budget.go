package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/retry"
)

const (
	// usedBudgetShare is the part of the site's budget that the routers use: their
	// counts differ from what endpoints see by requests that are on their way.
	usedBudgetShare = 0.85
	// escalationShare of the budget may be used by starts at a larger model; the
	// rest is kept for requests that failed.
	escalationShare = 0.88
	// failureShare is the share for requests that failed.
	failureShare = 1
	// minRouterCount shares out the slack before other routers are heard of.
	minRouterCount = 8
)

// retryBudgets bounds the retries by service.
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

// reset forgets all budgets; they are made anew by the options in force.
func (rb *retryBudgets) reset() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	clear(rb.byService)
}

func (rb *retryBudgets) recordRequest(now time.Time, id policy.ServiceID) {
	rb.get(now, id).Received(now)
}

// take allows one retry within a share of the budget.
func (rb *retryBudgets) take(now time.Time, id policy.ServiceID, share float64) bool {
	return rb.get(now, id).Take(now, share)
}
