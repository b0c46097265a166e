package network

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// lastReadTime is the time for a last read from a connection that is being ended. What has
// arrived is read at once.
const lastReadTime = 10 * time.Millisecond

// IdleConns tracks the connections of http.Servers on which no request is under way, and ends
// them. A request that has arrived on a connection, but has not been read, is still served: on
// a busy VM it may have waited for long. It is safe for concurrent use.
//
// mu guards since. No other lock is taken while it is held.
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
		return
	}
	delete(ic.since, tracked)
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
	return &idleConn{Conn: co}, nil
}

// idleConn is a connection that can be ended while it is idle.
type idleConn struct {
	net.Conn
	ending atomic.Bool
}

// end makes a read that finds nothing fail.
func (ic *idleConn) end() {
	ic.ending.Store(true)
	// A connection that takes no deadline is closed by its other end.
	_ = ic.SetReadDeadline(time.Now())
}

// Read implements net.Conn. A read that the end of the connection interrupts looks once more
// for what has arrived.
func (ic *idleConn) Read(buf []byte) (int, error) {
	n, err := ic.Conn.Read(buf)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !ic.ending.Swap(false) {
		return n, err
	}
	if err := ic.SetReadDeadline(time.Now().Add(lastReadTime)); err != nil {
		return 0, err
	}
	return ic.Conn.Read(buf)
}
