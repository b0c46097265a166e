// Package peer is the exchange among the daemons of a site: who is alive, the
// policy revision in force, and small items that each owner publishes.
//
// Every daemon meets a few others each interval. Both sides give the items
// that changed since they last met, so what one daemon writes reaches all, also
// those that it cannot reach itself.
package peer

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"tanagerpoint.example/tanager/rpc"
)

// itemLifetime is how long an item stays without being written again.
const itemLifetime = 30 * time.Second

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
	// change is the board's counter when the item last changed here.
	change int64
}

// Board holds the newest item of each key.
//
// mu guards all fields; no other lock is taken while it is held.
type Board struct {
	mu     sync.Mutex
	items  map[string]Item
	change int64
}

// NewBoard gives an empty board.
func NewBoard() *Board { return &Board{items: map[string]Item{}} }

// Put writes an item, unless the board has a newer one.
func (bo *Board) Put(key string, ve Version, value []byte, writtenAt time.Time) bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	old, ok := bo.items[key]
	if ok && ve.compare(old.Version) <= 0 {
		return false
	}
	bo.change++
	bo.items[key] = Item{Key: key, Version: ve, Value: value, WrittenAt: writtenAt, change: bo.change}
	return true
}

// Under lists the items under a prefix, by key.
func (bo *Board) Under(prefix string) []Item {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	var out []Item
	for key, it := range bo.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// since lists what changed after a counter, and the counter now.
func (bo *Board) since(change int64, now time.Time) ([]*rpc.Item, int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	var out []*rpc.Item
	for key, it := range bo.items {
		if now.Sub(it.WrittenAt) > itemLifetime {
			delete(bo.items, key)
			continue
		}
		if it.change > change {
			out = append(out, &rpc.Item{
				Key: key, Fence: it.Version.Fence, Sequence: it.Version.Sequence,
				Value: it.Value, AgeMs: now.Sub(it.WrittenAt).Milliseconds(),
			})
		}
	}
	return out, bo.change
}

// merge takes a peer's items.
func (bo *Board) merge(its []*rpc.Item, now time.Time) {
	for _, it := range its {
		writtenAt := now.Add(-time.Duration(it.GetAgeMs()) * time.Millisecond)
		if now.Sub(writtenAt) <= itemLifetime {
			bo.Put(it.GetKey(), Version{Fence: it.GetFence(), Sequence: it.GetSequence()}, it.GetValue(), writtenAt)
		}
	}
}
