package network

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var endCauses = []EndCause{CauseNoRoom, CauseHead, CauseUnfinishedHead, CauseIdle, CauseSlowReader}

// GuardOptions bound what a connection may send and how slowly it may read.
type GuardOptions struct {
	// MaxHeadLines is the most lines of a request's head.
	MaxHeadLines int64
	// MinReadSpeed is how fast an answer has to be read while memory is short, in bytes a second.
	MinReadSpeed int64
	// Ended, if not nil, is called when a connection is closed by the guard. It must not block.
	Ended func(ca EndCause)
}

// Guard bounds what the connections of http.Servers take. It counts the lines and bytes of heads
// before net/http parses them, and closes a connection whose head finds no room, with the request
// unread. net/http alone bounds one connection, but not all of them together. It is safe for
// concurrent use.
type Guard struct {
	budget  *ConnBudget
	options GuardOptions
	counts  map[EndCause]*atomic.Int64

	// mu guards conns. No other lock is taken while it is held.
	mu    sync.Mutex
	conns map[*guardedConn]struct{}
}

// NewGuard returns a guard without connections.
func NewGuard(cb *ConnBudget, opt GuardOptions) *Guard {
	gu := &Guard{budget: cb, options: opt, counts: map[EndCause]*atomic.Int64{}, conns: map[*guardedConn]struct{}{}}
	for _, ca := range endCauses {
		gu.counts[ca] = &atomic.Int64{}
	}
	return gu
}

// Track returns a network whose listeners accept connections of a kind that the guard bounds.
func (gu *Guard) Track(kind ConnKind, ne Network) Network {
	listen := ne.Listen
	ne.Listen = func(address string) (net.Listener, error) {
		li, err := listen(address)
		if err != nil {
			return nil, err
		}
		return guardedListener{li, gu, kind}, nil
	}
	return ne
}

// Counts returns the number of connections that the guard has closed, by cause.
func (gu *Guard) Counts() map[string]float64 {
	out := map[string]float64{}
	for ca, n := range gu.counts {
		out[string(ca)] = float64(n.Load())
	}
	return out
}

// ConnState is the ConnState hook of the http.Servers.
func (gu *Guard) ConnState(co net.Conn, st http.ConnState) {
	gc, ok := asGuarded(co)
	if !ok {
		return
	}
	switch st {
	case http.StateIdle:
		gc.await()
	case http.StateActive:
		gc.serve()
	case http.StateClosed, http.StateHijacked:
		gc.forget()
	case http.StateNew:
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Bind has a server, before it serves, run no request whose head found no room. The guard's
// ConnState has to be a hook of the server.
func (gu *Guard) Bind(sv *http.Server) {
	sv.ConnContext = func(ctx context.Context, co net.Conn) context.Context {
		if gc, ok := asGuarded(co); ok {
			return context.WithValue(ctx, connKey{}, gc)
		}
		return ctx
	}
	next := sv.Handler
	sv.Handler = http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if gc, ok := rq.Context().Value(connKey{}).(*guardedConn); ok && gc.refused.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(wr, rq)
	})
}

// asGuarded returns the connection that the guard has admitted.
func asGuarded(co net.Conn) (*guardedConn, bool) {
	if tracked, ok := co.(*idleConn); ok {
		co = tracked.Conn
	}
	gc, ok := co.(*guardedConn)
	return gc, ok
}

// CutSlowReaders closes the connections whose answers are read more slowly than the minimum. It is
// to be called while memory is short: what is held for such a reader is missing elsewhere. The
// answer does not look complete to its reader.
func (gu *Guard) CutSlowReaders(now time.Time) {
	gu.mu.Lock()
	var slow []*guardedConn
	for gc := range gu.conns {
		if gc.readSlowly(now, gu.options.MinReadSpeed) {
			slow = append(slow, gc)
		}
	}
	gu.mu.Unlock()
	for _, gc := range slow {
		gu.note(CauseSlowReader)
		_ = gc.Close()
	}
}

