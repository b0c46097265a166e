package configuration

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/store"
	"tanagerpoint.example/tanager/worker"
)

// reopenDelay is the pause before the watch is opened again or the records are
// loaded again. While the store fails it doubles, up to maxReopenDelay, or to
// maxFollowerReopenDelay at a daemon that watches in place of others.
const (
	reopenDelay            = 200 * time.Millisecond
	maxReopenDelay         = time.Second
	maxFollowerReopenDelay = 8 * time.Second
)

// Keys returns the keys of the configuration in the store, all of which begin with
// Root. It implements Layout.
type Keys struct {
	Root store.Key
}

// Records returns the prefix of all policy records.
func (ke Keys) Records() store.Key { return ke.Root + "policy/" }

// Record returns the key in the store of the record whose own key, of the form
// kind/id, is given.
func (ke Keys) Record(key string) store.Key { return ke.Records() + store.Key(key) }

// Head returns the key that every change writes, so that its revision orders the
// changes.
func (ke Keys) Head() store.Key { return ke.Root + "policy_head" }

// All returns the common prefix of the records and the head.
func (ke Keys) All() store.Key { return ke.Root + "policy" }

// History returns the prefix of the kept states of the record whose own key, of the
// form kind/id, is given.
func (ke Keys) History(key string) store.Key { return ke.Root + "history/" + store.Key(key) + "/" }

// Layout maps the store's keys and values to policy records. Keys is the layout
// that Writer writes.
type Layout interface {
	// Prefix returns the prefix of all keys to read and watch.
	Prefix() store.Key
	// Complete returns the records in a page that holds all keys under Prefix, and
	// the revision up to which these records include every change.
	Complete(pa store.ReadResult) ([]policy.StoredRecord, store.Revision)
	// Removes reports whether records are deleted from the store. If so, records
	// that a read of all keys does not return are removed from the set in force.
	Removes() bool
	// Changed returns the changes of policy records that follow from the changes of
	// keys that a watch reported. se is the set in force before them.
	Changed(se *policy.Set, chs []store.Change) []policy.StoredRecord
}

// Prefix implements Layout.
func (ke Keys) Prefix() store.Key { return ke.Records() }

// Removes implements Layout. It returns false: records are never deleted from the
// store, only marked as deleted.
func (ke Keys) Removes() bool { return false }

// Complete implements Layout. The revision is the greatest of the records'
// revisions.
func (ke Keys) Complete(pa store.ReadResult) ([]policy.StoredRecord, store.Revision) {
	var out []policy.StoredRecord
	newest := store.Revision(0)
	for _, kv := range pa.KeyValues {
		out = append(out, ke.toStored(kv))
		newest = max(newest, kv.ModRevision)
	}
	return out, newest
}

// Changed implements Layout.
func (ke Keys) Changed(_ *policy.Set, chs []store.Change) []policy.StoredRecord {
	var out []policy.StoredRecord
	for _, ch := range chs {
		out = append(out, ke.toStored(ch.KeyValue))
	}
	return out
}

