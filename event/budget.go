package event

import (
	"sync"
	"time"
)

const (
	// troubleLines of an event are written in a second at the most when it
	// tells of a request that went wrong, and plainLines when it does not.
	troubleLines = 40
	plainLines   = 12
	window       = time.Second
)

// budget bounds the lines that requests cause, by event: a flood of one kind
// leaves room for the others.
//
// mu guards all fields. No other lock is taken while it is held.
type budget struct {
	mu      sync.Mutex
	until   time.Time
	written map[Number]int
	leftOut map[Number]int
}

func newBudget() *budget {
	return &budget{written: map[Number]int{}, leftOut: map[Number]int{}}
}

// take tells whether a line may be written. When a window has ended it gives
// what was left out in it.
func (bu *budget) take(now time.Time, nu Number, most int) (ok bool, leftOut map[Number]int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now.After(bu.until) {
		leftOut = bu.leftOut
		bu.until, bu.written, bu.leftOut = now.Add(window), map[Number]int{}, map[Number]int{}
	}
	if bu.written[nu] >= most {
		bu.leftOut[nu]++
		return false, leftOut
	}
	bu.written[nu]++
	return true, leftOut
}
