package network

import (
	"sync"
	"time"
)

// What a connection takes of the memory.
const (
	// connectionBytes is for the buffers and the goroutine of an open connection.
	connectionBytes = 16 << 10
	// requestBytes is what a request in service takes beside its head, its body and its answer.
	requestBytes = 48 << 10
	// lineBytes is for a line of a parsed head, which is copied for the endpoint.
	lineBytes = 400
	// headByteCopies is how often the text of a head is held.
	headByteCopies = 3
	// ordinaryBytes is the size from which on the head of a request is large.
	ordinaryBytes = 32 << 10
)

const (
	// largeShare is the part of the memory for connections that large heads may take together.
	largeShare = 0.3
	// otherShare is the part of it, and of the number of connections, that callers leave to the
	// process's other listeners.
	otherShare = 0.1
	// leavingShare is how much ended connections may take beyond the bound until they are closed,
	// as a part of it. While they take more, a connection that finds no room is itself refused.
	leavingShare = 0.25
)

// ConnLimits bound the connections of a process.
type ConnLimits struct {
	// Count is the most connections that may be open.
	Count int
	// Bytes returns the memory that they may take. It is called often, with the lock of the
	// ConnBudget held.
	Bytes func() int64
}

// ConnKind says who opens a connection.
type ConnKind int

// The kinds of connections.
const (
	CallerConn ConnKind = iota
	OtherConn
)

// phase is what a connection is used for.
type phase int

const (
	// waiting connections have no request.
	waiting phase = iota
	// arriving ones have a part of a request's head.
	arriving
	// serving ones have a request whose head is whole.
	serving
)

// ConnBudget bounds the memory that all connections of a process take together, and their number.
// It answers clients that open many connections, send heads that take far more memory than bytes,
// or never end them: a connection that finds no room makes others pay that can lose nothing. These
// are the largest unfinished head, if it is larger, and then the connections that have been idle
// the longest. If there are none, the connection itself is refused. Large heads have only a part
// of the memory, so that requests with ordinary ones find room.
//
// mu guards all fields below it, and those of all connections. Locks that limits.Bytes takes are
// taken after it.
type ConnBudget struct {
	limits ConnLimits

	mu    sync.Mutex
	open  map[*ConnHold]struct{}
	bytes int64
	// large is the memory that large heads take.
	large int64
	// ended holds the connections that were ended until they are closed, and leaving is what they
	// take.
	ended   map[*ConnHold]struct{}
	leaving int64
}

// NewConnBudget returns the budget of a process without connections.
func NewConnBudget(limits ConnLimits) *ConnBudget {
	return &ConnBudget{limits: limits, open: map[*ConnHold]struct{}{}, ended: map[*ConnHold]struct{}{}}
}

// ConnHold is what one open connection takes.
type ConnHold struct {
	budget *ConnBudget
	kind   ConnKind
	end    func(EndCause)
	phase  phase
	// bytes is what the connection takes in all, head the part that is its request's head.
	bytes, head int64
	idleSince   time.Time
	ended       bool
	// leaving is what it took when it was ended.
	leaving int64
}

// EndCause says why a connection is closed before its client wants that.
type EndCause string

// The values of EndCause.
const (
	// CauseNoRoom is for new connections for which there is no room.
	CauseNoRoom EndCause = "no_room"
	// CauseHead is for those with a head that is too long, or too large for the memory left.
	CauseHead EndCause = "head"
	// CauseUnfinishedHead is for those with the largest unfinished head, which make room.
	CauseUnfinishedHead EndCause = "unfinished_head"
	// CauseIdle is for those without a request, which make room.
	CauseIdle EndCause = "idle"
	// CauseSlowReader is for those whose answer is read too slowly while memory is short.
	CauseSlowReader EndCause = "slow_reader"
)

// Open adds a connection, nil if there is no room for it. end is called, at most once and from any
// goroutine, when the connection has to make room; it must not block or call the ConnBudget.
func (cb *ConnBudget) Open(kind ConnKind, now time.Time, end func(EndCause)) *ConnHold {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	ch := &ConnHold{budget: cb, kind: kind, end: end, idleSince: now}
	if !cb.makePlace(ch) {
		return nil
	}
	cb.open[ch] = struct{}{}
	if !cb.charge(ch, 0, 0) {
		cb.remove(ch)
		return nil
	}
	return ch
}

// makePlace reports whether the number of connections allows another one, perhaps in the place of
// an idle one.
func (cb *ConnBudget) makePlace(ch *ConnHold) bool {
	limit := cb.share(ch.kind, cb.limits.Count)
	if len(cb.open)+len(cb.ended) >= limit+max(1, int(leavingShare*float64(limit))) {
		return false
	}
	return len(cb.open) < limit || cb.endIdle(ch)
}

// Bytes returns the memory that connections take, those that were ended not included.
func (cb *ConnBudget) Bytes() int64 {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	return cb.bytes
}

