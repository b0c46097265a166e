package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// provenTTL is how long it is remembered that an answer went well, and maxProven of how many
	// prompt parts and of how many requests.
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
	// Requests are many, and must not take the place of parts.
	parts, requests *lru.Cache[policy.Subject, proof]
	// contrastUntil is, by service, until when the last answer that went well counts as
	// contrast.
	contrastUntil *lru.Cache[policy.ServiceID, time.Time]
}

// proof says of which service an answer went well, "" if another router said so, and until when that
// counts.
type proof struct {
	service policy.ServiceID
	until   time.Time
}

// maxServices is the number of services whose contrast is remembered.
const maxServices = 1024

// NewProofs returns proofs of no subjects.
func NewProofs() *Proofs {
	return &Proofs{
		parts: newCache[policy.Subject, proof](maxProven), requests: newCache[policy.Subject, proof](maxProven),
		contrastUntil: newCache[policy.ServiceID, time.Time](maxServices),
	}
}

func (pr *Proofs) cacheOf(su policy.Subject) *lru.Cache[policy.Subject, proof] {
	if su.Request != "" {
		return pr.requests
	}
	return pr.parts
}

// Add records that an answer of a service to a request with these subjects went well.
func (pr *Proofs) Add(now time.Time, id policy.ServiceID, sus []policy.Subject) {
	pr.contrastUntil.Add(id, now.Add(contrastTTL))
	for _, su := range sus {
		pr.cacheOf(su).Add(su, proof{service: id, until: now.Add(provenTTL)})
	}
}

// AddElsewhere records that an answer to a request with a subject went well at another router.
func (pr *Proofs) AddElsewhere(now time.Time, su policy.Subject) {
	pr.cacheOf(su).Add(su, proof{until: now.Add(provenTTL)})
}

// ServiceOf returns the service that gave the answer by which a subject is proven, "" if that was
// at another router.
func (pr *Proofs) ServiceOf(su policy.Subject) policy.ServiceID {
	pf, _ := pr.cacheOf(su).Peek(su)
	return pf.service
}

// Proven reports whether an answer to a request with a subject went well of late.
func (pr *Proofs) Proven(now time.Time, su policy.Subject) bool {
	pf, ok := pr.cacheOf(su).Peek(su)
	return ok && now.Before(pf.until)
}

// Contrast reports whether any answer of a service went well of late. If none did, not the
// requests but the endpoints may be the cause of crashes.
func (pr *Proofs) Contrast(now time.Time, id policy.ServiceID) bool {
	until, ok := pr.contrastUntil.Peek(id)
	return ok && !now.After(until)
}
