package quarantine

import (
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// ProvenAfter is how long an answer has to last, from its head on, to show that the
	// parts of its prompt do not crash endpoints.
	ProvenAfter = time.Second
	// provenTTL is how long that is remembered, and maxProven of how many parts.
	provenTTL = time.Minute
	maxProven = 8192
	// contrastTTL is how long an answer that went well shows that endpoints do not crash
	// under every prompt. It is shorter than provenTTL, so that the usual parts still
	// count as proven when the last such answer no longer counts.
	contrastTTL = 30 * time.Second
)

// Proofs holds the prompt parts of answers that went well of late. It is safe for
// concurrent use.
type Proofs struct {
	// until is by part until when it counts as proven.
	until *lru.Cache[policy.PromptPartID, time.Time]
	// contrastUntil is until when the last answer that went well counts as contrast, in
	// Unix nanoseconds.
	contrastUntil atomic.Int64
}

// NewProofs returns proofs of no parts.
func NewProofs() *Proofs { return &Proofs{until: newCache[time.Time](maxProven)} }

// Add records that an answer to a prompt with these parts went well.
func (pr *Proofs) Add(now time.Time, parts []policy.PromptPartID) {
	if len(parts) > 0 {
		pr.contrastUntil.Store(now.Add(contrastTTL).UnixNano())
	}
	for _, part := range parts {
		pr.until.Add(part, now.Add(provenTTL))
	}
}

// Proven reports whether an answer to a prompt with a part went well of late.
func (pr *Proofs) Proven(now time.Time, part policy.PromptPartID) bool {
	until, ok := pr.until.Peek(part)
	return ok && now.Before(until)
}

// Contrast reports whether any answer went well of late. If none did, not the prompts but
// the endpoints may be the cause of crashes.
func (pr *Proofs) Contrast(now time.Time) bool {
	return now.UnixNano() <= pr.contrastUntil.Load()
}
