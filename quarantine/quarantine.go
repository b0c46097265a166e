// Package quarantine bars what crashes endpoints: parts of prompts, and requests that come
// again unchanged. A router that sees an answer break off, and finds the endpoint gone, reports the
// subjects of the request to the few routers that count the crashes of its service, their holders.
// A subject with enough crashes, and without an answer that went well, is quarantined: a holder
// records that in the store, and every router refuses requests with the subject. While no answer of a
// service goes well, the crashes are compared with one another instead.
package quarantine

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/worker"
)

const (
	// Duration is how long a subject is quarantined. It is the longest time to live of a
	// lease of the store.
	Duration = 10 * time.Minute
	// maxQuarantined is the largest number of subjects of a kind in quarantine. If more
	// crash endpoints, the requests are not the cause.
	maxQuarantined = 16
	// reportedTTL is how long a subject is refused here because a holder said that it is
	// quarantined. The record of the quarantine arrives in that time, unless the store
	// is unavailable.
	reportedTTL = 30 * time.Second
	// maxReports is the number of breaks that may wait to be reported.
	maxReports = 1024
)

// Recorder keeps quarantines where all routers learn of them.
type Recorder interface {
	// Record sets a quarantine, unless its subject has one.
	Record(ctx context.Context, qu *rpc.Quarantine) error
	// Replace replaces a quarantine that was last changed at a revision. It returns false
	// if it has been changed since.
	Replace(ctx context.Context, qu *rpc.Quarantine, revision store.Revision) (bool, error)
	// Remove ends the quarantine of a subject that was last changed at a revision. It returns false if it
	// has been changed, or has ended, since.
	Remove(ctx context.Context, su policy.Subject, revision store.Revision) (bool, error)
	Keeper
}

// Prober reports whether the process at the address of one of a service's endpoints runs.
type Prober interface {
	Alive(ctx context.Context, id policy.ServiceID, address string) bool
}

// List holds the subjects that are in quarantine, and what this router knows of
// others. It is safe for concurrent use.
//
// mu guards evidence, comparisons, forgotten, checkpoints, refused and triedProbeAt. The locks of proofs
// and of the holder are taken after it. That of doubts is taken while no other is held.
type List struct {
	group    *peer.Group
	holder   *configuration.Holder
	recorder Recorder
	prober   Prober
	log      *event.Log
	proofs   *Proofs
	doubts   *doubts
	reports  chan report
	// recordAgainAt is when a quarantine that a restored store has lost is recorded again.
	// Only the goroutine of record uses it.
	recordAgainAt map[policy.Subject]time.Time
	// keptEra is the era of the store in which the evidence there was last looked at. Only the
	// goroutine of compareEvidence uses it.
	keptEra store.Era
	// keeping runs the calls of the store about evidence, until Run ends.
	keeping *worker.Group

	mu       sync.Mutex
	evidence *Evidence
	// comparisons holds the crashes of services of which no answer goes well.
	comparisons *lru.Cache[policy.ServiceID, *Comparison]
	// forgotten is when the evidence against a subject was last dropped here; the store's may be older.
	forgotten   *lru.Cache[policy.Subject, time.Time]
	checkpoints *lru.Cache[policy.ServiceID, *checkpoint]
	// refused holds the subjects that are refused here although the policy may not show
	// their quarantine yet.
	refused map[policy.Subject]refusal
	// triedProbeAt is when this router last tried to let a request through as a probe.
	triedProbeAt map[policy.Subject]time.Time
}

// refusal says that a subject is refused until a time. pending is the quarantine that this
// router still has to record, nil if there is none.
type refusal struct {
	until   time.Time
	pending *rpc.Quarantine
}

// NewList returns a list; Run reports and records.
func NewList(gr *peer.Group, ho *configuration.Holder, re Recorder, pr Prober, lo *event.Log) *List {
	return &List{
		group: gr, holder: ho, recorder: re, prober: pr, log: lo, proofs: NewProofs(), doubts: newDoubts(), reports: make(chan report, maxReports),
		recordAgainAt: map[policy.Subject]time.Time{},
		evidence:      NewEvidence(), comparisons: newCache[policy.ServiceID, *Comparison](maxServices), refused: map[policy.Subject]refusal{},
		forgotten: newCache[policy.Subject, time.Time](maxSuspects), checkpoints: newCache[policy.ServiceID, *checkpoint](maxServices), keeping: worker.NewGroup(),
		triedProbeAt: map[policy.Subject]time.Time{},
	}
}

// Refusal says which subject of a request is refused, and when its caller should try again.
type Refusal struct {
	Subject policy.Subject
	RetryAt time.Time
}

