package network

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lastReadTime is the time for a last read from a connection that is being ended. What has
// arrived is read at once.
const lastReadTime = 10 * time.Millisecond

// arrivalTime is for how long a connection is not ended after the first byte of a request.
const arrivalTime = 5 * time.Second

// IdleConns tracks the connections of http.Servers on which no request is under way, and ends
// them. A request that has begun to arrive on a connection, or has not been read, is still
// served: a caller may be slow, and on a busy VM it may have waited for long. It is safe for
// concurrent use.
//
// mu guards since. The locks of connections are taken after it.
type IdleConns struct {
	mu    sync.Mutex
	since map[*idleConn]time.Time
}

// NewIdleConns returns a tracker without connections.
func NewIdleConns() *IdleConns { return &IdleConns{since: map[*idleConn]time.Time{}} }

// Track returns a network whose listeners accept connections that the tracker can end.
func (ic *IdleConns) Track(ne Network) Network {
	listen := ne.Listen
	ne.Listen = func(address string) (net.Listener, error) {
		li, err := listen(address)
		if err != nil {
			return nil, err
		}
		return idleListener{li}, nil
	}
	return ne
}

// ConnState is the ConnState hook of the http.Servers.
func (ic *IdleConns) ConnState(co net.Conn, st http.ConnState) {
	tracked, ok := co.(*idleConn)
	if !ok {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if st == http.StateIdle {
		ic.since[tracked] = time.Now()
		tracked.await()
		return
	}
	delete(ic.since, tracked)
	if st == http.StateActive {
		tracked.noteRequest()
	}
}

// End ends the connections that have been idle since before a time. It does not wait for
// them.
func (ic *IdleConns) End(before time.Time) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for co, since := range ic.since {
		if since.Before(before) {
			co.end()
		}
	}
}

// Len returns the number of idle connections.
func (ic *IdleConns) Len() int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return len(ic.since)
}

type idleListener struct{ net.Listener }

// Accept implements net.Listener.
func (il idleListener) Accept() (net.Conn, error) {
	co, err := il.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &idleConn{Conn: co}
	if guarded, ok := co.(*guardedConn); ok {
		end := out.end
		guarded.endIdle.Store(&end)
	}
	return out, nil
}

// idleConn is a connection that can be ended while it is idle.
//
// mu guards all fields below it. No other lock is taken while it is held.
type idleConn struct {
	net.Conn

	mu sync.Mutex
	// arrivesBy is when the request of which a part has been read is to be whole, zero if there
	// is none.
	arrivesBy time.Time
	// ending reports whether the connection's reads are to fail.
	ending bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// await notes that the connection waits for a request.
func (ic *idleConn) await() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.arrivesBy = time.Time{}
}

// noteRequest takes back the end of the connection: the server has a request, perhaps from its
// buffer.
func (ic *idleConn) noteRequest() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.resume()
}

// resume restores the server's read deadline if the connection is being ended. The caller holds mu.
func (ic *idleConn) resume() {
	if ic.ending {
		ic.ending = false
		_ = ic.Conn.SetReadDeadline(ic.deadline)
	}
}

// end makes a read that finds nothing fail, unless a request has begun to arrive.
func (ic *idleConn) end() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if time.Now().Before(ic.arrivesBy) {
		return
	}
	ic.ending = true
	// A connection that takes no deadline is closed by its other end.
	_ = ic.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline implements net.Conn. A connection that is being ended keeps the deadline of its
// end until a request arrives.
func (ic *idleConn) SetReadDeadline(at time.Time) error {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.deadline = at
	if ic.ending {
		return nil
	}
	return ic.Conn.SetReadDeadline(at)
}

// Read implements net.Conn. A read that the end of the connection interrupts looks once more
// for what has arrived.
func (ic *idleConn) Read(buf []byte) (int, error) {
	n, err := ic.Conn.Read(buf)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && ic.mayReadOnce() {
		n, err = ic.Conn.Read(buf)
	}
	if n > 0 {
		ic.noteArrival()
	}
	return n, err
}

// mayReadOnce allows a last read if the connection is being ended.
func (ic *idleConn) mayReadOnce() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.ending && ic.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// noteArrival keeps the connection from being ended while the rest of a request is on its way.
func (ic *idleConn) noteArrival() {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.arrivesBy.IsZero() {
		ic.arrivesBy = time.Now().Add(arrivalTime)
	}
	ic.resume()
}