// note counts a connection that the guard closes.
func (gu *Guard) note(ca EndCause) {
	gu.counts[ca].Add(1)
	if gu.options.Ended != nil {
		gu.options.Ended(ca)
	}
}

type guardedListener struct {
	net.Listener
	guard *Guard
	kind  ConnKind
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (gl guardedListener) Accept() (net.Conn, error) {
	for {
		co, err := gl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if gc := gl.guard.admit(gl.kind, co); gc != nil {
			return gc, nil
		}
		gl.guard.note(CauseNoRoom)
		_ = co.Close()
	}
}

// admit returns the guarded connection, nil if there is no room for it.
func (gu *Guard) admit(kind ConnKind, co net.Conn) *guardedConn {
	gc := &guardedConn{Conn: co, guard: gu, inHead: true}
	gc.hold = gu.budget.Open(kind, time.Now(), gc.makeRoom)
	if gc.hold == nil {
		return nil
	}
	gu.mu.Lock()
	gu.conns[gc] = struct{}{}
	gu.mu.Unlock()
	return gc
}

// errHeadRefused ends the connection of a request that is not read. net/http sends no answer for a
// failed read.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("no room for the head of a request")}

// serverBuffer is the size of the buffer that net/http reads heads and small pieces of bodies into.
const serverBuffer = 4 << 10

// writePiece is the most bytes that are written at once, so that slow progress shows.
const writePiece = 16 << 10

// guardedConn is a connection that a Guard bounds.
//
// mu guards the fields below it. The lock of the budget is taken after it.
type guardedConn struct {
	net.Conn
	guard *Guard
	hold  *ConnHold
	// endIdle ends the connection gracefully while it is idle; nil closes it.
	endIdle atomic.Pointer[func()]
	// refused reports whether the request whose head was parsed last may not be run.
	refused atomic.Bool
	// writingSince is when the write of the current piece began, in nanoseconds since the Unix
	// epoch, 0 if none is under way; writing is its size.
	writingSince, writing atomic.Int64

	mu sync.Mutex
	// inHead reports whether what is read belongs to a head, until the server has parsed it.
	inHead bool
	// whole reports whether the end of the head has been read.
	whole bool
	// headBytes and headLines are what has been read of the head.
	headBytes, headLines int64
	// end holds the last bytes that were read of the head.
	end [2]byte
	// tailBytes and tailLines bound what the server may have in its buffer, as a part of the next
	// head.
	tailBytes, tailLines int64
	// awaiting reports whether nothing has been read since the last request.
	awaiting bool
}

// Read implements net.Conn. It fails if there is no room for the head that is read.
func (gc *guardedConn) Read(buf []byte) (int, error) {
	n, err := gc.Conn.Read(buf)
	if n > 0 && !gc.noteRead(buf[:n], int64(len(buf))) {
		gc.guard.note(CauseHead)
		return 0, errHeadRefused
	}
	return n, err
}

// noteRead counts what was read into a buffer with some room, and reports false if the head may not
// be used.
func (gc *guardedConn) noteRead(buf []byte, room int64) bool {
	gc.mu.Lock()
	defer gc.mu.Unlock()
	if !gc.inHead {
		gc.noteBody(buf, room)
		return true
	}
	if gc.awaiting {
		gc.awaiting = false
		gc.headBytes, gc.headLines = buffered(gc.headBytes, room), buffered(gc.headLines, room)
	}
	if gc.whole {
		// The body begins to arrive, or what follows; the server buffers little of it.
		return true
	}
	size := headEnd(gc.end, buf)
	gc.whole = size >= 0
	if !gc.whole {
		size = len(buf)
	}
	gc.headBytes += int64(size)
	gc.headLines += int64(bytes.Count(buf[:size], []byte{'\n'}))
	gc.tailBytes, gc.tailLines = int64(len(buf)-size), int64(bytes.Count(buf[size:], []byte{'\n'}))
	gc.noteEnd(buf)
	return gc.headLines <= gc.guard.options.MaxHeadLines && gc.hold.Arrive(gc.headBytes, gc.headLines, gc.whole)
}

// noteBody bounds what the server's buffer holds after a read while a request is served. What does
// not go into the buffer belongs to the body.
func (gc *guardedConn) noteBody(buf []byte, room int64) {
	gc.tailBytes, gc.tailLines = buffered(gc.tailBytes, room), buffered(gc.tailLines, room)
	if room <= serverBuffer {
		gc.tailBytes += int64(len(buf))
		gc.tailLines += int64(bytes.Count(buf, []byte{'\n'}))
	}
}

// buffered bounds what is left in the server's buffer of some bytes or lines when it reads into the
// room that it has there. The server reads past the buffer only if nothing is left in it.
func buffered(n, room int64) int64 { return min(n, max(0, serverBuffer-room)) }

// noteEnd keeps the last bytes of a head.
func (gc *guardedConn) noteEnd(buf []byte) {
	for _, ch := range buf[max(0, len(buf)-len(gc.end)):] {
		gc.end[0], gc.end[1] = gc.end[1], ch
	}
}

// headEnd returns the length of the part of buf that ends a head, -1 if the head goes on. last are
// the bytes before buf.
func headEnd(last [2]byte, buf []byte) int {
	begin := append(last[:], buf[:min(2, len(buf))]...)
	for _, end := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		if i := bytes.Index(begin, end); i >= 0 && i+len(end) > len(last) {
			return i + len(end) - len(last)
		}
	}
	out := -1
	for _, end := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		if i := bytes.Index(buf, end); i >= 0 && (out < 0 || i+len(end) < out) {
			out = i + len(end)
		}
	}
	return out
}

