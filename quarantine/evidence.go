package quarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
)

const (
	// minCrashes is the number of separate crashes, and minRequests the number of
	// different requests among them, from which a prompt part is quarantined. A request
	// that is sent again, or a session, can crash several endpoints by itself.
	minCrashes  = 4
	minRequests = 3
	// minCrashesOfRequest is the number of separate crashes from which a request that comes
	// again unchanged is quarantined.
	minCrashesOfRequest = 3
	// crashSeparation is the time between two crashes that count as separate. Endpoints
	// that fail together, as with their failure domain, crash within it.
	crashSeparation = 100 * time.Millisecond
	// restartTime is the time in which an endpoint that crashed cannot crash again: what is
	// reported of it meanwhile is the same crash.
	restartTime = time.Second
	// evidenceTTL is how long the crashes of a subject are remembered after the first.
	evidenceTTL = 10 * time.Minute
	// maxEndpoints is the number of endpoints whose crashes are remembered for a subject.
	maxEndpoints = 64
	// maxSuspects is the number of subjects whose crashes are remembered.
	maxSuspects = 4096
)

// Crash is an answer that an endpoint broke off, to a request with a subject.
type Crash struct {
	Subject  policy.Subject
	Service  policy.ServiceID
	Endpoint policy.EndpointID
	// Request is the last part of the prompt. It is the same when a request is sent
	// again.
	Request policy.PromptPartID
	// Contrast reports whether answers of the service went well, at the router that saw
	// the crash, of late.
	Contrast bool
}

func crashOf(ms *rpc.Crash) Crash {
	return Crash{
		Subject: policy.Subject{Part: policy.PromptPartID(ms.GetPart()), Request: policy.Fingerprint(ms.GetFingerprint())},
		Service: policy.ServiceID(ms.GetService()), Endpoint: policy.EndpointID(ms.GetEndpoint()),
		Request: policy.PromptPartID(ms.GetRequest()), Contrast: ms.GetOthersWentWell(),
	}
}

func (cr Crash) message() *rpc.Crash {
	return &rpc.Crash{
		Part: string(cr.Subject.Part), Fingerprint: string(cr.Subject.Request), Service: string(cr.Service),
		Endpoint: string(cr.Endpoint), Request: string(cr.Request), OthersWentWell: cr.Contrast,
	}
}

// Evidence counts the crashes of subjects. It is not safe for concurrent use.
type Evidence struct {
	suspects *lru.Cache[policy.Subject, *suspect]
}

// suspect holds the crashes of one subject.
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
func NewEvidence() *Evidence {
	return &Evidence{suspects: newCache[policy.Subject, *suspect](maxSuspects)}
}

// newCache returns a cache that drops the least recently used entries.
func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	ca, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return ca
}

// Verdict says that a subject is to be quarantined, with the numbers of separate crashes
// and of different requests.
type Verdict struct {
	Crashes, Requests int64
}

// Add adds a crash. When the subject's crashes suffice, it returns the verdict, and
// forgets them.
func (ev *Evidence) Add(now time.Time, cr Crash) (Verdict, bool) {
	su, ok := ev.suspects.Get(cr.Subject)
	if !ok || now.After(su.forgetAt) {
		su = &suspect{forgetAt: now.Add(evidenceTTL), crashedAt: map[policy.EndpointID]time.Time{}, requests: map[policy.PromptPartID]bool{}}
		ev.suspects.Add(cr.Subject, su)
	}
	su.add(now, cr)
	if !su.suffices(cr.Subject) {
		return Verdict{}, false
	}
	ev.suspects.Remove(cr.Subject)
	return Verdict{Crashes: su.crashes, Requests: int64(len(su.requests))}, true
}

// suffices reports whether the crashes of a subject are enough to quarantine it.
func (su *suspect) suffices(of policy.Subject) bool {
	if of.Request != "" {
		return su.crashes >= minCrashesOfRequest
	}
	return su.crashes >= minCrashes && len(su.requests) >= minRequests
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
