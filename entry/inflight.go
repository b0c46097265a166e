package entry

import (
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/admission"
	"tanagerpoint.example/tanager/policy"
)

// inFlights counts each organisation's requests at this entry.
//
// mu guards the counts. No other lock is taken while it is held.
type inFlights struct {
	mu     sync.Mutex
	counts map[policy.OrganisationID]int64
}

func newInFlights() *inFlights {
	return &inFlights{counts: map[policy.OrganisationID]int64{}}
}

// enter counts a request, or refuses it when the organisation has as many as
// this entry's part of its bound.
func (in *inFlights) enter(or policy.Organisation, entries int) *problem {
	in.mu.Lock()
	defer in.mu.Unlock()
	part := (or.MaxInFlight + int64(entries) - 1) / int64(entries)
	if or.MaxInFlight > 0 && in.counts[or.ID] >= part {
		return &problem{
			status: http.StatusTooManyRequests, code: string(admission.ReasonOrganisationLimit),
			message: "the organisation has as many requests in service as it may", retryAt: time.Now().Add(overloadedRetry),
		}
	}
	in.counts[or.ID]++
	return nil
}

// leave ends a request.
func (in *inFlights) leave(id policy.OrganisationID) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.counts[id]--; in.counts[id] == 0 {
		delete(in.counts, id)
	}
}
