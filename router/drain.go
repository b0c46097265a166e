package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

const (
	// listenAfterDrain is how long new requests are still accepted after a
	// graceful shutdown has begun: callers go on using an address that the
	// directory gave them before.
	listenAfterDrain = 2500 * time.Millisecond
	// answerTime is the part of a graceful shutdown's time that is left to answer the requests
	// that have not ended.
	answerTime = 300 * time.Millisecond
	// maxSilence is how long a connection may be idle after that, or stay without its first
	// request, which may be on its way.
	maxSilence = time.Second
	// endIdleInterval is how often a graceful shutdown ends the connections that have become
	// idle.
	endIdleInterval = 20 * time.Millisecond
)

// callerConns counts the connections of callers, and closes their listener alone.
// http.Server.Shutdown does not do for a graceful shutdown: once it has begun, the server drops
// requests that it reads from connections which it still has open.
//
// mu guards all other fields. No other lock is taken while it is held.
type callerConns struct {
	idle *network.IdleConns

	mu       sync.Mutex
	open     int
	listener net.Listener
}

// track returns a network whose next listener is the callers'.
func (cc *callerConns) track(ne network.Network) network.Network {
	listen := cc.idle.Track(ne).Listen
	ne.Listen = func(address string) (net.Listener, error) {
		li, err := listen(address)
		cc.mu.Lock()
		defer cc.mu.Unlock()
		cc.listener = li
		return li, err
	}
	return ne
}

// connState is the ConnState hook of the callers' server. A new connection counts as idle until
// its first request has been read.
func (cc *callerConns) connState(co net.Conn, st http.ConnState) {
	cc.count(st)
	if st == http.StateNew {
		st = http.StateIdle
	}
	cc.idle.ConnState(co, st)
}

func (cc *callerConns) count(st http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	switch st {
	case http.StateNew:
		cc.open++
	case http.StateClosed, http.StateHijacked:
		cc.open--
	}
}

func (cc *callerConns) len() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.open
}

// closeListener closes the callers' listener. Their connections stay open.
func (cc *callerConns) closeListener() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	_ = cc.listener.Close()
}

// Drain is the first part of a graceful shutdown. The daemon reports that it is not ready, and
// peers leave its address out of the directory. Requests that still arrive are served for
// listenAfterDrain if they are expected to end in time; those that arrive later, on connections
// that are open, are refused. Drain blocks until every answer is complete, also those that are
// carried for peers. When ctx ends, or answerTime before its deadline, the requests that still
// wait are answered that their outcome is unknown.
func (da *Daemon) Drain(ctx context.Context) {
	da.log.Info(event.Draining, event.Fields{"in_flight": da.relay.InFlight()})
	answered, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		answered, cancel = context.WithDeadline(ctx, deadline.Add(-answerTime))
	}
	defer cancel()
	endsAt, _ := answered.Deadline()
	da.relay.Drain(endsAt)
	da.leave(answered)
	da.callers.closeListener()
	da.relay.RefuseRequests()
	if da.awaitCallers(answered) {
		da.relay.WaitCarried(answered)
		return
	}
	da.log.Warn(event.DrainTimedOut, answered.Err(), event.Fields{"in_flight": da.relay.InFlight()})
	da.relay.EndRequests()
	last, cancelLast := context.WithTimeout(context.Background(), answerTime)
	defer cancelLast()
	da.awaitCallers(last)
}

// leave tells the peers that this daemon leaves, gives up its leases, and blocks for
// listenAfterDrain or until ctx ends.
func (da *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listenAfterDrain)
	defer cancel()
	da.peers.Announce(ctx)
	da.leases.Close(ctx)
	<-ctx.Done()
}

// awaitCallers ends the callers' connections as they become idle. It blocks until none is left,
// and reports false if ctx ends before.
func (da *Daemon) awaitCallers(ctx context.Context) bool {
	for da.callers.len() > 0 {
		da.idle.End(time.Now().Add(-maxSilence))
		if !worker.Sleep(ctx, endIdleInterval) {
			return da.callers.len() == 0
		}
	}
	return true
}

// listenerFailed logs the end of a listener that a graceful shutdown has not closed.
func (da *Daemon) listenerFailed(address string, err error) {
	if !da.relay.Draining() || !errors.Is(err, net.ErrClosed) {
		da.log.Warn(event.ListenerFailed, err, event.Fields{"address": address})
	}
}
