package event

import (
	"sync"
	"time"
)

const (
	// warnLinesPerWindow and infoLinesPerWindow are the maximum numbers of lines of
	// one event that WarnLimited and InfoLimited write in a window.
	warnLinesPerWindow = 40
	infoLinesPerWindow = 12
	// limitWindow is the length of a window. A window begins with the first line after
	// the end of the previous one.
	limitWindow = time.Second
)

// lineLimiter limits the rate of the lines that requests cause. Each event has a
// limit of its own, so that a flood of one event does not suppress the others.
//
// mu guards all fields. No other lock is taken while it is held.
type lineLimiter struct {
	mu sync.Mutex
	// windowEnd is the end of the current window. written and suppressed count the
	// lines in it.
	windowEnd  time.Time
	written    map[Number]int
	suppressed map[Number]int
}

func newLineLimiter() *lineLimiter {
	return &lineLimiter{written: map[Number]int{}, suppressed: map[Number]int{}}
}

// allow counts a line of an event and reports whether it may be written. limit is the
// event's maximum in a window. The first call after the end of a window also returns
// how many lines were suppressed in it, by event.
func (ll *lineLimiter) allow(now time.Time, nu Number, limit int) (ok bool, suppressed map[Number]int) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	if now.After(ll.windowEnd) {
		suppressed = ll.suppressed
		ll.windowEnd, ll.written, ll.suppressed = now.Add(limitWindow), map[Number]int{}, map[Number]int{}
	}
	if ll.written[nu] >= limit {
		ll.suppressed[nu]++
		return false, suppressed
	}
	ll.written[nu]++
	return true, suppressed
}
