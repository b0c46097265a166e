package quarantine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/quantity"
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
	// minQuarantine is the shortest time of a quarantine that ends because another subject
	// explains the crashes. All routers learn of it in that time, and so of its end.
	minQuarantine = 750 * time.Millisecond
	// maxIncidents is the number of crashes that are remembered for a subject.
	maxIncidents = 64
	// maxSuspects is the number of subjects whose crashes are remembered, and maxEndpoints that
	// of endpoints whose last crash is.
	maxSuspects  = 4096
	maxEndpoints = 4096
)

// crashAge bounds the age, in milliseconds, of a crash that a router reports.
var crashAge = quantity.Bounds[int64]{Min: 0, Max: (10 * time.Second).Milliseconds()}

// Crash is an answer that an endpoint broke off, to a request with a subject.
type Crash struct {
	Subject  policy.Subject
	Service  policy.ServiceID
	Endpoint policy.EndpointID
	// StartedAtMs is when the endpoint had started, 0 if that is not known.
	StartedAtMs int64
	// Request is the last part of the prompt. It is the same when a request is sent
	// again.
	Request policy.PromptPartID
	// Contrast reports whether answers of the service went well, at the router that saw
	// the crash, of late.
	Contrast bool
	// At is when the answer broke off.
	At time.Time
}

// crashOf returns the crash that a router reports. Clocks differ, so messages have its age.
func crashOf(now time.Time, ms *rpc.Crash) Crash {
	return Crash{
		Subject: policy.Subject{Part: policy.PromptPartID(ms.GetPart()), Request: policy.Fingerprint(ms.GetFingerprint())},
		Service: policy.ServiceID(ms.GetService()), Endpoint: policy.EndpointID(ms.GetEndpoint()), StartedAtMs: ms.GetEndpointStartedAtMs(),
		Request: policy.PromptPartID(ms.GetRequest()), Contrast: ms.GetOthersWentWell(),
		At: now.Add(-time.Duration(crashAge.Clamp(ms.GetAgeMs())) * time.Millisecond),
	}
}

func (cr Crash) message(now time.Time) *rpc.Crash {
	return &rpc.Crash{
		Part: string(cr.Subject.Part), Fingerprint: string(cr.Subject.Request), Service: string(cr.Service),
		Endpoint: string(cr.Endpoint), EndpointStartedAtMs: cr.StartedAtMs, Request: string(cr.Request), OthersWentWell: cr.Contrast,
		AgeMs: now.Sub(cr.At).Milliseconds(),
	}
}

// Evidence relates the crashes of endpoints to the subjects of the requests that they broke
// off. Many requests run beside the one that crashes an endpoint. What tells the cause is that it is
// in each of its crashes, and that no answer to it goes well. It is not safe for concurrent use.
type Evidence struct {
	suspects *lru.Cache[policy.Subject, *suspect]
	// incidents holds the last crash of each endpoint.
	incidents *lru.Cache[policy.EndpointID, *incident]
}

// incident is the crash of an endpoint.
type incident struct {
	at  time.Time
	run policy.EndpointRun
}

// suspect holds the crashes of one subject.
type suspect struct {
	subject  policy.Subject
	service  policy.ServiceID
	forgetAt time.Time
	// incidents are in the order in which they were reported.
	incidents []*incident
	requests  map[policy.PromptPartID]bool
	// quarantinedAt is since when the subject is known to be in quarantine, zero if it is not.
	quarantinedAt time.Time
}

func newSuspect(id policy.ServiceID, subject policy.Subject, at time.Time) *suspect {
	return &suspect{subject: subject, service: id, forgetAt: at.Add(evidenceTTL), requests: map[policy.PromptPartID]bool{}}
}

func (su *suspect) quarantined() bool { return !su.quarantinedAt.IsZero() }