// Watcher loads the policy records from the store into a Holder and keeps them up
// to date with one watch.
type Watcher struct {
	layout Layout
	store  store.Store
	holder *Holder
	log    *event.Log
	// batchDelay returns how long the watch pauses after it reported changes; see
	// SetBatchDelay.
	batchDelay func() time.Duration
	// follower is nil if this daemon always watches the store itself.
	follower      *Follower
	watchesOpened atomic.Int64
	// answeredAt is the time of the store's last answer and failedAt that of the
	// last failure, in Unix nanoseconds.
	answeredAt atomic.Int64
	failedAt   atomic.Int64
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(la Layout, st store.Store, ho *Holder, lo *event.Log) *Watcher {
	return &Watcher{layout: la, store: st, holder: ho, log: lo, batchDelay: func() time.Duration { return 0 }}
}

// SetBatchDelay sets a function that returns how long the watch pauses after each
// answer with changes. If the store's watch is a series of calls with one answer
// each, the changes made during the pause arrive together in the next answer.
// SetBatchDelay must be called before Run.
func (wa *Watcher) SetBatchDelay(delay func() time.Duration) { wa.batchDelay = delay }

// WatchesOpened returns the number of watches opened so far.
func (wa *Watcher) WatchesOpened() int64 { return wa.watchesOpened.Load() }

// LastAnswer returns the time of the store's last answer, or the Unix epoch if it
// has not answered yet.
func (wa *Watcher) LastAnswer() time.Time { return time.Unix(0, wa.answeredAt.Load()) }

func (wa *Watcher) recordAnswer() {
	wa.answeredAt.Store(time.Now().UnixNano())
	if wa.follower != nil {
		wa.follower.noteStoreAnswer(time.Now())
	}
}

// SetFollower makes the watcher leave the store to others as long as these pass the policy
// on. SetFollower must be called before Run.
func (wa *Watcher) SetFollower(fo *Follower) { wa.follower = fo }

// recordFailure records that a call to the store failed, and logs the first failure
// after an answer.
func (wa *Watcher) recordFailure() {
	if at, failed := wa.answeredAt.Load(), wa.failedAt.Load(); at >= failed {
		wa.log.Warn(event.StoreLost, nil, event.Fields{"last_answer": time.Unix(0, at)})
	}
	wa.failedAt.Store(time.Now().UnixNano())
	if wa.follower != nil {
		wa.follower.noteStoreFailure()
	}
}

// Run loads the records and watches the store until ctx is done. If there are peers to
// follow, it does so only while it is this daemon's turn.
func (wa *Watcher) Run(ctx context.Context) {
	if wa.follower != nil {
		gr := worker.NewGroup()
		defer gr.Close()
		gr.Go(wa.follower.Run)
	}
	next, delay := store.Revision(0), reopenDelay
	for wa.awaitTurn(ctx) {
		failedBefore := wa.failedAt.Load()
		if next > 0 {
			// The changes in between came from peers.
			next = max(next, wa.holder.Set().Revision+1)
		}
		if next == 0 {
			next = wa.load(ctx)
		}
		if next > 0 && wa.awaitTurn(ctx) {
			next = wa.watch(ctx, next)
		}
		if delay = min(2*delay, wa.follower.maxDelay()); wa.failedAt.Load() == failedBefore {
			delay = reopenDelay
		}
		if wa.pause(ctx, delay) {
			delay = reopenDelay
		}
	}
}

// pause blocks for a delay, and reports whether it ended sooner. It does when peers have had word from
// the store meanwhile and have none any more: that the store failed this daemon before is no reason then
// to let its turn pass.
func (wa *Watcher) pause(ctx context.Context, delay time.Duration) (cut bool) {
	tm := time.NewTimer(delay)
	defer tm.Stop()
	var turn <-chan time.Time
	for {
		confirmed := wa.holder.Confirmed()
		select {
		case <-ctx.Done():
			return false
		case <-tm.C:
			return false
		case <-turn:
			return true
		case <-confirmed:
			if failed := time.Unix(0, wa.failedAt.Load()); wa.follower != nil && wa.holder.Evidence().After(failed) {
				turn = time.After(time.Until(wa.follower.turnAt()))
			}
		}
	}
}

// awaitTurn blocks until this daemon is to watch the store, and reports false if ctx is done.
func (wa *Watcher) awaitTurn(ctx context.Context) bool {
	for wa.follower != nil && ctx.Err() == nil && !wa.follower.watchesStore(time.Now()) {
		worker.Sleep(ctx, wa.follower.untilTurn(time.Now()))
	}
	return ctx.Err() == nil
}

// load reads all records into the holder and returns the revision to watch from,
// or 0 on failure. It counts as a failure if the store is behind the set in force.
// Records that may be some seconds old do for an empty holder, if there are peers that know
// the changes since.
func (wa *Watcher) load(ctx context.Context) store.Revision {
	asked, read := time.Now(), wa.store.Range
	stale := wa.follower != nil && wa.holder.Set().Revision == 0
	if stale {
		read = wa.store.RangeStale
	}
	pa, err := read(ctx, wa.layout.Prefix())
	if err != nil {
		wa.recordFailure()
		wa.log.Warn(event.StoreUnreachable, err, nil)
		return 0
	}
	wa.recordAnswer()
	records, newest := wa.layout.Complete(pa)
	if newest < wa.holder.Set().Revision {
		wa.log.Warn(event.StoreBehind, nil, event.Fields{"store": newest, "in_force": wa.holder.Set().Revision})
		return 0
	}
	if wa.layout.Removes() {
		wa.holder.Replace(newest, records)
	} else {
		wa.holder.Update(newest, records)
	}
	if !stale {
		wa.holder.Confirm(newest, asked)
	}
	return pa.Revision + 1
}

// watch applies changes from a revision on until the watch ends. It returns the
// revision to continue from, or 0 if that has been compacted and all records must
// be loaded again.
func (wa *Watcher) watch(ctx context.Context, from store.Revision) store.Revision {
	wa.watchesOpened.Add(1)
	next := from
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := wa.store.Watch(ctx, wa.layout.Prefix(), from, func(no store.WatchUpdate) {
		wa.recordAnswer()
		if len(no.Changes) > 0 {
			wa.holder.UpdateFunc(func(se *policy.Set) []policy.StoredRecord { return wa.layout.Changed(se, no.Changes) })
		}
		next = max(next, no.Revision+1)
		wa.holder.Confirm(wa.holder.Set().Revision, no.AnsweredAt)
		if wa.follower != nil && !wa.follower.watchesStore(time.Now()) {
			cancel()
			return
		}
		if delay := wa.batchDelay(); delay > 0 && len(no.Changes) > 0 {
			worker.Sleep(ctx, delay)
		}
	})
	if ctx.Err() != nil {
		return next
	}
	wa.log.Debug(event.WatchEnded, err, event.Fields{"from": next})
	if isCompacted(err) {
		return 0
	}
	wa.recordFailure()
	return next
}

func (ke Keys) toStored(kv store.KeyValue) policy.StoredRecord {
	return policy.StoredRecord{
		Key:         strings.TrimPrefix(string(kv.Key), string(ke.Records())),
		Value:       kv.Value,
		ModRevision: kv.ModRevision,
	}
}
