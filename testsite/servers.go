package testsite

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"tanagerpoint.example/tanager/worker"
)

// servers serves the stand-ins of a site.
type servers struct {
	tb    testing.TB
	net   *Network
	group *worker.Group

	// mu guards all and closed. A request is counted in requests only before closed is set, so that
	// close waits for each one that is counted.
	mu       sync.Mutex
	all      []*http.Server
	closed   bool
	requests sync.WaitGroup
}

// serve serves a stand-in at an address, on the host ho, until close.
func (ss *servers) serve(ho Host, address string, ha http.Handler) {
	li, err := ss.net.ForHost(ho).Listen(address)
	if err != nil {
		ss.tb.Fatal(err)
	}
	sv := &http.Server{Handler: ss.counted(ha), ReadHeaderTimeout: time.Minute}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closed {
		_ = li.Close()
		return
	}
	ss.all = append(ss.all, sv)
	ss.group.Go(func(context.Context) { _ = sv.Serve(li) })
}

// counted returns a handler for which close waits. After close it aborts all connections.
func (ss *servers) counted(ha http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if !ss.begin() {
			panic(http.ErrAbortHandler)
		}
		defer ss.requests.Done()
		ha.ServeHTTP(wr, rq)
	})
}

// begin counts a request, and reports whether the servers are open.
func (ss *servers) begin() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if !ss.closed {
		ss.requests.Add(1)
	}
	return !ss.closed
}

// close closes the servers, the group and all connections, and blocks until no request is being
// handled: a slow stand-in goes on with one whose client has gone.
func (ss *servers) close() {
	ss.mu.Lock()
	ss.closed = true
	for _, sv := range ss.all {
		_ = sv.Close()
	}
	ss.mu.Unlock()
	ss.group.Close()
	ss.net.closeAll()
	ss.requests.Wait()
}
