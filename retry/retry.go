// Package retry bounds how many requests are sent for those received.
package retry

import "sync"

// Budget allows a share of the received requests to be sent again.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	limit float64
	left  float64
}

// burst is how many retries may be saved up.
const burst = 10

// NewBudget gives a budget of ratio retries for each request received.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, limit: burst, left: burst}
}

// Received counts a request.
func (bu *Budget) Received() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.left = min(bu.limit, bu.left+bu.ratio)
}

// Take tells whether one retry is allowed, and counts it.
func (bu *Budget) Take() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if bu.left < 1 {
		return false
	}
	bu.left--
	return true
}

// Left gives the retries that are allowed now.
func (bu *Budget) Left() float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.left
}
