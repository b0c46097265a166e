// Package configuration distributes the operators' policy records. Writer changes
// them in the store, Watcher loads them from the store and watches it for changes,
// and Holder holds the policy set in force in this daemon.
package configuration

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
)

// Holder holds the policy set in force, whose revision never falls. Its methods
// may be called concurrently.
//
// mu guards changed, confirmed, evidence and availableSince and serialises changes of
// the set, which is read without a lock.
type Holder struct {
	log *event.Log
	set atomic.Pointer[policy.Set]

	mu      sync.Mutex
	changed chan struct{}
	// confirmed is closed when there is newer evidence.
	confirmed chan struct{}
	// evidence is the latest time at which the set in force is known to have been
	// the store's newest.
	evidence time.Time
	// availableSince is the time since which there has been evidence without a gap
	// of more than maxEvidenceGap and without a restore. It is the zero time if there has
	// been neither.
	availableSince time.Time
}

// NewHolder returns a holder of an empty set.
func NewHolder(lo *event.Log) *Holder {
	ho := &Holder{log: lo, changed: make(chan struct{}), confirmed: make(chan struct{})}
	ho.set.Store(policy.NewSet())
	return ho
}

// Set returns the set in force.
func (ho *Holder) Set() *policy.Set { return ho.set.Load() }

// Changed returns a channel that is closed when the next set comes into force.
func (ho *Holder) Changed() <-chan struct{} {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.changed
}

// Confirmed returns a channel that is closed when there is newer evidence that the set in
// force is the store's newest.
func (ho *Holder) Confirmed() <-chan struct{} {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.confirmed
}

// Update applies changes to the set in force and raises it to a revision. The
// changes must include all those between the set's revision and the given one.
// Update does nothing if the given revision is not newer than the set's.
func (ho *Holder) Update(revision store.Revision, changes []policy.StoredRecord) {
	ho.swap(func(old *policy.Set) *policy.Set {
		if revision <= old.Revision {
			return old
		}
		return old.WithChanges(revision, changes)
	})
}

// UpdateFunc calls translate with the set in force and applies the changes that
// it returns. The set cannot change in between, so the changes may depend on it.
// The new revision is the greatest of the changes' revisions; UpdateFunc does
// nothing if that is not newer than the set's.
func (ho *Holder) UpdateFunc(translate func(se *policy.Set) []policy.StoredRecord) {
	ho.swap(func(old *policy.Set) *policy.Set {
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

// Replace replaces the set by all records at a revision. Records that are not
// among them are removed, unless they are newer, or retained over a restore of the store.
// If the revision is not newer than the set's, Replace only takes what a peer retains over
// a restore that the set has heard of too.
func (ho *Holder) Replace(revision store.Revision, records []policy.StoredRecord) {
	ho.swap(func(old *policy.Set) *policy.Set {
		switch {
		case revision > old.Revision, revision == old.Revision && old.Form < policy.NewestForm:
			return old.WithSnapshot(revision, records)
		case revision.Era() == old.Revision.Era():
			return old.WithRetained(records)
		default:
			return old
		}
	})
}

// Bridge replaces an empty set, or one that Bridge has put in force, by all records at a
// revision that a build of a lower form has translated. They are used until Replace is called:
// serving with them beats refusing all requests.
func (ho *Holder) Bridge(form policy.Form, revision store.Revision, records []policy.StoredRecord) {
	ho.swap(func(old *policy.Set) *policy.Set {
		if revision <= old.Revision || old.Revision > 0 && old.Form == policy.NewestForm {
			return old
		}
		return old.WithBridge(form, revision, records)
	})
}

// swap replaces the set in force by the one that fn returns for it, closes the
// channel of Changed and logs the set's findings. It does nothing if fn returns
// the same set.
func (ho *Holder) swap(fn func(old *policy.Set) *policy.Set) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	old := ho.set.Load()
	next := fn(old)
	if next == old {
		return
	}
	if old.Revision > 0 && next.Revision.Era() > old.Revision.Era() {
		// A restore counts as the end of an outage, however short that was.
		ho.availableSince = time.Now()
	}
	ho.set.Store(next)
	close(ho.changed)
	ho.changed = make(chan struct{})
	ho.log.Info(event.PolicyApplied, event.Fields{"revision": next.Revision})
	if next.Retained != old.Retained {
		ho.log.Info(event.PolicyRetained, event.Fields{"revision": next.Revision, "before": old.Revision, "records": retainedKeys(next)})
	}
	for _, fi := range next.Findings {
		ho.log.Warn(event.PolicyRecordUnusable, nil, event.Fields{"finding": fi.String()})
	}
}

// maxLoggedKeys bounds the keys in a log line.
const maxLoggedKeys = 20

// retainedKeys returns the keys of the records that a set retains over a restore of the
// store, maxLoggedKeys of them at most.
func retainedKeys(se *policy.Set) []string {
	var out []string
	for _, st := range se.RetainedRecords() {
		out = append(out, st.Key)
	}
	slices.Sort(out)
	return out[:min(len(out), maxLoggedKeys)]
}

// Confirm records evidence that revision was the store's newest at a time. It is
// ignored if the set in force is newer or there is later evidence.
func (ho *Holder) Confirm(revision store.Revision, at time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if revision >= ho.set.Load().Revision && at.After(ho.evidence) {
		if !ho.evidence.IsZero() && at.Sub(ho.evidence) > maxEvidenceGap {
			ho.availableSince = at
		}
		ho.evidence = at
		close(ho.confirmed)
		ho.confirmed = make(chan struct{})
	}
}

// maxEvidenceGap is the time without evidence after which the store counts as
// unavailable. A watch without changes sends progress notifications more often
// than this.
const maxEvidenceGap = 3 * time.Second

// StoreAvailableSince returns the time since which the store has answered this
// daemon or one of its peers without a gap of more than maxEvidenceGap. It returns
// the zero time if there has been no such gap yet, and a time after now if the
// store is unavailable.
func (ho *Holder) StoreAvailableSince(now time.Time) time.Time {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if now.Sub(ho.evidence) > maxEvidenceGap {
		return now.Add(maxEvidenceGap)
	}
	return ho.availableSince
}

// Evidence returns the latest time at which the set in force is known to have
// been the store's newest.
func (ho *Holder) Evidence() time.Time {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.evidence
}
