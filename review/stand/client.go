package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target, body string
	deadline                 time.Duration
	header                   map[string]string
}

// reply is what a client sees.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a request to a router on a new connection.
func do(ctx context.Context, address string, rq request) reply {
	ctx, cancel := context.WithTimeout(ctx, rq.deadline)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+address+rq.target, strings.NewReader(rq.body))
	if err != nil {
		return reply{err: err}
	}
	hr.Host = routeHost
	hr.Header.Set("Attempt-Id", rq.id)
	hr.Header.Set("Key", tenantKey)
	hr.Header.Set("Deadline-Remaining", fmt.Sprint(rq.deadline.Milliseconds()))
	for name, value := range rq.header {
		hr.Header.Set(name, value)
	}
	cl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rs, err := cl.Do(hr)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	return reply{status: rs.StatusCode, header: rs.Header, body: string(body), err: err}
}

// counts are numbers of answers by status; 0 stands for no whole answer.
type counts map[int]int

// lastRequest numbers the client attempts.
var lastRequest atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)<<20|rand.Int64N(1<<20)) }

// add counts an answer.
func (co counts) add(re reply) {
	if re.err != nil {
		co[0]++
		return
	}
	co[re.status]++
}

// traffic sends requests at a rate, in requests a second, each to a router at random, until a
// time. It waits for the answers, and counts them by status.
func (si *site) traffic(ctx context.Context, perSecond float64, until time.Time, next func() request) counts {
	var wg sync.WaitGroup
	var mu sync.Mutex
	out := counts{}
	for time.Now().Before(until) && ctx.Err() == nil {
		rq, ro := next(), si.routers[rand.IntN(len(si.routers))]
		wg.Go(func() {
			si.record.add("sent", "%s %s %s to %s, %d bytes", rq.id, rq.method, rq.target, ro.name, len(rq.body))
			re := do(ctx, ro.callers, rq)
			si.record.add("answered", "%s %d, %d bytes, error %v", rq.id, re.status, len(re.body), re.err)
			mu.Lock()
			defer mu.Unlock()
			out.add(re)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
	return out
}
