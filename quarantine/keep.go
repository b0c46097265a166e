package quarantine

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/peer"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/rpc"
	"tanagerpoint.example/tanager/store"
)

const (
	// keepTimeout is the time limit of a call of the store about evidence. A report waits for less, twice
	// keepPatience at most, and those who report for the answer.
	keepTimeout  = time.Second
	keepPatience = 150 * time.Millisecond
	// keepRetryDelay is the pause after a call that failed.
	keepRetryDelay = time.Second
	// keepDelay is the time between two holders of a service that look whether the store has what they
	// have: the first one saves it, the others if that one is gone.
	keepDelay = time.Second
)

// Keeper keeps the evidence of services where it outlives all routers.
type Keeper interface {
	// LoadEvidence returns the evidence of a service with its revision, 0 if there is none.
	LoadEvidence(ctx context.Context, id policy.ServiceID) (*rpc.CrashEvidence, store.Revision, error)
	// SaveEvidence replaces the evidence of a service that was last changed at a revision, 0 if there was
	// none. It returns the new revision, and false if it has been changed since. The evidence lasts for
	// Duration at most.
	SaveEvidence(ctx context.Context, ev *rpc.CrashEvidence, revision store.Revision) (store.Revision, bool, error)
}

// checkpoint is the state of a service's evidence in the store, as far as this router knows. The
// counts of crashes must outlive their holders: any number of routers may be gone at once.
type checkpoint struct {
	service policy.ServiceID
	// added counts the reports whose crashes were added to this router's evidence.
	added atomic.Int64

	// turn has room for one: who calls the store. It guards the fields below it. The list's mu is taken
	// after it.
	turn chan struct{}
	// holders are the service's holders at the last load, "" if there was none. New ones may have
	// missed reports.
	holders  string
	revision store.Revision
	// saved is the value of added that the evidence in the store has at least.
	saved    int64
	failedAt time.Time
	// compareAt is when this router looks whether the store has what it has, zero if it need not.
	compareAt time.Time
}

func newCheckpoint(id policy.ServiceID) *checkpoint {
	return &checkpoint{service: id, turn: make(chan struct{}, 1)}
}