// NewEvidence returns evidence without crashes.
func NewEvidence() *Evidence {
	return &Evidence{
		suspects:  newCache[policy.Subject, *suspect](maxSuspects),
		incidents: newCache[policy.EndpointID, *incident](maxEndpoints),
	}
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

// Add adds a crash at a time, and returns the verdict if the subject's crashes suffice and no
// other subject explains them.
func (ev *Evidence) Add(at time.Time, cr Crash) (Verdict, bool) {
	su, ok := ev.suspects.Get(cr.Subject)
	if !ok || at.After(su.forgetAt) {
		su = newSuspect(cr.Service, cr.Subject, at)
		ev.suspects.Add(cr.Subject, su)
	}
	su.add(ev.incidentOf(at, policy.EndpointRun{ID: cr.Endpoint, StartedAtMs: cr.StartedAtMs}), cr.Request)
	return ev.verdict(su)
}

// verdict returns the verdict on a suspect if its crashes suffice and no other subject explains them.
func (ev *Evidence) verdict(su *suspect) (Verdict, bool) {
	if su.quarantined() || !su.suffices() || isExplained(su, ev.causes()) {
		return Verdict{}, false
	}
	return Verdict{Crashes: su.crashes(), Requests: int64(len(su.requests))}, true
}

// known returns the crash of an endpoint of which an answer that broke off at a time is a part, nil if it
// is of none that is known.
func (ev *Evidence) known(at time.Time, id policy.EndpointID) *incident {
	if in, ok := ev.incidents.Get(id); ok && at.Sub(in.at).Abs() < restartTime {
		return in
	}
	return nil
}

// incidentOf returns the crash of an endpoint of which an answer that broke off at a time is a part.
func (ev *Evidence) incidentOf(at time.Time, run policy.EndpointRun) *incident {
	if in := ev.known(at, run.ID); in != nil {
		return in
	}
	in := &incident{at: at, run: run}
	ev.incidents.Add(run.ID, in)
	return in
}

// SetQuarantined notes which subjects are in quarantine at a time. The evidence against one that no
// longer is begins anew: these are returned, with their services.
func (ev *Evidence) SetQuarantined(now time.Time, quarantined func(su policy.Subject) bool) map[policy.Subject]policy.ServiceID {
	forgotten := map[policy.Subject]policy.ServiceID{}
	for _, su := range ev.suspects.Values() {
		is := quarantined(su.subject)
		if su.quarantined() && !is {
			ev.Forget(su.subject)
			forgotten[su.subject] = su.service
		}
		if !su.quarantined() && is {
			su.quarantinedAt = now
		}
	}
	return forgotten
}

// Explained returns the requests in quarantine of which another subject explains the crashes. A part
// waits for an answer that goes well: if it was the cause after all, many requests would show it.
func (ev *Evidence) Explained(now time.Time) []policy.Subject {
	var out []policy.Subject
	causes := ev.causes()
	for _, su := range causes {
		if su.subject.Request != "" && su.quarantined() && now.Sub(su.quarantinedAt) >= minQuarantine && isExplained(su, causes) {
			out = append(out, su.subject)
		}
	}
	return out
}

// Forget drops the evidence against a subject.
func (ev *Evidence) Forget(su policy.Subject) { ev.suspects.Remove(su) }

// causes returns the subjects of which the crashes suffice, or that are in quarantine.
func (ev *Evidence) causes() []*suspect {
	return slices.DeleteFunc(ev.suspects.Values(), func(su *suspect) bool { return !su.quarantined() && !su.suffices() })
}

// isExplained reports whether one of the causes is in all crashes of a suspect and in more: the
// suspect's requests ran beside it.
func isExplained(su *suspect, causes []*suspect) bool {
	return slices.ContainsFunc(causes, func(other *suspect) bool {
		return other != su && other.service == su.service && other.crashes() > su.crashes() && other.hasAll(su.incidents)
	})
}

// add adds a crash. Several requests may report one.
func (su *suspect) add(in *incident, request policy.PromptPartID) {
	su.addRequest(request)
	su.addIncident(in)
}

func (su *suspect) addRequest(request policy.PromptPartID) {
	if len(su.requests) < minRequests {
		su.requests[request] = true
	}
}

func (su *suspect) addIncident(in *incident) {
	if len(su.incidents) < maxIncidents && !slices.Contains(su.incidents, in) {
		su.incidents = append(su.incidents, in)
	}
}

// suffices reports whether the crashes of a subject are enough to quarantine it.
func (su *suspect) suffices() bool {
	if len(su.incidents) < min(minCrashes, minCrashesOfRequest) {
		return false
	}
	return enough(su.subject, Verdict{Crashes: su.crashes(), Requests: int64(len(su.requests))})
}

// enough reports whether so many crashes and requests are enough to quarantine a subject.
func enough(su policy.Subject, ve Verdict) bool {
	if su.Request != "" {
		return ve.Crashes >= minCrashesOfRequest
	}
	return ve.Requests >= minRequests && ve.Crashes >= minCrashes
}

// crashes returns the number of separate crashes.
func (su *suspect) crashes() int64 { return separateCrashes(su.incidents) }

// separateCrashes returns the number of crashes that are separate.
func separateCrashes(ins []*incident) int64 {
	var ats []time.Time
	for _, in := range ins {
		ats = append(ats, in.at)
	}
	slices.SortFunc(ats, time.Time.Compare)
	separate, last := int64(0), time.Time{}
	for _, at := range ats {
		if separate == 0 || at.Sub(last) >= crashSeparation {
			separate, last = separate+1, at
		}
	}
	return separate
}

func (su *suspect) hasAll(ins []*incident) bool {
	return !slices.ContainsFunc(ins, func(in *incident) bool { return !slices.Contains(su.incidents, in) })
}