// await notes that the connection waits for a request.
func (gc *guardedConn) await() {
	gc.mu.Lock()
	defer gc.mu.Unlock()
	gc.inHead, gc.whole, gc.awaiting, gc.end = true, false, true, [2]byte{}
	gc.headBytes, gc.headLines = gc.tailBytes, gc.tailLines
	gc.hold.Wait(time.Now())
}

// serve notes that a head has been parsed. One that the server had in its buffer is counted now.
func (gc *guardedConn) serve() {
	gc.mu.Lock()
	defer gc.mu.Unlock()
	gc.inHead = false
	if gc.whole {
		return
	}
	if gc.hold.Arrive(gc.headBytes, gc.headLines, true) {
		return
	}
	gc.refused.Store(true)
	gc.guard.note(CauseHead)
	_ = gc.Close()
}

// forget gives up what the connection holds.
func (gc *guardedConn) forget() {
	gc.hold.Close()
	gc.guard.mu.Lock()
	defer gc.guard.mu.Unlock()
	delete(gc.guard.conns, gc)
}

// makeRoom ends the connection for others.
func (gc *guardedConn) makeRoom(why EndCause) {
	gc.guard.note(why)
	if end := gc.endIdle.Load(); why == CauseIdle && end != nil {
		(*end)()
		return
	}
	_ = gc.Close()
}

// Write implements net.Conn.
func (gc *guardedConn) Write(buf []byte) (int, error) {
	written := 0
	defer gc.writingSince.Store(0)
	for {
		piece := buf[written:min(len(buf), written+writePiece)]
		gc.writing.Store(int64(len(piece)))
		gc.writingSince.Store(time.Now().UnixNano())
		n, err := gc.Conn.Write(piece)
		written += n
		if err != nil || written == len(buf) {
			return written, err
		}
	}
}

// readSlowly reports whether the write that is under way makes less than a speed, in bytes a
// second.
func (gc *guardedConn) readSlowly(now time.Time, minSpeed int64) bool {
	since := gc.writingSince.Load()
	if since == 0 {
		return false
	}
	waited := now.Sub(time.Unix(0, since))
	return waited > minWriteTime && waited.Seconds()*float64(minSpeed) > float64(gc.writing.Load())
}

// minWriteTime is how long any write may take, however short it is.
const minWriteTime = 2 * time.Second
