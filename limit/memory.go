package limit

import (
	"cmp"
	"sync"
)

// freeBytes is what each hold may have without being counted. Nearly all answers and bodies are
// smaller, so that none of those is given up for others.
const freeBytes = 16 << 10

// leavingShare is how much revoked holds may have before they are closed, as a part of the memory.
const leavingShare = 0.25

// Memory bounds the bytes that unfinished answers or bodies hold together. Each hold belongs to
// an owner, such as an endpoint. When there is no room left, the owner that holds the most pays
// for it: its largest hold is revoked. The bytes of a revoked hold are free for others at once,
// although it has them until it is closed: Held counts them, Used does not. While revoked holds have
// more than leavingShare of the memory, a hold that grows is itself refused.
//
// mu guards the fields below it, and those of all holds. No other lock is taken while it is held.
type Memory[K cmp.Ordered] struct {
	total int64

	mu    sync.Mutex
	used  int64
	holds map[*Hold[K]]struct{}
	// leaving is what revoked holds have until they are closed.
	leaving int64
}

// NewMemory returns a memory for a number of bytes.
func NewMemory[K cmp.Ordered](total int64) *Memory[K] {
	return &Memory[K]{total: total, holds: map[*Hold[K]]struct{}{}}
}

// Hold is the part of a memory that one answer or body holds.
type Hold[K cmp.Ordered] struct {
	memory  *Memory[K]
	owner   K
	revoke  func()
	bytes   int64
	revoked bool
	// leaving is what the hold had when it was revoked.
	leaving int64
}

// Open returns a hold of an owner, which has to be closed. revoke is called, at most once, from
// another goroutine, when the hold is revoked for another one.
func (me *Memory[K]) Open(owner K, revoke func()) *Hold[K] {
	return &Hold[K]{memory: me, owner: owner, revoke: revoke}
}

// Used returns the bytes that are held, those of revoked holds not included.
func (me *Memory[K]) Used() int64 {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.used
}

// Held returns the bytes that are held, those of revoked holds included until they are closed.
func (me *Memory[K]) Held() int64 {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.used + me.leaving
}

// Grow sets the number of bytes that the hold has. It reports false if the hold is revoked,
// perhaps by this call.
func (ho *Hold[K]) Grow(size int64) bool {
	me := ho.memory
	me.mu.Lock()
	if !ho.revoked {
		ho.set(max(0, size-freeBytes))
	}
	var revoked []*Hold[K]
	for me.used > me.total {
		largest := ho
		if me.leaving <= int64(leavingShare*float64(me.total)) {
			largest = me.largestOfHeaviest()
		}
		largest.setRevoked()
		if largest != ho {
			revoked = append(revoked, largest)
		}
	}
	ok := !ho.revoked
	me.mu.Unlock()
	for _, other := range revoked {
		other.revoke()
	}
	return ok
}

// Reserve sets the number of bytes that the hold has, if there is room for them. Unlike Grow, it
// revokes no hold.
func (ho *Hold[K]) Reserve(size int64) bool {
	me := ho.memory
	me.mu.Lock()
	defer me.mu.Unlock()
	size = max(0, size-freeBytes)
	if me.used-ho.bytes+size > me.total {
		return false
	}
	ho.set(size)
	return true
}

// Revoked reports whether the hold was revoked.
func (ho *Hold[K]) Revoked() bool {
	ho.memory.mu.Lock()
	defer ho.memory.mu.Unlock()
	return ho.revoked
}

// Close gives up the hold's bytes.
func (ho *Hold[K]) Close() {
	ho.memory.mu.Lock()
	defer ho.memory.mu.Unlock()
	ho.set(0)
	ho.memory.leaving -= ho.leaving
	ho.leaving = 0
}

// setRevoked revokes the hold. The caller holds the memory's mu.
func (ho *Hold[K]) setRevoked() {
	ho.revoked, ho.leaving = true, ho.bytes
	ho.memory.leaving += ho.leaving
	ho.set(0)
}

// set sets the hold's counted bytes. The caller holds the memory's mu.
func (ho *Hold[K]) set(counted int64) {
	me := ho.memory
	me.used += counted - ho.bytes
	ho.bytes = counted
	if counted > 0 {
		me.holds[ho] = struct{}{}
	} else {
		delete(me.holds, ho)
	}
}

// largestOfHeaviest returns the largest hold of the owner that holds the most. There must be a
// hold. The caller holds mu.
func (me *Memory[K]) largestOfHeaviest() *Hold[K] {
	sums := map[K]int64{}
	for ho := range me.holds {
		sums[ho.owner] += ho.bytes
	}
	var out *Hold[K]
	for ho := range me.holds {
		if out == nil || cmp.Or(cmp.Compare(sums[ho.owner], sums[out.owner]), cmp.Compare(ho.owner, out.owner), cmp.Compare(ho.bytes, out.bytes)) > 0 {
			out = ho
		}
	}
	return out
}