// Held returns the memory that connections take, also those that were ended and are not closed.
func (cb *ConnBudget) Held() int64 {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	return cb.bytes + cb.leaving
}

// Len returns the number of connections, those that were ended not included.
func (cb *ConnBudget) Len() int {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	return len(cb.open)
}

// Arrive notes how much of a request's head has arrived. whole says that this is all of it. It
// reports false if the connection has to be closed: nothing of the request may be used then.
func (ch *ConnHold) Arrive(bytes, lines int64, whole bool) bool {
	cb := ch.budget
	cb.mu.Lock()
	defer cb.mu.Unlock()
	if ch.ended {
		return false
	}
	ch.phase = arriving
	before := ch.head
	work := int64(0)
	if whole {
		ch.phase, work = serving, requestBytes
	}
	if cb.charge(ch, headByteCopies*bytes+lineBytes*lines, work) {
		return true
	}
	// What was refused is not parsed.
	cb.set(ch, before, 0)
	cb.leave(ch)
	return false
}

// Wait notes that the connection has no request.
func (ch *ConnHold) Wait(now time.Time) {
	cb := ch.budget
	cb.mu.Lock()
	defer cb.mu.Unlock()
	ch.phase, ch.idleSince = waiting, now
	cb.set(ch, 0, 0)
}

// Close removes the connection.
func (ch *ConnHold) Close() {
	ch.budget.mu.Lock()
	defer ch.budget.mu.Unlock()
	ch.budget.remove(ch)
	ch.budget.leaving -= ch.leaving
	ch.leaving = 0
	delete(ch.budget.ended, ch)
}

// charge sets what a connection takes, if there is room or others make some. The caller holds mu.
func (cb *ConnBudget) charge(ch *ConnHold, head, work int64) bool {
	cb.set(ch, head, work)
	largeLimit := int64(largeShare * float64(cb.limits.Bytes()))
	for cb.large > largeLimit && ch.isLarge() {
		if cb.leaving > largeLimit || !cb.endLargest(ch) {
			return false
		}
	}
	limit := int64(cb.share(ch.kind, int(cb.limits.Bytes())))
	leavingLimit := int64(leavingShare * float64(limit))
	for cb.bytes > limit {
		if cb.leaving > leavingLimit || !cb.endIdle(ch) && !cb.endLargest(ch) {
			return false
		}
	}
	return cb.bytes+cb.leaving <= limit+leavingLimit
}

// share returns the part of a limit that a kind of connections has.
func (cb *ConnBudget) share(kind ConnKind, limit int) int {
	if kind == CallerConn {
		return limit - int(otherShare*float64(limit))
	}
	return limit
}

// endIdle ends the connection other than ch that has been idle the longest. It reports false if
// there is none.
func (cb *ConnBudget) endIdle(ch *ConnHold) bool {
	var oldest *ConnHold
	for other := range cb.open {
		if other != ch && other.phase == waiting && (oldest == nil || other.idleSince.Before(oldest.idleSince)) {
			oldest = other
		}
	}
	return cb.endFor(oldest, CauseIdle)
}

// endLargest ends the connection with the largest unfinished head if that is larger than ch's. It
// reports false if there is none.
func (cb *ConnBudget) endLargest(ch *ConnHold) bool {
	largest := ch
	for other := range cb.open {
		if other.phase == arriving && other.head > largest.head {
			largest = other
		}
	}
	return largest != ch && cb.endFor(largest, CauseUnfinishedHead)
}

func (cb *ConnBudget) endFor(ch *ConnHold, why EndCause) bool {
	if ch == nil {
		return false
	}
	cb.leave(ch)
	ch.end(why)
	return true
}

// leave takes a connection out that is about to be closed. What it takes is leaving until then.
func (cb *ConnBudget) leave(ch *ConnHold) {
	ch.ended, ch.leaving = true, ch.bytes
	cb.ended[ch] = struct{}{}
	cb.leaving += ch.leaving
	cb.remove(ch)
}

// isLarge reports whether the connection's head is a large one.
func (ch *ConnHold) isLarge() bool { return ch.head > ordinaryBytes }

// set sets what an open connection takes. The caller holds mu.
func (cb *ConnBudget) set(ch *ConnHold, head, work int64) {
	if _, ok := cb.open[ch]; !ok {
		return
	}
	cb.forget(ch)
	ch.head, ch.bytes = head, connectionBytes+head+work
	cb.bytes += ch.bytes
	if ch.isLarge() {
		cb.large += ch.head
	}
}

func (cb *ConnBudget) remove(ch *ConnHold) {
	if _, ok := cb.open[ch]; ok {
		cb.forget(ch)
		delete(cb.open, ch)
	}
}

// forget takes back what was counted for a connection.
func (cb *ConnBudget) forget(ch *ConnHold) {
	cb.bytes -= ch.bytes
	if ch.isLarge() {
		cb.large -= ch.head
	}
	ch.bytes, ch.head = 0, 0
}
