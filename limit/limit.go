// Package limit keeps the limits that endpoints in need name in their answers: the
// requests a second that an endpoint takes from all routers together. A few routers share
// a limit, each with a fixed part of it; the others send that endpoint nothing. Routers
// tell each other what they have learnt.
package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
)

// Rate is a number of requests a second.
type Rate float64

// rateBounds are those of the limits that routers use. Only an answer can show that a limit has
// ended, so that none is 0; above the largest one there is none to speak of.
var rateBounds = quantity.Bounds[Rate]{Min: minRate, Max: 1e9}

// wordTTL is how long what an endpoint said is used without newer word of it.
const wordTTL = 30 * time.Second

// Limits holds the limits of endpoints. It is safe for concurrent use.
//
// mu guards known, roster and published. The locks of the holder and of the peers are not taken
// while it is held.
type Limits struct {
	group     *peer.Group
	holder    *configuration.Holder
	log       *event.Log
	startedAt time.Time

	mu    sync.Mutex
	known map[policy.EndpointID]*word
	// size is the length of known, for readers that need no more.
	size atomic.Int64
	// registered is the policy whose registrations have been applied.
	registered atomic.Pointer[policy.Set]
	// roster holds the routers that may share the rate of a cold endpoint.
	roster roster
	// published reports whether the last message to the peers had limits.
	published bool
}

// word is the newest that is known of an endpoint's limit.
type word struct {
	// rate is the limit; ended reports whether the endpoint names none any more.
	rate  Rate
	ended bool
	// at is when the answer arrived at a router, own whether at this one.
	at  time.Time
	own bool
	// share is this router's part of the limit, 0 if others share it.
	share Rate
	cold  coldness
	// goneAt is when the endpoint was first missing in the policy, zero if it is there.
	goneAt time.Time
	// bucket has this router's part of the limit, and of the rate of the cold endpoint.
	bucket *Bucket
}

// New returns an empty set of limits.
func New(now time.Time, gr *peer.Group, ho *configuration.Holder, lo *event.Log) *Limits {
	return &Limits{group: gr, holder: ho, log: lo, startedAt: now, known: map[policy.EndpointID]*word{}, roster: newRoster()}
}

// Named records that an endpoint named a limit in an answer.
func (li *Limits) Named(now time.Time, id policy.EndpointID, ra Rate) {
	si := li.site(now)
	li.mu.Lock()
	defer li.mu.Unlock()
	li.update(si, id, word{rate: ra, at: now, own: true})
}

// NotNamed records that an endpoint named no limit in an answer to a request that was sent
// at a time. An answer to a request that is older than the limit shows nothing.
func (li *Limits) NotNamed(now, sentAt time.Time, id policy.EndpointID) {
	if li.size.Load() == 0 {
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	wo, ok := li.known[id]
	if !ok || wo.ended || sentAt.Before(wo.at) {
		return
	}
	li.end(id, wo, now, true)
}

// update replaces what is known of an endpoint by a newer word that names a limit. The
// caller holds mu.
func (li *Limits) update(si site, id policy.EndpointID, next word) {
	wo := li.wordOf(si.now, id)
	if wo.ended || wo.rate != next.rate {
		li.log.InfoLimited(event.LimitNamed, event.Fields{"endpoint": id, "per_second": next.rate, "own": next.own})
	}
	wo.rate, wo.ended, wo.at, wo.own = next.rate, false, next.at, next.own
	wo.share = si.shareOf(id, wo)
	wo.updateBucket(si.now)
}

// wordOf returns what is known of an endpoint, which is nothing for a new one. The caller holds mu.
func (li *Limits) wordOf(now time.Time, id policy.EndpointID) *word {
	wo, ok := li.known[id]
	if !ok {
		wo = &word{ended: true, bucket: NewBucket(now)}
		li.known[id] = wo
		li.size.Store(int64(len(li.known)))
	}
	return wo
}

// end records that an endpoint names no limit any more. The caller holds mu.
func (li *Limits) end(id policy.EndpointID, wo *word, at time.Time, own bool) {
	li.log.InfoLimited(event.LimitEnded, event.Fields{"endpoint": id, "own": own})
	wo.ended, wo.at, wo.own = true, at, own
}

// bucketOf returns the bucket of an endpoint that names a limit or is cold, with this router's part,
// nil if the endpoint may get any number of requests. The caller holds mu.
func (li *Limits) bucketOf(now time.Time, id policy.EndpointID) *Bucket {
	wo, ok := li.known[id]
	if !ok || !wo.updateBucket(now) {
		return nil
	}
	return wo.bucket
}

// shareAt returns this router's part of what the endpoint takes, and false if the endpoint may get any
// number of requests.
func (wo *word) shareAt(now time.Time) (Rate, bool) {
	share, cold := wo.cold.shareAt(now)
	if !wo.ended && (!cold || wo.share < share) {
		return wo.share, true
	}
	return share, cold
}

// updateBucket gives the bucket this router's part. It changes nothing, and returns false, if the
// endpoint may get any number of requests.
func (wo *word) updateBucket(now time.Time) bool {
	share, limited := wo.shareAt(now)
	if limited {
		wo.bucket.SetShare(now, share)
	}
	return limited
}

// Allows reports whether this router may send an endpoint one more request.
func (li *Limits) Allows(now time.Time, id policy.EndpointID) bool {
	li.applyRegistrations(now)
	if li.size.Load() == 0 {
		return true
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	bu := li.bucketOf(now, id)
	return bu == nil || bu.Ready(now)
}

// Take counts a request to an endpoint. It returns false, and counts nothing, if the
// endpoint may not get it.
func (li *Limits) Take(now time.Time, id policy.EndpointID) bool {
	li.applyRegistrations(now)
	li.mu.Lock()
	defer li.mu.Unlock()
	bu := li.bucketOf(now, id)
	return bu == nil || bu.Take(now)
}

// NextAt returns when the first of the endpoints may get a request from this router, and
// false if none has a limit of which this router has a share.
func (li *Limits) NextAt(now time.Time, ens []policy.Endpoint) (time.Time, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	var first time.Time
	for _, en := range ens {
		bu := li.bucketOf(now, en.ID)
		if bu == nil {
			continue
		}
		at, ok := bu.NextAt(now)
		if ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Rate returns the limit that an endpoint names, or what it bears while it is cold if that is less,
// and false if it has neither.
func (li *Limits) Rate(id policy.EndpointID) (Rate, bool) {
	now := time.Now()
	li.mu.Lock()
	defer li.mu.Unlock()
	wo, ok := li.known[id]
	if !ok {
		return 0, false
	}
	return wo.rateAt(now)
}

// rateAt returns the requests a second that the endpoint takes from all routers together, and false
// if there is no limit.
func (wo *word) rateAt(now time.Time) (Rate, bool) {
	switch cold := now.Before(wo.cold.until); {
	case cold && !wo.ended:
		return min(wo.rate, wo.cold.rate), true
	case cold:
		return wo.cold.rate, true
	default:
		return wo.rate, !wo.ended
	}
}

// Rates returns the requests a second that endpoints take from all routers together, as far as this
// router knows limits of them.
func (li *Limits) Rates() map[policy.EndpointID]Rate {
	now, out := time.Now(), map[policy.EndpointID]Rate{}
	li.mu.Lock()
	defer li.mu.Unlock()
	for id, wo := range li.known {
		if ra, ok := wo.rateAt(now); ok {
			out[id] = ra
		}
	}
	return out
}