// Refuses reports whether a request with these subjects is refused.
func (li *List) Refuses(now time.Time, sus []policy.Subject) (re Refusal, refused bool) {
	for _, su := range sus {
		at, ok := li.quarantined(now, su)
		if ok && at.After(re.RetryAt) && !li.proofs.Proven(now, su) {
			re, refused = Refusal{Subject: su, RetryAt: at}, true
		}
	}
	return re, refused
}

// quarantined reports whether a subject is in quarantine, and when callers should try
// again.
func (li *List) quarantined(now time.Time, su policy.Subject) (retryAt time.Time, ok bool) {
	if qu, ok := li.holder.Set().QuarantineOf(su); ok {
		return qu.RetryAt(now), true
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	re, ok := li.refused[su]
	return re.until, ok && now.Before(re.until)
}

// Proven records that an answer of a service to a request with these subjects went well.
func (li *List) Proven(now time.Time, id policy.ServiceID, sus []policy.Subject) {
	li.proofs.Add(now, id, sus)
	li.tellContrast(now, id)
}

// Moment is how much of an answer had arrived when it broke off.
type Moment string

// The moments of a break. AtEnd is that of an answer which looked whole.
const (
	BeforeHead Moment = "before_head"
	AfterHead  Moment = "after_head"
	AfterEvent Moment = "after_event"
	AtEnd      Moment = "at_end"
)

// Break is an answer that an endpoint broke off.
type Break struct {
	Service  policy.ServiceID
	Endpoint policy.EndpointID
	// StartedAtMs is when the endpoint had started, 0 if that is not known.
	StartedAtMs int64
	// Address is the endpoint's, HOST:PORT.
	Address string
	// Request is the request's ID, LastPart the last part of its prompt, if it has one.
	Request  string
	LastPart policy.PromptPartID
	Moment   Moment
	// AfterHead is the time since the head arrived, 0 before it.
	AfterHead time.Duration
	// At is when it broke off, and FoundAt when the router found that it may have.
	At, FoundAt time.Time
	// Subjects are those that may be the cause.
	Subjects []policy.Subject
}

// report is a break that is to be reported, if it was a crash.
type report struct {
	Break
	// counted is closed when the holders have counted it, cannot be reached or need not.
	counted chan struct{}
}

// Crashed records that an endpoint broke off an answer. The channel that it returns is closed when
// that has been counted, if the endpoint crashed: whether a subject is refused for it is known then.
func (li *List) Crashed(br Break) <-chan struct{} {
	rp := report{Break: br, counted: make(chan struct{})}
	select {
	case li.reports <- rp:
	default:
		li.log.WarnLimited(event.CrashNotReported, nil, event.Fields{"request": br.Request, "endpoint": br.Endpoint})
		close(rp.counted)
	}
	return rp.counted
}

// crashesOf returns what is reported of a break: the subjects that are not proven.
func (li *List) crashesOf(now time.Time, br Break, alive bool) []Crash {
	contrast := li.proofs.Contrast(now, br.Service)
	var proven, blamed []policy.Subject
	var out []Crash
	for _, su := range br.Subjects {
		if li.proofs.Proven(now, su) {
			proven = append(proven, su)
			continue
		}
		blamed = append(blamed, su)
		out = append(out, Crash{Subject: su, Service: br.Service, Endpoint: br.Endpoint, StartedAtMs: br.StartedAtMs, Request: br.LastPart, Contrast: contrast, At: br.At})
	}
	if alive {
		blamed, out = nil, nil
	}
	if alive && br.Moment == AtEnd {
		// If that was found later, the endpoint may have crashed and be back.
		if br.FoundAt.Sub(br.At) < restartTime {
			li.Proven(now, br.Service, br.Subjects)
		}
		return nil
	}
	li.log.InfoLimited(event.AnswerBrokenOff, event.Fields{
		"request": br.Request, "endpoint": br.Endpoint, "moment": br.Moment, "after_head_ms": br.AfterHead.Milliseconds(),
		"endpoint_runs": alive, "blamed": blamed, "proven": proven, "others_went_well": contrast,
	})
	return out
}

// ReportCrashes implements peer.Crashes for the services whose crashes this router counts. It only
// compares a crash with others if answers of the service went well neither here nor at the router that
// reports it. It answers when the crashes are also in the store, or that takes too long: whoever
// reported them may then send their requests again.
func (li *List) ReportCrashes(ctx context.Context, rq *rpc.ReportCrashesRequest) (*rpc.ReportCrashesResponse, error) {
	now, rs := time.Now(), &rpc.ReportCrashesResponse{}
	for _, id := range rq.GetHarmlessParts() {
		li.proofs.AddElsewhere(now, policy.Subject{Part: policy.PromptPartID(id)})
	}
	var reported []Crash
	for _, ms := range rq.GetCrashes() {
		reported = append(reported, crashOf(now, ms))
	}
	crs, unsure := li.countable(now, reported)
	li.compareCrashes(now, unsure)
	added := li.newCrashes(crs)
	for id, newCrash := range added {
		if newCrash {
			li.catchUp(ctx, id)
		}
	}
	for _, cr := range crs {
		li.addEvidence(now, cr)
	}
	for id, newCrash := range added {
		li.keep(ctx, id, newCrash)
	}
	for _, cr := range reported {
		su := cr.Subject
		_, ok := li.quarantined(now, su)
		switch {
		case !ok || li.proofs.Proven(now, su):
		case su.Request != "":
			rs.Fingerprints = append(rs.Fingerprints, string(su.Request))
		default:
			rs.Quarantined = append(rs.Quarantined, string(su.Part))
		}
	}
	return rs, nil
}

// countable returns the crashes of a report that count, and those that would if answers of their service
// had gone well.
func (li *List) countable(now time.Time, reported []Crash) (crs, unsure []Crash) {
	for _, cr := range reported {
		switch {
		case li.proofs.Proven(now, cr.Subject):
		case cr.Contrast || li.contrast(now, cr.Service):
			crs = append(crs, cr)
		default:
			unsure = append(unsure, cr)
		}
	}
	return crs, unsure
}

// newCrashes returns the services of crashes, and whether an endpoint's crash among them is not known yet.
func (li *List) newCrashes(crs []Crash) map[policy.ServiceID]bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	out := map[policy.ServiceID]bool{}
	for _, cr := range crs {
		out[cr.Service] = out[cr.Service] || li.evidence.known(cr.At, cr.Endpoint) == nil
	}
	return out
}

