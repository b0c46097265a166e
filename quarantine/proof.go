package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// ProvenAfter is how long an answer has to last, from its head on, to show that its
	// request does not crash endpoints.
	ProvenAfter = time.Second
	// provenTTL is how long that is remembered, and maxProven of how many prompt parts
	// and of how many requests.
	provenTTL = time.Minute
	maxProven = 8192
	// contrastTTL is how long an answer that went well shows that endpoints do not crash
	// under every request. It is shorter than provenTTL, so that the usual parts still
	// count as proven when the last such answer no longer counts.
	contrastTTL = 30 * time.Second
)

// Proofs holds the subjects of answers that went well of late. It is safe for concurrent
// use.
type Proofs struct {
	// parts and requests hold, by subject, until when it counts as proven. Requests are
	// many, and must not take the place of parts.
	parts, requests *lru.Cache[policy.Subject, time.Time]
	// contrastUntil is, by service, until when the last answer that went well counts as
	// contrast.
	contrastUntil *lru.Cache[policy.ServiceID, time.Time]
}

// maxServices is the number of services whose contrast is remembered.
const maxServices = 1024

// NewProofs returns proofs of no subjects.
func NewProofs() *Proofs {
	return &Proofs{
		parts: newCache[policy.Subject, time.Time](maxProven), requests: newCache[policy.Subject, time.Time](maxProven),
		contrastUntil: newCache[policy.ServiceID, time.Time](maxServices),
	}
}

func (pr *Proofs) cacheOf(su policy.Subject) *lru.Cache[policy.Subject, time.Time] {
	if su.Request != "" {
		return pr.requests
	}
	return pr.parts
}

// Add records that an answer of a service to a request with these subjects went well.
func (pr *Proofs) Add(now time.Time, id policy.ServiceID, sus []policy.Subject) {
	pr.contrastUntil.Add(id, now.Add(contrastTTL))
	for _, su := range sus {
		pr.cacheOf(su).Add(su, now.Add(provenTTL))
	}
}

// Proven reports whether an answer to a request with a subject went well of late.
func (pr *Proofs) Proven(now time.Time, su policy.Subject) bool {
	until, ok := pr.cacheOf(su).Peek(su)
	return ok && now.Before(until)
}

// Contrast reports whether any answer of a service went well of late. If none did, not the
// requests but the endpoints may be the cause of crashes.
func (pr *Proofs) Contrast(now time.Time, id policy.ServiceID) bool {
	until, ok := pr.contrastUntil.Peek(id)
	return ok && !now.After(until)
}
