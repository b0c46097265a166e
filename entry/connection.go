package entry

import (
	"net"
	"net/http"
	"sync"
)

// connections tracks the states of the connections that are open to this entry.
//
// mu guards the states. No other lock is taken while it is held.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

func newConnections() *connections {
	return &connections{states: map[net.Conn]http.ConnState{}}
}

// track records a connection's state. It is the ConnState hook of an http.Server.
func (cs *connections) track(co net.Conn, st http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(cs.states, co)
		return
	}
	cs.states[co] = st
}

// counts returns the number of connections in each state.
func (cs *connections) counts() map[string]float64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	out := map[string]float64{}
	for _, st := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		out[st.String()] = 0
	}
	for _, st := range cs.states {
		out[st.String()]++
	}
	return out
}
