package relay

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/retry"
)

const (
	// budgetMargin is the part of the site's budget that the routers use: their
	// counts differ from what endpoints see by requests that are on their way.
	budgetMargin = 0.85
	// escalationShare of the budget may be used by starts at a larger model; the
	// rest is kept for requests that failed.
	escalationShare = 0.88
	// wholeBudget is the share for requests that failed.
	wholeBudget = 1
	// expectedRouters shares out the slack before other routers are heard of.
	expectedRouters = 8
)

// budgets bounds the retries by service.
//
// mu guards the map. A budget's own lock is taken after it.
type budgets struct {
	router    *Router
	mu        sync.Mutex
	byService map[policy.ServiceID]*retry.Window
}

func newBudgets(ro *Router) *budgets {
	return &budgets{router: ro, byService: map[policy.ServiceID]*retry.Window{}}
}

func (bs *budgets) get(now time.Time, id policy.ServiceID) *retry.Window {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	wi, ok := bs.byService[id]
	if !ok {
		sv := bs.router.options().Serving
		routers := max(expectedRouters, bs.router.routers.Load())
		slack := max(1, budgetMargin*float64(sv.GetRetrySlack())/float64(routers))
		wi = retry.NewWindow(now, sv.GetRetryWindow().AsDuration(), budgetMargin*sv.GetRetryRatio(), slack)
		bs.byService[id] = wi
	}
	return wi
}

// reset forgets all budgets; they are made anew by the options in force.
func (bs *budgets) reset() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	clear(bs.byService)
}

func (bs *budgets) received(now time.Time, id policy.ServiceID) { bs.get(now, id).Received(now) }

// take allows one retry within a share of the budget.
func (bs *budgets) take(now time.Time, id policy.ServiceID, share float64) bool {
	return bs.get(now, id).Take(now, share)
}
