// Package quarantine bars the parts of prompts that crash endpoints. A router that sees
// an answer break off soon after it has begun reports the parts of the prompt to the
// routers that hold them. A part with enough crashes, and without an answer that went
// well, is quarantined: a holder records that in the store, and every router refuses
// requests with the part.
package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

const (
	// Duration is how long a part is quarantined. It is the longest time to live of a
	// lease of the store.
	Duration = 10 * time.Minute
	// maxQuarantined is the largest number of parts in quarantine. If more crash
	// endpoints, the prompts are not the cause.
	maxQuarantined = 16
	// reportedTTL is how long a part is refused here because a holder said that it is
	// quarantined. The record of the quarantine arrives in that time, unless the store
	// is unavailable.
	reportedTTL = 30 * time.Second
	// maxReports is the number of crashes that may wait to be reported.
	maxReports = 1024
)

// Recorder keeps quarantines where all routers learn of them.
type Recorder interface {
	// Record sets a quarantine, unless the part has one.
	Record(ctx context.Context, qu *rpc.Quarantine) error
	// Replace replaces a quarantine that was last changed at a revision. It returns false
	// if it has been changed since.
	Replace(ctx context.Context, qu *rpc.Quarantine, revision store.Revision) (bool, error)
	// Remove ends the quarantine of a part.
	Remove(ctx context.Context, part policy.PromptPartID) error
}

// List holds the prompt parts that are in quarantine, and what this router knows of
// others. It is safe for concurrent use.
//
// mu guards evidence, refused and triedProbeAt. The locks of proofs and of the holder are
// taken after it.
type List struct {
	group    *peer.Group
	holder   *configuration.Holder
	recorder Recorder
	log      *event.Log
	proofs   *Proofs
	reports  chan Crash
	// recordAgainAt is when a quarantine that a restored store has lost is recorded again.
	// Only the goroutine of record uses it.
	recordAgainAt map[policy.PromptPartID]time.Time

	mu       sync.Mutex
	evidence *Evidence
	// refused holds the parts that are refused here although the policy may not show
	// their quarantine yet.
	refused map[policy.PromptPartID]refusal
	// triedProbeAt is when this router last tried to let a request through as a probe.
	triedProbeAt map[policy.PromptPartID]time.Time
}

// refusal says that a part is refused until a time. pending is the quarantine that this
// router still has to record, nil if there is none.
type refusal struct {
	until   time.Time
	pending *rpc.Quarantine
}

// NewList returns a list; Run reports and records.
func NewList(gr *peer.Group, ho *configuration.Holder, re Recorder, lo *event.Log) *List {
	return &List{
		group: gr, holder: ho, recorder: re, log: lo, proofs: NewProofs(), reports: make(chan Crash, maxReports),
		recordAgainAt: map[policy.PromptPartID]time.Time{},
		evidence:      NewEvidence(), refused: map[policy.PromptPartID]refusal{},
		triedProbeAt: map[policy.PromptPartID]time.Time{},
	}
}

// Refuses reports whether a request with these prompt parts is refused, and when its
// caller should try again.
func (li *List) Refuses(now time.Time, parts []policy.PromptPartID) (retryAt time.Time, refused bool) {
	for _, part := range parts {
		at, ok := li.quarantined(now, part)
		if ok && at.After(retryAt) && !li.proofs.Proven(now, part) {
			retryAt, refused = at, true
		}
	}
	return retryAt, refused
}

// quarantined reports whether a part is in quarantine, and when callers should try again.
func (li *List) quarantined(now time.Time, part policy.PromptPartID) (retryAt time.Time, ok bool) {
	if qu, ok := li.holder.Set().QuarantineOf(part); ok {
		return qu.RetryAt(now), true
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	re, ok := li.refused[part]
	return re.until, ok && now.Before(re.until)
}

// Proven records that an answer to a prompt with these parts went well.
func (li *List) Proven(now time.Time, parts []policy.PromptPartID) {
	li.proofs.Add(now, parts)
}

// Crashed records that an answer broke off soon after it had begun. request is the last
// part of the prompt, parts are the others.
func (li *List) Crashed(now time.Time, en policy.EndpointID, request policy.PromptPartID, parts []policy.PromptPartID) {
	contrast := li.proofs.Contrast(now)
	for _, part := range parts {
		if li.proofs.Proven(now, part) {
			continue
		}
		select {
		case li.reports <- Crash{Part: part, Endpoint: en, Request: request, Contrast: contrast}:
		default:
			li.log.WarnLimited(event.CrashNotReported, nil, event.Fields{"part": part, "endpoint": en})
		}
	}
}

// ReportCrashes implements peer.Crashes for parts that this router holds. It does not
// count a crash if answers went well neither here nor at the router that reports it.
func (li *List) ReportCrashes(_ context.Context, rq *rpc.ReportCrashesRequest) (*rpc.ReportCrashesResponse, error) {
	now, rs := time.Now(), &rpc.ReportCrashesResponse{}
	for _, cr := range rq.GetCrashes() {
		part := policy.PromptPartID(cr.GetPart())
		if li.proofs.Proven(now, part) {
			continue
		}
		contrast := cr.GetOthersWentWell() || li.proofs.Contrast(now)
		if _, ok := li.quarantined(now, part); !ok && contrast {
			li.addEvidence(now, Crash{
				Part: part, Endpoint: policy.EndpointID(cr.GetEndpoint()), Request: policy.PromptPartID(cr.GetRequest()), Contrast: contrast,
			})
		}
		if _, ok := li.quarantined(now, part); ok {
			rs.Quarantined = append(rs.Quarantined, cr.GetPart())
		}
	}
	return rs, nil
}

// addEvidence adds a crash, and quarantines its part if it has crashed enough endpoints.
func (li *List) addEvidence(now time.Time, cr Crash) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ve, ok := li.evidence.Add(now, cr)
	if !ok {
		return
	}
	fi := event.Fields{"part": cr.Part, "crashes": ve.Crashes, "requests": ve.Requests, "endpoint": cr.Endpoint}
	if li.holder.Set().Quarantines.Len()+li.pending() >= maxQuarantined {
		li.log.Warn(event.QuarantineLimited, nil, fi)
		return
	}
	until := now.Add(Duration)
	li.refused[cr.Part] = refusal{until: until, pending: &rpc.Quarantine{
		Part: string(cr.Part), UntilMs: until.UnixMilli(), Crashes: ve.Crashes, Requests: ve.Requests,
		ProbeAtMs: now.Add(probeDelays[0]).UnixMilli(),
	}}
	li.log.Warn(event.PartQuarantined, nil, fi)
}

// Parts returns the prompt parts that are refused here, sorted.
func (li *List) Parts(now time.Time) []policy.PromptPartID {
	out := map[policy.PromptPartID]bool{}
	for _, qu := range li.holder.Set().Quarantines.List() {
		out[policy.PromptPartID(qu.Part)] = true
	}
	li.mu.Lock()
	for part := range li.refused {
		out[part] = true
	}
	li.mu.Unlock()
	maps.DeleteFunc(out, func(part policy.PromptPartID, _ bool) bool {
		_, ok := li.Refuses(now, []policy.PromptPartID{part})
		return !ok
	})
	return slices.Sorted(maps.Keys(out))
}

// pending returns the number of quarantines that this router still has to record. The
// caller holds mu.
func (li *List) pending() int {
	n := 0
	for _, re := range li.refused {
		if re.pending != nil {
			n++
		}
	}
	return n
}
