package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
)

const (
	// connectionShare is the part of the process's memory for connections and heads of requests.
	connectionShare = 0.25
	// shortShare is the part of that from which on memory is short.
	shortShare = 0.75
	// slowReaderInterval is how often slow readers are looked for.
	slowReaderInterval = time.Second
)

// newGuard returns the guard of all listeners.
func (da *Daemon) newGuard() *network.Guard {
	se := da.settings.GetServing()
	da.connBudget = network.NewConnBudget(network.ConnLimits{Count: network.MaxConns(se.GetMaxConnections()), Bytes: da.connectionBytes})
	return network.NewGuard(da.connBudget, network.GuardOptions{
		MaxHeadLines: se.GetMaxHeadLines(), MinReadSpeed: se.GetMinReadSpeed(), Ended: da.connectionEnded,
	})
}

// connectionBytes returns the memory that connections and heads of requests may take.
func (da *Daemon) connectionBytes() int64 {
	return int64(connectionShare * da.settings.GetServing().GetMemoryMb() * (1 << 20))
}

// cutSlowReaders closes the connections of slow readers while memory is short.
func (da *Daemon) cutSlowReaders(context.Context) {
	if float64(da.connBudget.Held()) > shortShare*float64(da.connectionBytes()) {
		da.guard.CutSlowReaders(time.Now())
	}
}

func (da *Daemon) connectionEnded(ca network.EndCause) {
	nu := event.ConnectionClosed
	if ca == network.CauseSlowReader {
		nu = event.SlowReaderCut
	}
	da.log.WarnLimited(nu, nil, event.Fields{"cause": ca})
}

// connState is the ConnState hook of the http.Servers.
func (da *Daemon) connState(co net.Conn, st http.ConnState) {
	da.guard.ConnState(co, st)
	da.conns.track(co, st)
}
