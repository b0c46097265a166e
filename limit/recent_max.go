package limit

import "time"

// recentMax is the largest of the values of the last one to two periods of recentPeriod.
type recentMax struct {
	current, previous float64
	// until is the end of the current period.
	until time.Time
}

// recentPeriod is short enough to follow an endpoint that has lost room, and long enough for a
// few reports of a rarely used one.
const recentPeriod = 5 * time.Second

// add returns the maximum with one more value.
func (rm recentMax) add(now time.Time, value float64) recentMax {
	if now.Before(rm.until) {
		rm.current = max(rm.current, value)
		return rm
	}
	previous := rm.current
	if now.Sub(rm.until) >= recentPeriod {
		previous = 0
	}
	return recentMax{current: value, previous: previous, until: now.Add(recentPeriod)}
}

func (rm recentMax) value() float64 { return max(rm.current, rm.previous) }
