package router

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections knows since when callers' connections are idle.
//
// mu guards the map. No other lock is taken while it is held.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections { return &idleConnections{since: map[net.Conn]time.Time{}} }

// note is an http.Server's ConnState hook.
func (ic *idleConnections) note(co net.Conn, st http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if st == http.StateIdle {
		ic.since[co] = time.Now()
		return
	}
	delete(ic.since, co)
}

// closeSince closes the connections that are idle since before a time.
func (ic *idleConnections) closeSince(at time.Time) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for co, since := range ic.since {
		if since.Before(at) {
			// The connection is closed either way.
			_ = co.Close()
			delete(ic.since, co)
		}
	}
}
