package relay

import (
	"sync"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/retry"
)

const (
	// budgetMargin is the part of the site's budget that the routers use.
	budgetMargin = 0.7
	// escalationReserve retries are kept for requests that failed.
	escalationReserve = 2
	// expectedRouters shares out the slack before other routers are heard of.
	expectedRouters = 8
)

// budgets bounds the retries by service.
//
// mu guards the map. A budget's own lock is taken after it.
type budgets struct {
	router    *Router
	mu        sync.Mutex
	byService map[policy.ServiceID]*retry.Budget
}

func newBudgets(ro *Router) *budgets {
	return &budgets{router: ro, byService: map[policy.ServiceID]*retry.Budget{}}
}

func (bs *budgets) get(id policy.ServiceID) *retry.Budget {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	bu, ok := bs.byService[id]
	if !ok {
		sv := bs.router.options().Serving
		routers := max(expectedRouters, bs.router.routers.Load())
		slack := float64(sv.GetRetrySlack()) / float64(routers)
		bu = retry.NewBurstBudget(budgetMargin*sv.GetRetryRatio(), max(1, budgetMargin*slack))
		bs.byService[id] = bu
	}
	return bu
}

// reset forgets all budgets; they are made anew by the options in force.
func (bs *budgets) reset() {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	clear(bs.byService)
}

func (bs *budgets) received(id policy.ServiceID) { bs.get(id).Received() }

// take allows one retry if more than reserve are left.
func (bs *budgets) take(id policy.ServiceID, reserve float64) bool {
	bu := bs.get(id)
	return bu.Left() > reserve && bu.Take()
}