// take waits for the turn, and reports whether it came before ctx is done. Then the caller must call
// release.
func (cp *checkpoint) take(ctx context.Context) bool {
	select {
	case cp.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (cp *checkpoint) release() { <-cp.turn }

// failedLately reports whether a call of the store failed a short time ago.
func (cp *checkpoint) failedLately() bool { return time.Since(cp.failedAt) < keepRetryDelay }

// checkpointOf returns the checkpoint of a service.
func (li *List) checkpointOf(id policy.ServiceID) *checkpoint {
	li.mu.Lock()
	defer li.mu.Unlock()
	cp, ok := li.checkpoints.Get(id)
	if !ok {
		cp = newCheckpoint(id)
		li.checkpoints.Add(id, cp)
	}
	return cp
}

// holdersOf returns the routers that count the crashes of a service.
func (li *List) holdersOf(id policy.ServiceID) []peer.Holder {
	return peer.SelectHolders(li.group.Holders(), "crashes/"+string(id), holdersPerService)
}

// holderNames returns the holders of a service as a text.
func (li *List) holderNames(id policy.ServiceID) string {
	var names []string
	for _, ho := range li.holdersOf(id) {
		names = append(names, string(ho.VM))
	}
	return strings.Join(names, " ")
}

// place returns this router's place among the holders of a service. It is the first if it is none: then
// those who reported to it know of no others.
func (li *List) place(id policy.ServiceID) int {
	return max(0, slices.IndexFunc(li.holdersOf(id), func(ho peer.Holder) bool { return ho.Address == "" }))
}

// catchUp loads the evidence of a service from the store if its holders may have been others before. What
// a slow store answers counts as soon as it comes.
func (li *List) catchUp(ctx context.Context, id policy.ServiceID) {
	holders := li.holderNames(id)
	cp := li.checkpointOf(id)
	li.callStore(ctx, cp, func(ctx context.Context) {
		if cp.holders == holders || cp.failedLately() {
			return
		}
		if _, err := li.load(ctx, cp); err == nil {
			cp.holders = holders
		}
	})
}

// keep saves the evidence of a service to which crashes were added. The first of its holders does so at
// once if the crashes are new, the others later, if it is still missing.
func (li *List) keep(ctx context.Context, id policy.ServiceID, newCrash bool) {
	place := li.place(id)
	cp := li.checkpointOf(id)
	added := cp.added.Add(1)
	li.callStore(ctx, cp, func(ctx context.Context) {
		switch {
		case newCrash && place == 0 && cp.saved >= added:
		case newCrash && place == 0 && !cp.failedLately():
			li.save(ctx, cp)
		case cp.compareAt.IsZero():
			cp.compareAt = time.Now().Add(time.Duration(place) * keepDelay)
		}
	})
}

// callStore calls fn when it is its turn at a checkpoint, and waits for keepPatience at most. fn goes on
// then: a slow store must not be taken for one that is away.
func (li *List) callStore(ctx context.Context, cp *checkpoint, fn func(ctx context.Context)) {
	done := make(chan struct{})
	li.keeping.Go(func(ctx context.Context) {
		defer close(done)
		if cp.take(ctx) {
			defer cp.release()
			fn(ctx)
		}
	})
	tm := time.NewTimer(keepPatience)
	defer tm.Stop()
	select {
	case <-done:
	case <-tm.C:
	case <-ctx.Done():
	}
}

// load merges the evidence of a service from the store into this router's, and returns it. The caller
// has its turn at it.
func (li *List) load(ctx context.Context, cp *checkpoint) (*rpc.CrashEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	saved, revision, err := li.recorder.LoadEvidence(ctx, cp.service)
	if err != nil {
		li.noteKeepFailure(cp, err)
		return nil, err
	}
	cp.revision = revision
	now := time.Now()
	li.mu.Lock()
	defer li.mu.Unlock()
	merged := li.evidence.Merge(now, saved, func(su policy.Subject) bool { return li.isHarmless(now, su) })
	if merged.Crashes > 0 || merged.Suspects > 0 {
		li.log.Info(event.EvidenceLoaded, event.Fields{"service": cp.service, "crashes": merged.Crashes, "suspects": merged.Suspects})
	}
	for su, ve := range merged.Verdicts {
		li.quarantine(now, su, ve, "")
	}
	return saved, nil
}

// save writes this router's evidence of a service to the store, with what others have written there
// since. The caller has its turn at it.
func (li *List) save(ctx context.Context, cp *checkpoint) {
	applied, err := li.trySave(ctx, cp)
	if err == nil && !applied {
		if _, err = li.load(ctx, cp); err == nil {
			applied, err = li.trySave(ctx, cp)
		}
	}
	if err != nil {
		li.noteKeepFailure(cp, err)
	}
	cp.compareAt = time.Time{}
	if !applied {
		cp.compareAt = time.Now().Add(keepRetryDelay)
	}
}

func (li *List) trySave(ctx context.Context, cp *checkpoint) (applied bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	added := cp.added.Load()
	revision, applied, err := li.recorder.SaveEvidence(ctx, li.export(cp.service), cp.revision)
	if applied {
		cp.revision, cp.saved = revision, added
	}
	return applied, err
}

// export returns this router's evidence of a service.
func (li *List) export(id policy.ServiceID) *rpc.CrashEvidence {
	now := time.Now()
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.evidence.Export(now, id, func(su policy.Subject) bool { return li.isHarmless(now, su) })
}

// isHarmless reports whether saved evidence against a subject no longer counts. The caller holds mu.
func (li *List) isHarmless(now time.Time, su policy.Subject) bool {
	return li.isForgotten(now, su) || li.proofs.Proven(now, su)
}

// isForgotten reports whether the evidence against a subject was dropped here since it may have been
// saved. The caller holds mu.
func (li *List) isForgotten(now time.Time, su policy.Subject) bool {
	at, ok := li.forgotten.Peek(su)
	return ok && now.Sub(at) < Duration
}

// hasForgotten reports whether saved evidence is about a subject that isForgotten.
func (li *List) hasForgotten(now time.Time, saved *rpc.CrashEvidence) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return slices.ContainsFunc(saved.GetSuspects(), func(st *rpc.CrashSuspect) bool { return li.isForgotten(now, subjectOf(st)) })
}

func (li *List) noteKeepFailure(cp *checkpoint, err error) {
	cp.failedAt = time.Now()
	li.log.WarnLimited(event.EvidenceNotKept, err, event.Fields{"service": cp.service})
}

// compareEvidence brings the evidence in the store in step with this router's, where that is due.
func (li *List) compareEvidence(ctx context.Context) {
	era := li.holder.Set().Revision.Era()
	restored := era != li.keptEra
	li.keptEra = era
	li.mu.Lock()
	cps := li.checkpoints.Values()
	li.mu.Unlock()
	for _, cp := range cps {
		li.compare(ctx, cp, restored)
	}
}

// compare saves this router's evidence of a service if the store's lacks some of it, or is about a subject
// whose quarantine has ended, where that is due. A store that was restored may have lost it. What answers
// have shown to be harmless differs from holder to holder, and goes with the next crash.
func (li *List) compare(ctx context.Context, cp *checkpoint, restored bool) {
	if !cp.take(ctx) {
		return
	}
	defer cp.release()
	now := time.Now()
	if restored && cp.compareAt.IsZero() {
		cp.compareAt = now.Add(time.Duration(li.place(cp.service)) * keepDelay)
	}
	if cp.compareAt.IsZero() || now.Before(cp.compareAt) {
		return
	}
	cp.compareAt = now.Add(keepRetryDelay)
	saved, err := li.load(ctx, cp)
	if err != nil {
		return
	}
	cp.compareAt = time.Time{}
	if lacks(saved, li.export(cp.service)) || li.hasForgotten(now, saved) {
		li.save(ctx, cp)
	}
}
