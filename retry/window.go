package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets into which the length of a window is divided.
const bucketCount = 10

// Window is a retry budget over a sliding window of time: it allows retries in
// proportion to the requests received in the window. It is made for many
// requests that fail at the same moment after a time with few failures: the
// whole allowance of the window is then available at once. For each retry, the
// window is the one that ends at that moment.
//
// mu guards all fields. No other lock is taken while it is held.
type Window struct {
	mu           sync.Mutex
	ratio        float64
	slack        float64
	bucketLength time.Duration
	// buckets is a ring that holds the current bucket, which begins at
	// currentStart, and the bucketCount buckets before it.
	buckets      [bucketCount + 1]bucket
	current      int
	currentStart time.Time
}

// bucket counts the requests received and the retries taken in one part of a
// window.
type bucket struct {
	received int
	taken    int
}

// NewWindow returns an empty window of the given length, which allows ratio
// retries for each request received in it, and slack retries in addition.
func NewWindow(now time.Time, length time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, bucketLength: length / bucketCount, currentStart: now}
}

// Received counts a received request.
func (wi *Window) Received(now time.Time) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.advance(now)
	wi.buckets[wi.current].received++
}

// Take reports whether one retry is allowed, and counts it if so. share is the
// part of the allowance that this retry may use, from 0 to 1.
func (wi *Window) Take(now time.Time, share float64) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if !wi.hasRoom(now, share) {
		return false
	}
	wi.buckets[wi.current].taken++
	return true
}

// Allows reports what Take would, and counts nothing.
func (wi *Window) Allows(now time.Time, share float64) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	return wi.hasRoom(now, share)
}

// hasRoom reports whether one more retry is within a share of the allowance. The caller
// holds mu.
func (wi *Window) hasRoom(now time.Time, share float64) bool {
	wi.advance(now)
	sum := bucket{}
	for _, bu := range wi.buckets {
		sum.received += bu.received
		sum.taken += bu.taken
	}
	// On average half of the oldest bucket lies outside the window. To stay
	// within the limit, its retries count in full and its requests not at all.
	sum.received -= wi.buckets[(wi.current+1)%len(wi.buckets)].received
	return float64(sum.taken+1) <= share*(wi.ratio*float64(sum.received)+wi.slack)
}

// advance starts new buckets, which drop the oldest, until the current one
// contains now.
func (wi *Window) advance(now time.Time) {
	if now.Sub(wi.currentStart) > wi.bucketLength*(bucketCount+1) {
		wi.buckets, wi.currentStart = [bucketCount + 1]bucket{}, now
		return
	}
	for now.Sub(wi.currentStart) >= wi.bucketLength {
		wi.current = (wi.current + 1) % len(wi.buckets)
		wi.buckets[wi.current] = bucket{}
		wi.currentStart = wi.currentStart.Add(wi.bucketLength)
	}
}
