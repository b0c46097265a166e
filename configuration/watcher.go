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
	Prefix store.Key
}

// Records is the prefix of all policy records.
func (ke Keys) Records() store.Key { return ke.Prefix + "policy/" }

// Record is the key of one record, from its kind/id.
func (ke Keys) Record(key string) store.Key { return ke.Records() + store.Key(key) }

// Head is written by every change; its revision orders the changes.
func (ke Keys) Head() store.Key { return ke.Prefix + "policy_head" }

// All is a prefix of the records and the head.
func (ke Keys) All() store.Key { return ke.Prefix + "policy" }

// History is the prefix of a record's earlier states.
func (ke Keys) History(key string) store.Key { return ke.Prefix + "history/" + store.Key(key) + "/" }

// Watcher follows the store's records into a Holder with one watch.
type Watcher struct {
	keys   Keys
	store  store.Store
	holder *Holder
	log    *event.Log
	opened atomic.Int64
}

// NewWatcher gives a watcher; Run starts it.
func NewWatcher(ke Keys, st store.Store, ho *Holder, lo *event.Log) *Watcher {
	return &Watcher{keys: ke, store: st, holder: ho, log: lo}
}

// Opened counts the watches opened so far.
func (wa *Watcher) Opened() int64 { return wa.opened.Load() }

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
	pa, err := wa.store.Range(ctx, wa.keys.Records())
	if err != nil {
		wa.log.Warn(event.StoreUnreachable, err, nil)
		return 0
	}
	var changes []policy.Stored
	newest := store.Revision(0)
	for _, kv := range pa.KeyValues {
		changes = append(changes, wa.stored(kv))
		newest = max(newest, kv.ModRevision)
	}
	if newest < wa.holder.Set().Revision {
		wa.log.Warn(event.StoreBehind, nil, event.Fields{"store": newest, "in_force": wa.holder.Set().Revision})
		return 0
	}
	wa.holder.Update(newest, changes)
	wa.holder.Confirm(newest, asked)
	return pa.Revision + 1
}

// follow watches from a revision and gives the one to go on from, 0 when all
// records must be read again.
func (wa *Watcher) follow(ctx context.Context, from store.Revision) store.Revision {
	wa.opened.Add(1)
	next := from
	err := wa.store.Watch(ctx, wa.keys.Records(), from, func(no store.Notice) {
		var changes []policy.Stored
		newest := store.Revision(0)
		for _, ch := range no.Changes {
			changes = append(changes, wa.stored(ch.KeyValue))
			newest = max(newest, ch.KeyValue.ModRevision)
		}
		if len(changes) > 0 {
			wa.holder.Update(newest, changes)
		}
		next = max(next, no.Revision+1)
		wa.holder.Confirm(wa.holder.Set().Revision, time.Now())
	})
	if ctx.Err() != nil {
		return next
	}
	wa.log.Debug(event.WatchEnded, err, event.Fields{"from": next})
	if isCompacted(err) {
		return 0
	}
	return next
}

func (wa *Watcher) stored(kv store.KeyValue) policy.Stored {
	return policy.Stored{
		Key:         strings.TrimPrefix(string(kv.Key), string(wa.keys.Records())),
		Value:       kv.Value,
		ModRevision: kv.ModRevision,
	}
}