// addEvidence adds a crash, and quarantines its subject if that has crashed enough endpoints.
func (li *List) addEvidence(now time.Time, cr Crash) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if ve, ok := li.evidence.Add(cr.At, cr); ok {
		li.quarantine(now, cr.Subject, ve, cr.Endpoint)
	}
}

// quarantine quarantines a subject, unless it is already. endpoint is the one that crashed last, ""
// if the store told of it or crashes were compared. The caller holds mu.
func (li *List) quarantine(now time.Time, su policy.Subject, ve Verdict, endpoint policy.EndpointID) {
	if _, ok := li.holder.Set().QuarantineOf(su); ok || now.Before(li.refused[su].until) {
		return
	}
	fi := event.Fields{"subject": su, "crashes": ve.Crashes, "requests": ve.Requests, "endpoint": endpoint}
	if li.countLike(su) >= maxQuarantined {
		li.log.WarnLimited(event.QuarantineLimited, nil, fi)
		return
	}
	until := now.Add(Duration)
	li.refused[su] = refusal{until: until, pending: &rpc.Quarantine{
		Part: string(su.Part), Fingerprint: string(su.Request), UntilMs: until.UnixMilli(), Crashes: ve.Crashes, Requests: ve.Requests,
		ProbeAtMs: now.Add(probeDelays[0]).UnixMilli(),
	}}
	li.log.Warn(event.PartQuarantined, nil, fi)
}

// Subjects returns what is refused here, prompt parts first, each kind sorted.
func (li *List) Subjects(now time.Time) []policy.Subject {
	out := map[policy.Subject]bool{}
	for _, qu := range li.holder.Set().Quarantines.List() {
		out[qu.Subject()] = true
	}
	li.mu.Lock()
	for su := range li.refused {
		out[su] = true
	}
	li.mu.Unlock()
	maps.DeleteFunc(out, func(su policy.Subject, _ bool) bool {
		_, ok := li.Refuses(now, []policy.Subject{su})
		return !ok
	})
	return slices.SortedFunc(maps.Keys(out), func(a, b policy.Subject) int { return strings.Compare(a.String(), b.String()) })
}

// countLike returns the number of quarantines of subjects of the same kind, those included
// that this router still has to record. The caller holds mu.
func (li *List) countLike(su policy.Subject) int {
	like := func(other policy.Subject) bool { return (other.Request == "") == (su.Request == "") }
	n := 0
	for _, qu := range li.holder.Set().Quarantines.List() {
		if like(qu.Subject()) {
			n++
		}
	}
	for other, re := range li.refused {
		if re.pending != nil && like(other) {
			n++
		}
	}
	return n
}
