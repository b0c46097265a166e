package retry

import (
	"sync"
	"time"
)

// steps is how many parts a window slides by.
const steps = 10

// Window allows retries in proportion to the requests received in a sliding
// window of time. It answers the load in which many requests fail at the same
// moment, after a while in which few did: what was not used lately may be used
// then, but never more in a window than the requests of the one before each allow.
//
// mu guards all fields. No other lock is taken while it is held.
type Window struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	step  time.Duration
	// parts holds the last steps and the one under way, which begins at at.
	parts [steps + 1]part
	now   int
	at    time.Time
}

// part counts what happened in one step of a window.
type part struct {
	received int
	taken    int
}

// NewWindow gives an empty window: ratio retries for each request received in
// it, and slack beside them.
func NewWindow(now time.Time, length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, step: length / steps, at: now}
}

// Received counts a request.
func (wi *Window) Received(now time.Time) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	wi.parts[wi.now].received++
}

// Take tells whether one retry is allowed, and counts it. share is the part of
// the allowance that it may draw on, from 0 to 1.
func (wi *Window) Take(now time.Time, share float64) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	sum := part{}
	for _, pa := range wi.parts {
		sum.received += pa.received
		sum.taken += pa.taken
	}
	// The oldest part has slid half out of the window on average: its retries
	// count in full, its requests do not count at all.
	sum.received -= wi.parts[(wi.now+1)%len(wi.parts)].received
	if float64(sum.taken+1) > share*(wi.ratio*float64(sum.received)+wi.slack) {
		return false
	}
	wi.parts[wi.now].taken++
	return true
}

// advance begins new parts up to a time.
func (wi *Window) advance(now time.Time) {
	if now.Sub(wi.at) > wi.step*(steps+1) {
		wi.parts, wi.at = [steps + 1]part{}, now
		return
	}
	for now.Sub(wi.at) >= wi.step {
		wi.now = (wi.now + 1) % len(wi.parts)
		wi.parts[wi.now] = part{}
		wi.at = wi.at.Add(wi.step)
	}
}
