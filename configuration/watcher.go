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

// reopenWait is the least time between two watches.
const reopenWait = 200 * time.Millisecond

// Keys gives the places of the configuration in the store.
type Keys struct {
	Root store.Key
}

// Records is the prefix of all policy records.
func (ke Keys) Records() store.Key { return ke.Root + "policy/" }

// Record is the key of one record, from its kind/id.
func (ke Keys) Record(key string) store.Key { return ke.Records() + store.Key(key) }

// Head is written by every change; its revision orders the changes.
func (ke Keys) Head() store.Key { return ke.Root + "policy_head" }

// All is a prefix of the records and the head.
func (ke Keys) All() store.Key { return ke.Root + "policy" }

// History is the prefix of a record's earlier states.
func (ke Keys) History(key string) store.Key { return ke.Root + "history/" + store.Key(key) + "/" }

// Layout says where the configuration lies in the store, and which records
// what lies there makes.
type Layout interface {
	// Prefix is that of all keys to read and watch.
	Prefix() store.Key
	// Complete gives the records of a read of all keys, and the revision up to
	// which they are complete.
	Complete(pa store.ReadResult) ([]policy.StoredRecord, store.Revision)
	// Removes tells whether records vanish from the store. Where they do, a
	// complete read takes away what it lacks.
	Removes() bool
	// Changed gives what watched changes change in a set.
	Changed(se *policy.Set, chs []store.Change) []policy.StoredRecord
}

// Prefix implements Layout.
func (ke Keys) Prefix() store.Key { return ke.Records() }

// Removes implements Layout. Records are never removed, only marked deleted.
func (ke Keys) Removes() bool { return false }

// Complete implements Layout.
func (ke Keys) Complete(pa store.ReadResult) ([]policy.StoredRecord, store.Revision) {
	var out []policy.StoredRecord
	newest := store.Revision(0)
	for _, kv := range pa.KeyValues {
		out = append(out, ke.stored(kv))
		newest = max(newest, kv.ModRevision)
	}
	return out, newest
}

// Changed implements Layout.
func (ke Keys) Changed(_ *policy.Set, chs []store.Change) []policy.StoredRecord {
	var out []policy.StoredRecord
	for _, ch := range chs {
		out = append(out, ke.stored(ch.KeyValue))
	}
	return out
}

// Watcher follows the store's records into a Holder with one watch.
type Watcher struct {
	layout Layout
	store  store.Store
	holder *Holder
	log    *event.Log
	// gather gives how long to wait for further changes after some came.
	gather func() time.Duration
	opened atomic.Int64
	// answered is when the store last answered, failed when it last did not,
	// in Unix nanoseconds.
	answered atomic.Int64
	failed   atomic.Int64
}

// NewWatcher gives a watcher; Run starts it.
func NewWatcher(la Layout, st store.Store, ho *Holder, lo *event.Log) *Watcher {
	return &Watcher{layout: la, store: st, holder: ho, log: lo, gather: func() time.Duration { return 0 }}
}

// GatherBy lets changes that come together come in one answer, where the store
// takes a call for each: after changes the watch rests for the time given. It
// is called before Run.
func (wa *Watcher) GatherBy(gather func() time.Duration) { wa.gather = gather }

// Opened counts the watches opened so far.
func (wa *Watcher) Opened() int64 { return wa.opened.Load() }

// Answered gives when the store last answered.
func (wa *Watcher) Answered() time.Time { return time.Unix(0, wa.answered.Load()) }

func (wa *Watcher) noteAnswer() { wa.answered.Store(time.Now().UnixNano()) }

func (wa *Watcher) noteFailure() {
	if at, failed := wa.answered.Load(), wa.failed.Load(); at >= failed {
		wa.log.Warn(event.StoreLost, nil, event.Fields{"last_answer": time.Unix(0, at)})
	}
	wa.failed.Store(time.Now().UnixNano())
}

// Run follows the store until ctx ends.
func (wa *Watcher) Run(ctx context.Context) {
	next := store.Revision(0)
	for ctx.Err() == nil {
		if next == 0 {
			next = wa.load(ctx)
		}
		if next > 0 {
			next = wa.follow(ctx, next)
		}
		worker.Sleep(ctx, reopenWait)
	}
}

// load reads all records and gives the revision to watch from, 0 on failure.
func (wa *Watcher) load(ctx context.Context) store.Revision {
	asked := time.Now()
	pa, err := wa.store.Range(ctx, wa.layout.Prefix())
	if err != nil {
		wa.noteFailure()
		wa.log.Warn(event.StoreUnreachable, err, nil)
		return 0
	}
	wa.noteAnswer()
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
	wa.holder.Confirm(newest, asked)
	return pa.Revision + 1
}

// follow watches from a revision and gives the one to go on from, 0 when all
// records must be read again.
func (wa *Watcher) follow(ctx context.Context, from store.Revision) store.Revision {
	wa.opened.Add(1)
	next := from
	err := wa.store.Watch(ctx, wa.layout.Prefix(), from, func(no store.WatchUpdate) {
		wa.noteAnswer()
		if len(no.Changes) > 0 {
			wa.holder.Follow(func(se *policy.Set) []policy.StoredRecord { return wa.layout.Changed(se, no.Changes) })
		}
		next = max(next, no.Revision+1)
		wa.holder.Confirm(wa.holder.Set().Revision, time.Now())
		if rest := wa.gather(); rest > 0 && len(no.Changes) > 0 {
			worker.Sleep(ctx, rest)
		}
	})
	if ctx.Err() != nil {
		return next
	}
	wa.log.Debug(event.WatchEnded, err, event.Fields{"from": next})
	if isCompacted(err) {
		return 0
	}
	wa.noteFailure()
	return next
}

func (ke Keys) stored(kv store.KeyValue) policy.StoredRecord {
	return policy.StoredRecord{
		Key:         strings.TrimPrefix(string(kv.Key), string(ke.Records())),
		Value:       kv.Value,
		ModRevision: kv.ModRevision,
	}
}
