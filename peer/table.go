// Package peer implements the gossip protocol among the daemons of a site. It
// spreads membership, the policy revision in force, and small items that each
// owner publishes.
//
// In each interval every daemon exchanges with a few randomly chosen peers.
// Both sides send the items that changed since their last exchange, so a write
// also reaches daemons that its owner cannot reach directly.
package peer

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerpoint.example/tanager/quantity"
	"tanagerpoint.example/tanager/rpc"
)

// itemTTL is how long an item is kept and passed on after its last write.
const itemTTL = 30 * time.Second

// rewriteInterval is the age at which an unchanged value is written again. It is
// shorter than the age at which readers treat an item as expired.
const rewriteInterval = 1500 * time.Millisecond

// Version orders the writes of one key: the greater Fence wins, then the
// greater Sequence. Fence is the owner's start time in Unix milliseconds or a
// value that the writer chooses, such as a fencing token; Sequence rises with
// each write under one fence.
type Version struct {
	Fence    int64
	Sequence int64
}

func (ve Version) compare(other Version) int {
	return cmp.Or(cmp.Compare(ve.Fence, other.Fence), cmp.Compare(ve.Sequence, other.Sequence))
}

// Item is a published value. WrittenAt is the time of the owner's write,
// converted to this daemon's clock.
type Item struct {
	Key       string
	Version   Version
	Value     []byte
	WrittenAt time.Time
	// change is the table's change counter when the item was last written
	// here; valueChange is the counter when its value last changed.
	change      int64
	valueChange int64
	// member is the decoded value if the key is under memberPrefix.
	member Member
}

// Table holds the newest item of each key. Its methods may be called
// concurrently.
//
// mu guards all fields; no other lock is taken while it is held.
type Table struct {
	mu     sync.Mutex
	items  map[string]Item
	change int64
	// keys holds the keys of items by their hash.
	keys map[uint64]string
	// memberKeys are the keys of the members' items, sorted.
	memberKeys []string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: map[string]Item{}, keys: map[uint64]string{}} }

// hashKey returns the hash that stands for a key in messages.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Put stores an item and reports whether it did so. It does nothing if the
// table has the same or a newer version of the key.
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
		// The value is not sent again to peers that have it; see changedSince.
		it.valueChange, it.member = old.valueChange, old.member
	case strings.HasPrefix(it.Key, memberPrefix):
		it.member = decodeMember(it.Value)
	}
	ta.items[it.Key] = it
	if ok {
		return
	}
	ta.keys[hashKey(it.Key)] = it.Key
	if strings.HasPrefix(it.Key, memberPrefix) {
		n, _ := slices.BinarySearch(ta.memberKeys, it.Key)
		ta.memberKeys = slices.Insert(ta.memberKeys, n, it.Key)
	}
}

// removeLocked removes an item.
func (ta *Table) removeLocked(key string) {
	delete(ta.items, key)
	delete(ta.keys, hashKey(key))
	if n, ok := slices.BinarySearch(ta.memberKeys, key); ok {
		ta.memberKeys = slices.Delete(ta.memberKeys, n, n+1)
	}
}

// eachMember calls fn with each member and the time of its last heartbeat, in the order of
// their keys. fn must not use the table.
func (ta *Table) eachMember(fn func(mb Member, heardAt time.Time)) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for _, key := range ta.memberKeys {
		it := ta.items[key]
		fn(it.member, it.WrittenAt)
	}
}

// refresh stores a newer version of an item whose value is unchanged. It does
// nothing if the key is missing or has another fence.
func (ta *Table) refresh(key string, ve Version, writtenAt time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old, ok := ta.items[key]
	if ok && old.Version.Fence == ve.Fence && ve.compare(old.Version) > 0 {
		ta.putLocked(Item{Key: key, Version: ve, Value: old.Value, WrittenAt: writtenAt})
	}
}

// writtenRecently reports whether the same value was written under the same
// fence less than rewriteInterval ago. It is always false for members, whose
// writes are heartbeats.
func (ta *Table) writtenRecently(key string, fence int64, value []byte, now time.Time) bool {
	if strings.HasPrefix(key, memberPrefix) {
		return false
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	it, ok := ta.items[key]
	return ok && it.Version.Fence == fence && bytes.Equal(it.Value, value) && now.Sub(it.WrittenAt) < rewriteInterval
}

// Get returns the item of a key and reports whether there is one.
func (ta *Table) Get(key string) (Item, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	it, ok := ta.items[key]
	return it, ok
}

// List returns the items whose keys have a prefix, sorted by key.
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

// changedSince returns the items that changed after a value of the change counter,
// and the counter's current value. An item whose value has not changed since then
// is returned without it and with SameValue set, and with a hash in place of its key if
// hashed is set. changedSince deletes items older than itemTTL.
func (ta *Table) changedSince(change int64, hashed bool, now time.Time) ([]*rpc.Item, int64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var out []*rpc.Item
	for key, it := range ta.items {
		if now.Sub(it.WrittenAt) > itemTTL {
			ta.removeLocked(key)
			continue
		}
		if it.change <= change {
			continue
		}
		ms := &rpc.Item{Key: key, Fence: it.Version.Fence, Sequence: it.Version.Sequence, AgeMs: now.Sub(it.WrittenAt).Milliseconds()}
		if it.valueChange <= change {
			ms.SameValue = true
			if hashed {
				ms.Key, ms.KeyHash = "", hashKey(key)
			}
		} else {
			ms.Value = it.Value
		}
		out = append(out, ms)
	}
	return out, ta.change
}

// keyOf returns the key of an item of a message, "" if only its hash is given and no item has
// that.
func (ta *Table) keyOf(it *rpc.Item) string {
	if it.GetKeyHash() == 0 {
		return it.GetKey()
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.keys[it.GetKeyHash()]
}

// merge stores a peer's items that are newer than the table's.
func (ta *Table) merge(its []*rpc.Item, now time.Time) {
	for _, it := range its {
		writtenAt := quantity.Ago(now, it.GetAgeMs())
		ve := Version{Fence: it.GetFence(), Sequence: it.GetSequence()}
		switch {
		case now.Sub(writtenAt) > itemTTL:
		case it.GetSameValue():
			ta.refresh(ta.keyOf(it), ve, writtenAt)
		default:
			ta.Put(it.GetKey(), ve, it.GetValue(), writtenAt)
		}
	}
}
