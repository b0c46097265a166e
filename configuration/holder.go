// Package configuration spreads the operators' policy records: Writer changes
// them in the store, Watcher follows the store, and Holder keeps what is in
// force in this daemon.
package configuration

import (
	"sync"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

// Holder keeps the policy set in force. Its revision only rises.
//
// mu guards changed, evidence and steadyFrom; the set itself is read without a lock.
type Holder struct {
	log *event.Log
	set atomic.Pointer[policy.Set]

	mu       sync.Mutex
	changed  chan struct{}
	evidence time.Time
	// steadyFrom is since when evidence has come without a gap.
	steadyFrom time.Time
}

// NewHolder gives a holder of the empty set.
func NewHolder(lo *event.Log) *Holder {
	ho := &Holder{log: lo, changed: make(chan struct{})}
	ho.set.Store(policy.NewSet())
	return ho
}

// Set gives the set in force.
func (ho *Holder) Set() *policy.Set { return ho.set.Load() }

// Changed gives a channel that is closed when the next set comes into force.
func (ho *Holder) Changed() <-chan struct{} {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.changed
}

// Update brings changes into force that are complete from the holder's own
// revision, or an earlier one, up to revision. Older changes have no effect.
func (ho *Holder) Update(revision store.Revision, changes []policy.StoredRecord) {
	ho.change(func(old *policy.Set) *policy.Set {
		if revision <= old.Revision {
			return old
		}
		return old.WithChanges(revision, changes)
	})
}

// Follow brings the changes into force that translate makes of the set. The
// set does not change between the two: changes may depend on what it holds.
func (ho *Holder) Follow(translate func(se *policy.Set) []policy.StoredRecord) {
	ho.change(func(old *policy.Set) *policy.Set {
		changes := translate(old)
		newest := store.Revision(0)
		for _, st := range changes {
			newest = max(newest, st.ModRevision)
		}
		if newest <= old.Revision {
			return old
		}
		return old.WithChanges(newest, changes)
	})
}

// Replace brings all records at a revision into force; what they lack is gone.
func (ho *Holder) Replace(revision store.Revision, records []policy.StoredRecord) {
	ho.change(func(old *policy.Set) *policy.Set {
		if revision <= old.Revision {
			return old
		}
		return old.WithSnapshot(revision, records)
	})
}

// change brings the set into force that fn gives for the one in force.
func (ho *Holder) change(fn func(old *policy.Set) *policy.Set) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	old := ho.set.Load()
	next := fn(old)
	if next == old {
		return
	}
	ho.set.Store(next)
	close(ho.changed)
	ho.changed = make(chan struct{})
	ho.log.Info(event.PolicyApplied, event.Fields{"revision": next.Revision})
	for _, fi := range next.Findings {
		ho.log.Warn(event.PolicyRecordUnusable, nil, event.Fields{"finding": fi.String()})
	}
}

// Confirm records that at a time the set at revision was the store's newest.
func (ho *Holder) Confirm(revision store.Revision, at time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if revision >= ho.set.Load().Revision && at.After(ho.evidence) {
		if !ho.evidence.IsZero() && at.Sub(ho.evidence) > evidenceGap {
			ho.steadyFrom = at
		}
		ho.evidence = at
	}
}

// evidenceGap without evidence means that the store is away: a watch that has
// nothing to report says so more often.
const evidenceGap = 3 * time.Second

// SteadyFrom gives since when the store has been known to answer, this daemon
// or another, without a gap. It is in the future while it does not.
func (ho *Holder) SteadyFrom(now time.Time) time.Time {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if now.Sub(ho.evidence) > evidenceGap {
		return now.Add(evidenceGap)
	}
	return ho.steadyFrom
}

// Evidence gives the latest time at which the set in force is known to have
// been the store's newest.
func (ho *Holder) Evidence() time.Time {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.evidence
}
