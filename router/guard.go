package router

import (
	"net"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
)

const (
	// maxHeldShare is the part of the process's memory that bodies, answers and connections may hold
	// together; connections have connectionShare of it at least.
	maxHeldShare    = 0.5
	connectionShare = 0.15
	// processBytes is what the process takes without a connection.
	processBytes = 8 << 20
	// shortShare is the part of what may be held from which on memory is short.
	shortShare = 0.75
)

// newGuard returns the guard of all listeners.
func (da *Daemon) newGuard() *network.Guard {
	se := da.settings.GetServing()
	da.connections = network.NewConnBudget(network.ConnLimits{Count: network.MaxConns(se.GetMaxConnections()), Bytes: da.connectionBytes})
	return network.NewGuard(da.connections, network.GuardOptions{
		MaxHeadLines: se.GetMaxHeadLines(), MinReadSpeed: se.GetMinReadSpeed(), Ended: da.connectionEnded,
	})
}

// connectionBytes returns the memory that connections and heads of requests may take.
func (da *Daemon) connectionBytes() int64 {
	total := da.memoryBytes()
	return max(int64(connectionShare*total), int64(maxHeldShare*total)-processBytes-da.HeldBytes())
}

func (da *Daemon) memoryBytes() float64 { return da.settings.GetServing().GetMemoryMb() * (1 << 20) }

// memoryShort reports whether nearly all of the memory that may be held is.
func (da *Daemon) memoryShort() bool {
	return float64(da.HeldBytes()+da.connections.Held()) > shortShare*maxHeldShare*da.memoryBytes()
}

// cutSlowReaders closes the connections of slow readers while memory is short.
func (da *Daemon) cutSlowReaders(now time.Time) {
	if da.memoryShort() {
		da.guard.CutSlowReaders(now)
	}
}

func (da *Daemon) connectionEnded(ca network.EndCause) {
	nu := event.ConnectionClosed
	if ca == network.CauseSlowReader {
		nu = event.SlowReaderCut
	}
	da.log.WarnLimited(nu, nil, event.Fields{"cause": ca})
}

// guarded returns a ConnState hook that also calls the guard's.
func (da *Daemon) guarded(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(co net.Conn, st http.ConnState) {
		da.guard.ConnState(co, st)
		next(co, st)
	}
}

func (da *Daemon) addConnectionGauges() error {
	err := da.metrics.Gauge("tanager_connections", "Open connections of callers and others.", func() float64 { return float64(da.connections.Len()) })
	if err == nil {
		err = da.metrics.Gauge("tanager_connection_bytes", "Memory that connections and heads of requests take.", func() float64 { return float64(da.connections.Bytes()) })
	}
	if err == nil {
		err = da.metrics.GaugeBy("tanager_connections_closed", "Connections closed to keep memory and descriptors within their bounds, by cause.", "cause", da.guard.Counts)
	}
	return err
}
