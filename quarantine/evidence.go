package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// minCrashes is the number of separate crashes, and minRequests the number of
	// different requests among them, from which a prompt part is quarantined. A request
	// that is sent again, or a session, can crash several endpoints by itself.
	minCrashes  = 4
	minRequests = 3
	// crashSeparation is the time between two crashes that count as separate. Endpoints
	// that fail together, as with their failure domain, crash within it.
	crashSeparation = 100 * time.Millisecond
	// restartTime is the time in which an endpoint that crashed cannot crash again: what is
	// reported of it meanwhile is the same crash.
	restartTime = time.Second
	// evidenceTTL is how long the crashes of a part are remembered after the first.
	evidenceTTL = 10 * time.Minute
	// maxEndpoints is the number of endpoints whose crashes are remembered for a part.
	maxEndpoints = 64
	// maxSuspects is the number of parts whose crashes are remembered.
	maxSuspects = 4096
)

// Crash is an answer that broke off soon after it had begun.
type Crash struct {
	Part     policy.PromptPartID
	Endpoint policy.EndpointID
	// Request is the last part of the prompt. It is the same when a request is sent
	// again.
	Request policy.PromptPartID
	// Contrast reports whether answers to other prompts went well, at the router that saw
	// the crash, of late.
	Contrast bool
}

// Evidence counts the crashes of prompt parts. It is not safe for concurrent use.
type Evidence struct {
	suspects *lru.Cache[policy.PromptPartID, *suspect]
}

// suspect holds the crashes of one part.
type suspect struct {
	forgetAt time.Time
	// crashedAt is when each endpoint last crashed.
	crashedAt map[policy.EndpointID]time.Time
	requests  map[policy.PromptPartID]bool
	// crashes counts those that are separate; the last one was at lastAt.
	crashes int64
	lastAt  time.Time
}

// NewEvidence returns evidence without crashes.
func NewEvidence() *Evidence { return &Evidence{suspects: newCache[*suspect](maxSuspects)} }

// newCache returns a cache by prompt part that drops the least recently used entries.
func newCache[V any](size int) *lru.Cache[policy.PromptPartID, V] {
	ca, err := lru.New[policy.PromptPartID, V](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return ca
}

// Verdict says that a part is to be quarantined, with the numbers of separate crashes
// and of different requests.
type Verdict struct {
	Crashes, Requests int64
}

// Add adds a crash. When the part's crashes suffice, it returns the verdict, and
// forgets them.
func (ev *Evidence) Add(now time.Time, cr Crash) (Verdict, bool) {
	su, ok := ev.suspects.Get(cr.Part)
	if !ok || now.After(su.forgetAt) {
		su = &suspect{forgetAt: now.Add(evidenceTTL), crashedAt: map[policy.EndpointID]time.Time{}, requests: map[policy.PromptPartID]bool{}}
		ev.suspects.Add(cr.Part, su)
	}
	su.add(now, cr)
	if su.crashes < minCrashes || len(su.requests) < minRequests {
		return Verdict{}, false
	}
	ev.suspects.Remove(cr.Part)
	return Verdict{Crashes: su.crashes, Requests: int64(len(su.requests))}, true
}

// add counts a crash. Several requests may report the crash of one endpoint.
func (su *suspect) add(now time.Time, cr Crash) {
	if len(su.requests) < minRequests {
		su.requests[cr.Request] = true
	}
	last, known := su.crashedAt[cr.Endpoint]
	if known && now.Sub(last) < restartTime || !known && len(su.crashedAt) == maxEndpoints {
		return
	}
	su.crashedAt[cr.Endpoint] = now
	if su.crashes == 0 || now.Sub(su.lastAt) >= crashSeparation {
		su.crashes, su.lastAt = su.crashes+1, now
	}
}
