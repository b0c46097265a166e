// Package retry limits retries in proportion to the requests received.
package retry

import "sync"

// Budget is a token bucket of retries. Each received request adds a fraction of a
// retry to it, up to limit.
//
// mu guards all fields. No other lock is taken while it is held.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	limit float64
	left  float64
}

// burst is the size of the bucket, in retries. A new budget is full.
const burst = 10

// NewBudget returns a budget of ratio retries for each request received.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, limit: burst, left: burst}
}

// Received counts a received request.
func (bu *Budget) Received() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.left = min(bu.limit, bu.left+bu.ratio)
}

// Take reports whether one retry is allowed, and counts it if so.
func (bu *Budget) Take() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.left < 1 {
		return false
	}
	bu.left--
	return true
}

// Left returns the number of retries that are allowed now.
func (bu *Budget) Left() float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.left
}
