package router

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections records since when each of the callers' connections is idle,
// so that it can be closed after the idle time-out in force.
//
// mu guards since. No other lock is taken while it is held.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections { return &idleConnections{since: map[net.Conn]time.Time{}} }

// connStateChanged is the ConnState hook of the http.Servers.
func (ic *idleConnections) connStateChanged(co net.Conn, st http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if st == http.StateIdle {
		ic.since[co] = time.Now()
		return
	}
	delete(ic.since, co)
}

// closeIdleSince closes the connections that have been idle since before at.
func (ic *idleConnections) closeIdleSince(at time.Time) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for co, since := range ic.since {
		if since.Before(at) {
			// Close releases the connection even when it returns an error.
			_ = co.Close()
			delete(ic.since, co)
		}
	}
}
