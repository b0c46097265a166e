package entry

import (
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

// inFlightLimiter limits each organisation's requests in flight at this entry.
//
// mu guards the counts. No other lock is taken while it is held.
type inFlightLimiter struct {
	mu     sync.Mutex
	counts map[policy.OrganisationID]int64
}

func newInFlightLimiter() *inFlightLimiter {
	return &inFlightLimiter{counts: map[policy.OrganisationID]int64{}}
}

// acquire counts a request, or returns a problem when the organisation already has
// as many in flight as this entry allows: MaxInFlight divided evenly among the
// entries and rounded up. A MaxInFlight of 0 means no limit. When it returns nil,
// the caller must call release when the request has ended.
func (in *inFlightLimiter) acquire(or policy.Organisation, entries int) *problem {
	in.mu.Lock()
	defer in.mu.Unlock()
	limit := or.MaxInFlight / int64(entries)
	if or.MaxInFlight%int64(entries) > 0 {
		limit++
	}
	if or.MaxInFlight > 0 && in.counts[or.ID] >= limit {
		return &problem{
			status: http.StatusTooManyRequests, code: string(admission.ReasonOrganisationLimit),
			message: "the organisation has as many requests in service as it may", retryAt: time.Now().Add(defaultRetryDelay),
		}
	}
	in.counts[or.ID]++
	return nil
}

// release removes a request that acquire counted.
func (in *inFlightLimiter) release(id policy.OrganisationID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.counts[id]--; in.counts[id] == 0 {
		delete(in.counts, id)
	}
}
