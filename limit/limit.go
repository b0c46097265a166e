// Package limit keeps the limits that endpoints in need name in their answers: the
// requests a second that an endpoint takes from all routers together.
package limit

import (
	"sync"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
)

// Rate is a number of requests a second.
type Rate float64

// Limits holds the limits of endpoints. It is safe for concurrent use.
//
// mu guards known. No other lock is taken while it is held.
type Limits struct {
	log   *event.Log
	mu    sync.Mutex
	known map[policy.EndpointID]*word
}

// word is the last that is known of an endpoint's limit.
type word struct {
	// rate is the limit; ended reports whether the endpoint names none any more.
	rate  Rate
	ended bool
	at    time.Time
}

// New returns an empty set of limits.
func New(lo *event.Log) *Limits {
	return &Limits{log: lo, known: map[policy.EndpointID]*word{}}
}

// Named records that an endpoint named a limit in an answer.
func (li *Limits) Named(now time.Time, id policy.EndpointID, ra Rate) {
	li.mu.Lock()
	defer li.mu.Unlock()
	wo, ok := li.known[id]
	if !ok || wo.ended || wo.rate != ra {
		li.log.InfoLimited(event.LimitNamed, event.Fields{"endpoint": id, "per_second": ra})
	}
	li.known[id] = &word{rate: ra, at: now}
}

// NotNamed records that an endpoint named no limit in an answer to a request that was sent
// at a time. An answer to a request that is older than the limit shows nothing.
func (li *Limits) NotNamed(now, sentAt time.Time, id policy.EndpointID) {
	li.mu.Lock()
	defer li.mu.Unlock()
	wo, ok := li.known[id]
	if !ok || wo.ended || sentAt.Before(wo.at) {
		return
	}
	li.log.InfoLimited(event.LimitEnded, event.Fields{"endpoint": id})
	wo.ended, wo.at = true, now
}

// Rate returns the limit that an endpoint names, and false if it names none.
func (li *Limits) Rate(id policy.EndpointID) (Rate, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	wo, ok := li.known[id]
	if !ok || wo.ended {
		return 0, false
	}
	return wo.rate, true
}
