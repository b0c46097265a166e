package limit

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxPause bounds a pause, in case an endpoint asks for an absurd one.
	maxPause = 10 * time.Minute
	// pauseSpread is the part of a pause by which its end is put off at random, so that
	// routers that were asked together do not return together.
	pauseSpread = 0.1
	// maxSpread bounds the time by which the end is put off.
	maxSpread = time.Second
)

// Pauses holds the endpoints that asked this router for a pause when they refused one of
// its requests, and when it ends. It is safe for concurrent use.
//
// mu guards ends. No other lock is taken while it is held.
type Pauses struct {
	mu   sync.Mutex
	ends map[policy.EndpointRun]time.Time
}

// NewPauses returns an empty set of pauses.
func NewPauses() *Pauses { return &Pauses{ends: map[policy.EndpointRun]time.Time{}} }

// Begin records that an endpoint wants no request until a time, and returns the time from
// which it gets requests again, and whether that is new. Of several pauses the latest end
// holds. chance is random, from 0 to 1.
func (pa *Pauses) Begin(now time.Time, er policy.EndpointRun, until time.Time, chance float64) (time.Time, bool) {
	length := min(until.Sub(now), maxPause)
	if length <= 0 {
		return time.Time{}, false
	}
	end := now.Add(length + min(maxSpread, time.Duration(pauseSpread*chance*float64(length))))
	pa.mu.Lock()
	defer pa.mu.Unlock()
	known, ok := pa.ends[er]
	if ok && !end.After(known) {
		return known, false
	}
	pa.ends[er] = end
	return end, !ok || !known.After(now)
}

// End returns when an endpoint's pause ends, and false if it has none.
func (pa *Pauses) End(now time.Time, er policy.EndpointRun) (time.Time, bool) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	end, ok := pa.ends[er]
	if ok && !end.After(now) {
		delete(pa.ends, er)
		return time.Time{}, false
	}
	return end, ok
}

// Prune forgets the pauses that have ended.
func (pa *Pauses) Prune(now time.Time) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	for er, end := range pa.ends {
		if !end.After(now) {
			delete(pa.ends, er)
		}
	}
}

// List returns the endpoints that have asked for a pause, with its end.
func (pa *Pauses) List(now time.Time) map[policy.EndpointID]time.Time {
	out := map[policy.EndpointID]time.Time{}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	for er, end := range pa.ends {
		if end.After(now) {
			out[er.ID] = end
		}
	}
	return out
}
