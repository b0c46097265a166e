package quarantine

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tanagerpoint.example/tanager/policy"
)

const (
	// maxDoubted is the number of runs of endpoints of which doubts are kept, and maxDoubts that
	// of doubts of one of them.
	maxDoubted = 1024
	maxDoubts  = 64
	// doubtTTL is how long after its end an answer may turn out to have broken off. Most endpoints
	// are asked again in that time.
	doubtTTL = 5 * time.Second
	// troubleTTL is how long after a break or a refused connection the endpoints of a service are
	// probed when an answer ends with its connection.
	troubleTTL = 15 * time.Second
)

// doubts holds answers of which only the end of the connection showed the end. They were whole if
// their endpoint goes on, and broken off if it has crashed. It is safe for concurrent use.
type doubts struct {
	mu    sync.Mutex
	byRun *lru.Cache[policy.EndpointRun, []Break]
	// troubleAt is when an endpoint of a service last broke or refused a connection.
	troubleAt *lru.Cache[policy.ServiceID, time.Time]
}

func newDoubts() *doubts {
	return &doubts{byRun: newCache[policy.EndpointRun, []Break](maxDoubted), troubleAt: newCache[policy.ServiceID, time.Time](maxServices)}
}

// add adds an answer that ended at br.At.
func (do *doubts) add(run policy.EndpointRun, br Break) {
	do.mu.Lock()
	defer do.mu.Unlock()
	brs, _ := do.byRun.Get(run)
	if len(brs) < maxDoubts {
		do.byRun.Add(run, append(brs, br))
	}
}

// take removes and returns the answers of an endpoint that ended before a time.
func (do *doubts) take(run policy.EndpointRun, before time.Time) []Break {
	do.mu.Lock()
	defer do.mu.Unlock()
	brs, _ := do.byRun.Get(run)
	var out, rest []Break
	for _, br := range brs {
		if br.At.Before(before) {
			out = append(out, br)
		} else {
			rest = append(rest, br)
		}
	}
	if len(out) > 0 {
		do.byRun.Add(run, rest)
	}
	return out
}

// Ended records that an answer ended with its connection, which may be the crash of the endpoint. If
// endpoints of the service have failed of late, this one is probed, or else it shows when it is
// asked again.
func (li *List) Ended(run policy.EndpointRun, br Break) {
	if at, ok := li.doubts.troubleAt.Peek(br.Service); ok && br.At.Sub(at) < troubleTTL {
		li.Crashed(br)
		return
	}
	li.doubts.add(run, br)
}

// Alive records that an endpoint has answered a request that was sent at a time: answers that ended
// before it were whole.
func (li *List) Alive(now time.Time, run policy.EndpointRun, sentAt time.Time) {
	for _, br := range li.doubts.take(run, sentAt) {
		li.Proven(now, br.Service, br.Subjects)
	}
}

// Failed records that an endpoint of a service broke a connection or refused one: answers that ended
// with theirs shortly before may have broken off.
func (li *List) Failed(now time.Time, id policy.ServiceID, run policy.EndpointRun) {
	li.doubts.troubleAt.Add(id, now)
	for _, br := range li.doubts.take(run, now) {
		if now.Sub(br.At) < doubtTTL {
			br.FoundAt = now
			li.Crashed(br)
		}
	}
}
