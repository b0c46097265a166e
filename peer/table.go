// Package peer is the exchange among the daemons of a site: who is alive, the
// policy revision in force, and small items that each owner publishes.
//
// Every daemon meets a few others each interval. Both sides give the items
// that changed since they last met, so what one daemon writes reaches all, also
// those that it cannot reach itself.
package peer

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"tanagerpoint.example/tanager/rpc"
)

// itemTTL is how long an item stays without being written again.
const itemTTL = 30 * time.Second

// rewriteInterval is how old an unchanged value gets before it is written again.
// It is below the lifetimes that readers give to items.
const rewriteInterval = 1500 * time.Millisecond

// Version orders the writes of one key: the greater fence wins, then the
// greater sequence.
type Version struct {
	Fence    int64
	Sequence int64
}

func (ve Version) compare(other Version) int {
	return cmp.Or(cmp.Compare(ve.Fence, other.Fence), cmp.Compare(ve.Sequence, other.Sequence))
}

// Item is a published value. WrittenAt is by this daemon's clock.
type Item struct {
	Key       string
	Version   Version
	Value     []byte
	WrittenAt time.Time
	// change is the board's counter when the item last changed here,
	// valueChange when its value did.
	change      int64
	valueChange int64
	// member is what the value of a member's item decodes to.
	member Member
}

// Table holds the newest item of each key.
//
// mu guards all fields; no other lock is taken while it is held.
type Table struct {
	mu     sync.Mutex
	items  map[string]Item
	change int64
}

// NewTable gives an empty board.
func NewTable() *Table { return &Table{items: map[string]Item{}} }

// Put writes an item, unless the board has a newer one.
func (ta *Table) Put(key string, ve Version, value []byte, writtenAt time.Time) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old, ok := ta.items[key]
	if ok && ve.compare(old.Version) <= 0 {
		return false
	}
	ta.putLocked(Item{Key: key, Version: ve, Value: value, WrittenAt: writtenAt})
	return true
}

func (ta *Table) putLocked(it Item) {
	ta.change++
	it.change, it.valueChange = ta.change, ta.change
	old, ok := ta.items[it.Key]
	switch {
	case ok && old.Version.Fence == it.Version.Fence && bytes.Equal(old.Value, it.Value):
		it.valueChange, it.member = old.valueChange, old.member
	case strings.HasPrefix(it.Key, memberPrefix):
		it.member = decodeMember(it.Value)
	}
	ta.items[it.Key] = it
}

// refresh takes a newer version of a value that the board has.
func (ta *Table) refresh(key string, ve Version, writtenAt time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old, ok := ta.items[key]
	if ok && old.Version.Fence == ve.Fence && ve.compare(old.Version) > 0 {
		ta.putLocked(Item{Key: key, Version: ve, Value: old.Value, WrittenAt: writtenAt})
	}
}

// writtenRecently tells whether a value need not be written again yet.
func (ta *Table) writtenRecently(key string, fence int64, value []byte, now time.Time) bool {
	if strings.HasPrefix(key, memberPrefix) {
		return false
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	it, ok := ta.items[key]
	return ok && it.Version.Fence == fence && bytes.Equal(it.Value, value) && now.Sub(it.WrittenAt) < rewriteInterval
}

// Get gives one item.
func (ta *Table) Get(key string) (Item, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	it, ok := ta.items[key]
	return it, ok
}

// List lists the items under a prefix, by key.
func (ta *Table) List(prefix string) []Item {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var out []Item
	for key, it := range ta.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// changedSince lists what changed after a counter, and the counter now.
func (ta *Table) changedSince(change int64, now time.Time) ([]*rpc.Item, int64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var out []*rpc.Item
	for key, it := range ta.items {
		if now.Sub(it.WrittenAt) > itemTTL {
			delete(ta.items, key)
			continue
		}
		if it.change <= change {
			continue
		}
		ms := &rpc.Item{Key: key, Fence: it.Version.Fence, Sequence: it.Version.Sequence, AgeMs: now.Sub(it.WrittenAt).Milliseconds()}
		if it.valueChange <= change {
			ms.SameValue = true
		} else {
			ms.Value = it.Value
		}
		out = append(out, ms)
	}
	return out, ta.change
}

// merge takes a peer's items.
func (ta *Table) merge(its []*rpc.Item, now time.Time) {
	for _, it := range its {
		writtenAt := now.Add(-time.Duration(it.GetAgeMs()) * time.Millisecond)
		ve := Version{Fence: it.GetFence(), Sequence: it.GetSequence()}
		switch {
		case now.Sub(writtenAt) > itemTTL:
		case it.GetSameValue():
			ta.refresh(it.GetKey(), ve, writtenAt)
		default:
			ta.Put(it.GetKey(), ve, it.GetValue(), writtenAt)
		}
	}
}
